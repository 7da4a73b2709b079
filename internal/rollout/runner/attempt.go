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
	// spareSeedOffset is the difference between the seeds of a sample and its first
	// spare, and of successive spares.
	spareSeedOffset = 1 << 32
	// minAffinityPromptBytes is the shortest prompt for which the samples of a
	// group are kept on one engine. Processing a shorter prompt more than once
	// costs less than the imbalance between engines.
	minAffinityPromptBytes = 1 << 10
	// minRetryDelay and maxRetryDelay bound the back-off of a sample.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxDoublings bounds the number of times that the back-off doubles.
	maxDoublings = 7
)

var tracer = otel.Tracer("nutmegway/runner")

// attempt is one generation of a sample. Runner.mu guards the fields that change
// while it runs.
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

// view returns the attempt as the policy sees it. Runner.mu must be held.
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

// newAttempt registers an attempt without starting it. It returns nil if its sample
// is no longer pending. r.mu must be held.
func (r *Runner) newAttempt(ctx context.Context, settings Settings, start schedule.Start) *attempt {
	g, ok := r.groups[start.Key.Group]
	if !ok {
		return nil
	}
	pending, ok := g.samples[start.Key.Index]
	if !ok {
		return nil
	}
	r.attemptCount++
	a := &attempt{id: fmt.Sprintf("%s-%d", r.AttemptPrefix, r.attemptCount), startedAt: r.Now(), sample: pending}
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
	if from, ok := r.attempts[start.ResumeFrom]; ok && from.sample == pending {
		a.resumeFrom(from)
	}
	pending.attempts = append(pending.attempts, a)
	r.attempts[a.id] = a
	return a
}

// resumeFrom makes the attempt continue after the tokens of from.
func (a *attempt) resumeFrom(from *attempt) {
	a.tracker = from.tracker
	a.tracker.Spans = slices.Clone(from.tracker.Spans)
	a.text.WriteString(from.text.String())
	a.resumedTokens = a.tracker.Tokens
	a.call.Request.ResumeText = a.text.String()
	a.call.Request.ResumeTokens = a.tracker.Tokens
}

// run generates the attempt, checks its result and completes it.
func (r *Runner) run(a *attempt) {
	err := r.generate(a)
	if err == nil {
		err = r.verify(a)
	}
	a.cancel()
	a.span.End()
	r.complete(a, err)
}

// generate dispatches the attempt and reads its stream to the end.
func (r *Runner) generate(a *attempt) error {
	stream, err := r.Dispatcher.Dispatch(a.ctx, a.call)
	if err != nil {
		return err
	}
	defer stream.Close() //nolint:errcheck // The generation has ended or is no longer needed.
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

// verify checks a generation that ended without an error. It refreshes the newest
// published version if the attempt has a version that is not known here.
func (r *Runner) verify(a *attempt) error {
	if a.finishReason == "" {
		return kind.New(kind.BackendFailed, "server %q ended the generation after %d tokens without a finish reason", a.server, a.tracker.Tokens)
	}
	if a.tracker.Tokens == 0 {
		return version.Untrusted.New("server %q ended the generation without a token, so the weight version is unknown", a.server)
	}
	if a.tracker.CheckPublished(r.Settings().Published) == nil {
		return nil
	}
	return a.tracker.CheckPublished(r.Refresh(a.ctx))
}

// complete removes the attempt, which failed if err is not nil. The first
// successful attempt of a sample finishes the sample and cancels the others.
func (r *Runner) complete(a *attempt, err error) {
	r.mu.Lock()
	delete(r.attempts, a.id)
	pending := a.sample
	pending.attempts = slices.DeleteFunc(pending.attempts, func(other *attempt) bool { return other == a })
	g, isPending := r.groups[pending.key.Group]
	isPending = isPending && g.samples[pending.key.Index] == pending
	defer r.wakeUp()
	if !isPending {
		r.mu.Unlock()
		return
	}
	if err != nil {
		void := r.handleFailure(a, g, err)
		r.mu.Unlock()
		if void != nil {
			r.Finish(*void)
		}
		return
	}
	r.updateEstimates(a, g)
	delete(g.samples, pending.key.Index)
	for _, other := range pending.attempts {
		other.cancel()
	}
	r.mu.Unlock()
	r.Finish(sample.Sample{
		FinishReason: a.finishReason,
		Group:        pending.key.Group,
		Index:        pending.key.Index,
		Spans:        a.tracker.Spans,
		Text:         a.text.String(),
		Tokens:       a.tracker.Tokens,
	})
}

// updateEstimates updates the lengths of the group, the mean length, the token rate
// and the window after a successful attempt. r.mu must be held.
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

// handleFailure handles a failed attempt of a pending sample. For a request that no
// backend server accepts, it returns a void sample. Otherwise it returns nil, and
// the sample can be started again. Depending on the error, it first sets a back-off
// of the sample or a pause of all starts. r.mu must be held.
func (r *Runner) handleFailure(a *attempt, g *group, err error) *sample.Sample {
	now := r.Now()
	pending := a.sample
	e := kind.Of(err)
	switch {
	case a.cancelledByPolicy || e.Kind == kind.Cancelled && a.ctx.Err() != nil:
		return nil
	case e.Kind == kind.BadRequest || e.Kind == kind.TooLarge:
		delete(g.samples, pending.key.Index)
		return &sample.Sample{Group: pending.key.Group, Index: pending.key.Index, Reason: string(e.Kind), Void: true}
	case e.Kind == kind.Overloaded:
		r.window.onOverload(now, r.countProducing(), max(e.RetryAfter, minRetryDelay))
	case e.Kind == kind.Unavailable && e.Ran == kind.RanNo:
		// No server has the version yet, or all servers are gone. The failure is
		// not specific to this sample, so all starts are paused.
		r.window.pauseUntil(now.Add(minRetryDelay))
	default:
		pending.failures++
		pending.notBefore = now.Add(r.backOff(pending.failures))
	}
	r.Logger.DebugContext(a.ctx, "attempt failed; sample can be started again",
		slog.String("group", pending.key.Group), slog.Int("index", pending.key.Index), slog.Any("error", err))
	return nil
}

// countProducing returns the number of attempts that have received tokens. r.mu must
// be held.
func (r *Runner) countProducing() int {
	var n int
	for _, a := range r.attempts {
		if !a.firstChunkAt.IsZero() {
			n++
		}
	}
	return n
}

// backOff returns the delay before the next attempt of a sample that has failed
// failures times.
func (*Runner) backOff(failures int) time.Duration {
	return min(maxRetryDelay, minRetryDelay<<min(failures-1, maxDoublings))
}
