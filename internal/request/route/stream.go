package route

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

const (
	// These limits bound the counters of a stream: readmissions, ownerLosses, reroutes,
	// retries and refusals. A retry also needs the shared retry budget.
	maxReadmissions = 3
	maxOwnerLosses  = 3
	maxReroutes     = 6
	maxRetries      = 4
	maxRefusals     = 4
	// spillAfterRefusals is the number of full queues after which a call spills
	// over to servers other than the first two preferred ones. It first waits for
	// spillDelay, within which the crash of a server by a duplicate is reported.
	spillAfterRefusals = 2
	spillDelay         = 30 * time.Millisecond
)

// stream is a running call. It fails over to another engine when one fails.
type stream struct {
	blocks      []uint64
	call        dispatch.Call
	cancel      context.CancelFunc
	ctx         context.Context //nolint:containedctx // It lives as long as the call.
	dispatcher  *Dispatcher
	document    document.Document
	fingerprint uint64
	affinityKey uint64
	state       *serviceState
	span        trace.Span

	// These count the further attempts by reason: a new permit was needed, contact
	// with the queue owner was lost, the attempt did not run, it may have run, or
	// it was refused by a full queue or because of its deadline.
	readmissions, ownerLosses, reroutes, retries, refusals int

	attempts int
	endOnce  sync.Once
	finished bool
	first    *dispatch.Chunk
	permit   *poison.Permit
	// ran states whether an earlier attempt ran; empty means that none did.
	ran     kind.Ran
	running owner.AttemptStream
	server  string
	// lastRefusal is the last error caused by a full queue.
	lastRefusal error
	text        strings.Builder
	tokens      int
	tried       []string
}

// connect starts attempts until one delivers its first chunk or no further attempt
// is allowed.
func (s *stream) connect() error {
	for {
		if err := s.admit(); err != nil {
			return s.withRan(err)
		}
		err := s.attempt()
		if err == nil {
			return nil
		}
		if stop := s.allowRetry(err); stop != nil {
			return s.withRan(stop)
		}
	}
}

// attempt chooses a server and starts an attempt, or two if the call is hedged.
func (s *stream) attempt() error {
	id, err := s.choose()
	if err != nil {
		return finalError{err}
	}
	result := s.startHedged(id)
	if result.err != nil {
		s.server = result.server
		return result.err
	}
	s.first, s.running, s.server = &result.chunk, result.running, result.server
	return nil
}

// finalError marks an error after which no further attempt is made.
type finalError struct{ error }

func (e finalError) Unwrap() error { return e.error }

func (s *stream) choose() (string, error) {
	servers := s.dispatcher.Servers.Servers(s.call.Service)
	target, err := s.state.choose(time.Now(), servers, query{
		isolated: s.permit.Isolated, blocks: s.blocks, call: s.call, fingerprint: s.fingerprint, permitted: s.permit.Exclusive, affinityKey: s.affinityKey,
		self: s.dispatcher.Members.Self(), tried: s.tried,
	})
	return target.ID, err
}

// newAttempt returns the next attempt, which resumes after the tokens received so
// far. Each attempt has its own ID, so that a late chunk of an earlier attempt is
// not mistaken for one of its own.
func (s *stream) newAttempt(server string) owner.Attempt {
	call := s.call
	s.attempts++
	call.Request.ID += "." + strconv.Itoa(s.attempts)
	call.Request.ResumeText = s.call.Request.ResumeText + s.text.String()
	call.Request.ResumeTokens = s.call.Request.ResumeTokens + s.tokens
	return owner.Attempt{Isolated: s.permit.Isolated, Call: call, Fingerprint: s.fingerprint, HoldsPermit: s.permit.Exclusive, Retry: s.retries+s.ownerLosses > 0, Server: server}
}

// allowRetry records that an attempt failed with err. It returns nil if another
// attempt may follow, and the error for the caller otherwise.
func (s *stream) allowRetry(err error) error {
	var stop finalError
	e := kind.Of(err)
	now := time.Now()
	switch {
	case errors.As(err, &stop) && s.lastRefusal != nil:
		return s.lastRefusal
	case errors.As(err, &stop):
		return stop.error
	case s.ctx.Err() != nil, notRetryable(e.Kind):
		s.recordRan(e.Ran)
		return err
	case e.Kind == kind.DoubtfulContent:
		return s.readmit(err)
	case owner.IsHostLost(err):
		s.recordRan(kind.RanUnknown)
		return checkLimit(&s.ownerLosses, maxOwnerLosses, err)
	case e.Ran == kind.RanNo:
		return s.reroute(now, e, err)
	}
	s.recordRan(e.Ran)
	s.recordFailure(now)
	return s.retry(now, err)
}

// reroute allows an attempt at another server after one that did not run the call.
func (s *stream) reroute(now time.Time, e *kind.Error, err error) error {
	s.tried = append(s.tried, s.server)
	switch e.Kind {
	case kind.DeadlineUnmet:
		return checkLimit(&s.refusals, 1, err)
	case kind.Overloaded:
		s.state.markFull(now, s.server, e.RetryAfter)
		s.lastRefusal = err
		if stop := checkLimit(&s.refusals, maxRefusals, err); stop != nil || s.refusals != spillAfterRefusals {
			return stop
		}
		return s.waitBeforeSpill()
	default:
		s.recordFailure(now)
		return checkLimit(&s.reroutes, maxReroutes, err)
	}
}

// waitBeforeSpill delays content that no engine has answered before it goes to a
// third server.
func (s *stream) waitBeforeSpill() error {
	if s.permit.Exclusive || s.state.isSafe(time.Now(), s.fingerprint) {
		return nil
	}
	timer := time.NewTimer(spillDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return kind.Of(s.ctx.Err()).WithRan(kind.RanNo)
	}
}

// retry allows another attempt after one that may have run, within the retry
// budget and maxRetries.
func (s *stream) retry(now time.Time, err error) error {
	s.tried = append(s.tried, s.server)
	if !s.dispatcher.budgets.Withdraw(now, s.budgetKey(), s.document.Retry.Budget) {
		return err
	}
	if stop := checkLimit(&s.retries, maxRetries, err); stop != nil {
		return stop
	}
	s.dispatcher.Logger.InfoContext(s.ctx, "attempt repeated",
		slog.String("request-id", s.call.Request.ID), slog.String("server", s.server),
		slog.Int("tokens", s.tokens), slog.String("error", err.Error()))
	s.span.AddEvent("repeat", trace.WithAttributes(attribute.String("server", s.server)))
	if s.permit.Exclusive {
		return s.readmit(err)
	}
	return nil
}

// admit asks the gate for permission to run the content, which may have become
// suspect since the last attempt.
func (s *stream) admit() error {
	if s.permit.Exclusive || s.call.Class.PoisonExempt() {
		return nil
	}
	permit, err := s.dispatcher.Gate.Admit(s.ctx, s.fingerprint)
	if err != nil {
		return err
	}
	s.permit = permit
	return nil
}

// readmit asks the gate for permission again, after a crash or when another node
// has reported the content as suspect.
func (s *stream) readmit(err error) error {
	if stop := checkLimit(&s.readmissions, maxReadmissions, err); stop != nil {
		return stop
	}
	s.permit.Release(s.ctx, false)
	s.permit = &poison.Permit{}
	permit, refused := s.dispatcher.Gate.AdmitSuspect(s.ctx, s.fingerprint)
	if refused != nil {
		return refused
	}
	s.permit = permit
	return nil
}

// checkLimit increments count and returns err if it then exceeds limit.
func checkLimit(count *int, limit int, err error) error {
	if *count++; *count > limit {
		return err
	}
	return nil
}

// recordRan records whether an attempt ran. RanYes takes precedence over
// RanUnknown, and RanNo changes nothing.
func (s *stream) recordRan(ran kind.Ran) {
	if ran == kind.RanYes || s.ran != kind.RanYes {
		if ran != kind.RanNo {
			s.ran = ran
		}
	}
}

// withRan returns err with the information whether any attempt of the call ran.
func (s *stream) withRan(err error) error {
	e := kind.Of(err)
	switch {
	case s.tokens > 0:
		return e.WithRan(kind.RanYes)
	case s.ran != "" && e.Ran == kind.RanNo:
		return e.WithRan(s.ran)
	default:
		return e
	}
}

func (s *stream) recordFailure(now time.Time) {
	s.state.recordOutcome(now, s.server, true, len(s.dispatcher.Servers.Servers(s.call.Service)))
}

func (s *stream) budgetKey() budgetKey {
	return budgetKey{service: s.call.Service, team: s.call.Team}
}

// Next returns the next chunk, or io.EOF after the last one. If the engine fails,
// another engine resumes the answer after the last token.
func (s *stream) Next() (dispatch.Chunk, error) {
	for {
		chunk, err := s.read()
		switch {
		case err == nil:
			return s.deliver(chunk), nil
		case s.finished:
			s.end(true)
			return dispatch.Chunk{}, io.EOF
		case errors.Is(err, io.EOF):
			err = kind.New(kind.BackendFailed, "backend server %q ended its answer without a finish reason, %d tokens received in all", s.server, s.tokens)
		}
		s.closeRunning()
		if stop := s.allowRetry(err); stop != nil {
			return dispatch.Chunk{}, s.fail(stop)
		}
		if stop := s.connect(); stop != nil {
			return dispatch.Chunk{}, s.fail(stop)
		}
	}
}

func (s *stream) fail(err error) error {
	s.end(false)
	return s.withRan(err)
}

func (s *stream) read() (dispatch.Chunk, error) {
	if s.first != nil {
		chunk := *s.first
		s.first = nil
		return chunk, nil
	}
	if s.running == nil {
		return dispatch.Chunk{}, io.EOF
	}
	chunk, err := s.running.Next()
	if err == nil && chunk.Index != s.call.Request.ResumeTokens+s.tokens {
		return chunk, kind.New(kind.BackendFailed, "backend server %q sent a chunk for token %d, wanted %d",
			s.server, chunk.Index, s.call.Request.ResumeTokens+s.tokens)
	}
	return chunk, err
}

// deliver updates the stream with a chunk and sets its ID to the caller's request
// ID.
func (s *stream) deliver(chunk dispatch.Chunk) dispatch.Chunk {
	if s.tokens == 0 {
		// The first token shows that the engine has read the prompt, which all
		// samples of a group share, without crashing.
		s.state.markSafe(time.Now(), s.fingerprint)
	}
	s.text.WriteString(chunk.Text)
	s.tokens += chunk.Tokens
	s.finished = chunk.FinishReason != ""
	chunk.ID = s.call.Request.ID
	return chunk
}

func (s *stream) closeRunning() {
	if s.running == nil {
		return
	}
	s.state.updateSummary(s.running.Summary())
	_ = s.running.Close() // The outcome of the attempt is already known.
	s.running = nil
}

// Close ends the call and cancels it at the engine.
func (s *stream) Close() error {
	s.end(s.finished)
	return nil
}

func (s *stream) end(finished bool) {
	s.endOnce.Do(func() {
		s.closeRunning()
		s.state.callEnded(s.fingerprint)
		now := time.Now()
		if finished {
			s.state.markSafe(now, s.fingerprint)
			s.state.recordOutcome(now, s.server, false, len(s.dispatcher.Servers.Servers(s.call.Service)))
		}
		s.permit.Release(s.ctx, finished)
		s.cancel()
		s.span.SetAttributes(attribute.Int("attempts", s.attempts), attribute.Int("tokens", s.tokens))
		s.span.End()
	})
}
