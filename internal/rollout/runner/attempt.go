package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
	"github.com/nutmegway/nutmegway/internal/rollout/schedule"
	"github.com/nutmegway/nutmegway/internal/rollout/version"
)

const (
	// spareSeedOffset is the distance between the seeds of a sample and its spares.
	spareSeedOffset = 1 << 32
	// minAffinityPromptBytes is the length in bytes from which a prompt is worth keeping
	// on one engine: reading a shorter one again costs less than the imbalance.
	minAffinityPromptBytes = 1 << 10
	minRetryDelay          = 50 * time.Millisecond
	maxRetryDelay          = 5 * time.Second
	// maxDoublings bounds the exponent of the back-off.
	maxDoublings = 7
)

var tracer = otel.Tracer("nutmegway/runner")

// attempt is one generation of a sample.
type attempt struct {
	call              dispatch.Call
	cancel            context.CancelFunc
	ctx               context.Context //nolint:containedctx // The attempt is a task of its own with this context.
	cancelledByPolicy bool
	finishReason      string
	firstChunkAt      time.Time
	id                string
	lastChunkAt       time.Time
	resumedTokens     int
	server            string
	span              trace.Span
	startedAt         time.Time
	text              strings.Builder
	tracker           version.Tracker
	sample            *pendingSample
}

func (a *attempt) view() schedule.Attempt {
	return schedule.Attempt{
		FirstChunkAt:  a.firstChunkAt,
		ID:            a.id,
		LastChunkAt:   a.lastChunkAt,
		OldestVersion: a.tracker.Oldest(),
		ResumedTokens: a.resumedTokens,
		Server:        a.server,
		StartedAt:     a.startedAt,
		Tokens:        a.tracker.Tokens,
	}
}

// newAttempt prepares an attempt, or returns nil when its sample is not wanted any
// more. The lock is held.
func (r *Runner) newAttempt(ctx context.Context, settings Settings, start schedule.Start) *attempt {
	g, ok := r.groups[start.Key.Group]
	if !ok {
		return nil
	}
	w, ok := g.samples[start.Key.Index]
	if !ok {
		return nil
	}
	r.started++
	a := &attempt{id: fmt.Sprintf("%s-%d", r.AttemptPrefix, r.started), startedAt: r.Now(), sample: w}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.ctx, a.span = tracer.Start(a.ctx, "rollout.sample", trace.WithAttributes(
		attribute.String("group", start.Key.Group), attribute.Int("index", start.Key.Index)))
	a.call = dispatch.Call{
		Class:          dispatch.ClassRollout,
		Deadline:       g.order.Deadline,
		ExpectedTokens: start.ExpectedTokens,
		MinVersion:     start.MinVersion,
		Request: engine.Request{
			ID:        a.id,
			MaxTokens: g.order.MaxTokens,
			Model:     settings.Model,
			Prompt:    g.order.Prompt,
			Seed:      g.order.Seed + int64(start.Key.Index) + int64(start.Spare)*spareSeedOffset,
		},
		Service: r.Service,
		Share:   r.Trainer,
		Team:    settings.Team,
	}
	if len(g.order.Prompt) >= minAffinityPromptBytes {
		a.call.Group = r.Service + "/" + r.Trainer + "/" + g.order.ID
	}
	if start.Exclude != "" {
		a.call.Exclude = []string{start.Exclude}
	}
	if from, ok := r.attempts[start.ResumeFrom]; ok && from.sample == w {
		a.resumeFrom(from)
	}
	w.attempts = append(w.attempts, a)
	r.attempts[a.id] = a
	return a
}

// resumeFrom takes over the tokens of from.
func (a *attempt) resumeFrom(from *attempt) {
	a.tracker = from.tracker
	a.tracker.Spans = slices.Clone(from.tracker.Spans)
	a.text.WriteString(from.text.String())
	a.resumedTokens = a.tracker.Tokens
	a.call.Request.ResumeText = a.text.String()
	a.call.Request.ResumeTokens = a.tracker.Tokens
}

// run carries the attempt out and settles its sample.
func (r *Runner) run(a *attempt) {
	err := r.generate(a)
	if err == nil {
		err = r.verify(a)
	}
	a.cancel()
	a.span.End()
	r.complete(a, err)
}

func (r *Runner) generate(a *attempt) error {
	stream, err := r.Dispatcher.Dispatch(a.ctx, a.call)
	if err != nil {
		return err
	}
	defer stream.Close() //nolint:errcheck // The generation has ended or is not wanted.
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.addChunk(a, chunk); err != nil {
			return err
		}
	}
}

// addChunk adds a chunk to the attempt.
func (r *Runner) addChunk(a *attempt, chunk dispatch.Chunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if a.firstChunkAt.IsZero() {
		a.firstChunkAt = now
	}
	a.lastChunkAt = now
	a.server = chunk.Server
	if chunk.FinishReason != "" {
		a.finishReason = chunk.FinishReason
	}
	if err := a.tracker.Add(chunk); err != nil {
		return err
	}
	a.text.WriteString(chunk.Text)
	return nil
}

// verify checks a generation that ended without an error.
func (r *Runner) verify(a *attempt) error {
	if a.finishReason == "" {
		return kind.New(kind.BackendFailed, "the answer has no finish reason")
	}
	if a.tracker.Tokens == 0 {
		return version.Untrusted.New("the answer has no tokens, so no version")
	}
	if a.tracker.CheckPublished(r.Settings().Published) == nil {
		return nil
	}
	return a.tracker.CheckPublished(r.Refresh(a.ctx))
}

// complete ends the attempt. The first good one of a sample finishes it and ends
// the others.
func (r *Runner) complete(a *attempt, err error) {
	r.mu.Lock()
	delete(r.attempts, a.id)
	w := a.sample
	w.attempts = slices.DeleteFunc(w.attempts, func(other *attempt) bool { return other == a })
	g, wanted := r.groups[w.key.Group]
	wanted = wanted && g.samples[w.key.Index] == w
	defer r.wakeUp()
	if !wanted {
		r.mu.Unlock()
		return
	}
	if err != nil {
		final := r.handleFailure(a, g, err)
		r.mu.Unlock()
		if final != nil {
			r.Finish(*final)
		}
		return
	}
	r.updateEstimates(a, g)
	delete(g.samples, w.key.Index)
	for _, other := range w.attempts {
		other.cancel()
	}
	r.mu.Unlock()
	r.Finish(sample.Sample{
		FinishReason: a.finishReason,
		Group:        w.key.Group,
		Index:        w.key.Index,
		Spans:        a.tracker.Spans,
		Text:         a.text.String(),
		Tokens:       a.tracker.Tokens,
	})
}

// updateEstimates updates lengths, rate and window. The lock is held.
func (r *Runner) updateEstimates(a *attempt, g *group) {
	tokens := float64(a.tracker.Tokens)
	g.lengths = append(g.lengths, a.tracker.Tokens)
	if r.meanTokens == 0 {
		r.meanTokens = tokens
	}
	r.meanTokens += (tokens - r.meanTokens) * meanTokensGain
	elapsed := a.lastChunkAt.Sub(a.firstChunkAt).Seconds()
	if elapsed > 0 {
		rate := (tokens - float64(a.resumedTokens)) / elapsed
		if r.tokenRate == 0 {
			r.tokenRate = rate
		}
		r.tokenRate += (rate - r.tokenRate) * tokenRateGain
	}
	r.window.onSuccess(len(r.attempts) + 1)
}

// handleFailure decides what follows on a failure: a later try, or a void position
// for a request that no backend server takes. The lock is held.
func (r *Runner) handleFailure(a *attempt, g *group, err error) *sample.Sample {
	now := r.Now()
	w := a.sample
	e := kind.Of(err)
	switch {
	case a.cancelledByPolicy || e.Kind == kind.Cancelled && a.ctx.Err() != nil:
		return nil
	case e.Kind == kind.BadRequest || e.Kind == kind.TooLarge:
		delete(g.samples, w.key.Index)
		return &sample.Sample{Group: w.key.Group, Index: w.key.Index, Reason: string(e.Kind), Void: true}
	case e.Kind == kind.Overloaded:
		r.window.onOverload(now, r.countProducing(), max(e.RetryAfter, minRetryDelay))
	case e.Kind == kind.Unavailable && e.Ran == kind.RanNo:
		// No server has the version yet, or all are gone: nothing is known
		// against the sample, and the others would meet the same.
		r.window.pauseUntil(now.Add(minRetryDelay))
	default:
		w.failures++
		w.notBefore = now.Add(r.backOff(w.failures))
	}
	r.Logger.DebugContext(a.ctx, "a sample is tried again",
		slog.String("group", w.key.Group), slog.Int("index", w.key.Index), slog.Any("error", err))
	return nil
}

// countProducing is the number of attempts that have tokens. The lock is held.
func (r *Runner) countProducing() int {
	var n int
	for _, a := range r.attempts {
		if !a.firstChunkAt.IsZero() {
			n++
		}
	}
	return n
}

func (*Runner) backOff(failures int) time.Duration {
	return min(maxRetryDelay, minRetryDelay<<min(failures-1, maxDoublings))
}
