package route

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
)

// attemptStart is the outcome of starting an attempt: its first chunk or an error.
type attemptStart struct {
	chunk   dispatch.Chunk
	err     error
	running owner.AttemptStream
	server  string
}

// startHedged starts an attempt at the server and waits for its first chunk. If
// none arrives within the delay from hedgeDelay, it starts a second attempt at the
// server from chooseHedge. It returns the attempt whose first chunk arrives first and
// cancels the other at its engine. If one of the two fails, it records that and waits
// for the other.
func (s *stream) startHedged(id string) attemptStart {
	delay, ok := s.hedgeDelay()
	if !ok {
		return s.startAttempt(s.ctx, s.newAttempt(id))
	}
	const attempts = 2
	results := make(chan attemptStart, attempts)
	ctx, cancel := context.WithCancel(s.ctx)
	first := s.newAttempt(id)
	// startHedged does not wait for the group. The losing attempt continues after
	// startHedged has returned, until it notices that its context is cancelled.
	var group errgroup.Group
	run := func(ctx context.Context, a owner.Attempt) {
		group.Go(func() error {
			results <- s.startAttempt(ctx, a)
			return nil
		})
	}
	run(ctx, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return s.attachCancel(r, cancel)
	case <-timer.C:
	}
	second, ok := s.chooseHedge(id)
	if !ok {
		return s.attachCancel(<-results, cancel)
	}
	otherCtx, cancelOther := context.WithCancel(s.ctx)
	run(otherCtx, s.newAttempt(second))
	winner := <-results
	if winner.err != nil {
		s.recordHedgeFailure(time.Now(), winner)
		winner = <-results
		return s.attachCancel(winner, func() { cancel(); cancelOther() })
	}
	group.Go(func() error {
		discard(<-results)
		return nil
	})
	if winner.server == id {
		cancelOther()
		return s.attachCancel(winner, cancel)
	}
	cancel()
	return s.attachCancel(winner, cancelOther)
}

// recordHedgeFailure records a failed attempt beside which another one goes on. Only the
// error of the other one is returned, so whether this attempt ran would be lost.
func (s *stream) recordHedgeFailure(now time.Time, failed attemptStart) {
	ran := kind.Of(failed.err).Ran
	if owner.IsHostLost(failed.err) {
		ran = kind.RanUnknown
	}
	s.recordRan(ran)
	s.tried = append(s.tried, failed.server)
	if ran != kind.RanNo {
		s.state.recordOutcome(now, failed.server, true, len(s.dispatcher.Servers.Servers(s.call.Service)))
	}
}

// attachCancel makes the attempt cancel its context when it is closed. If the
// attempt failed, attachCancel cancels the context at once.
func (*stream) attachCancel(r attemptStart, cancel context.CancelFunc) attemptStart {
	if r.err != nil {
		cancel()
		return r
	}
	r.running = cancelOnClose{AttemptStream: r.running, cancel: cancel}
	return r
}

// cancelOnClose is an attempt that cancels its context when it is closed.
type cancelOnClose struct {
	owner.AttemptStream
	cancel context.CancelFunc
}

// Close ends the attempt and cancels its context.
func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.AttemptStream.Close()
}

func discard(r attemptStart) {
	if r.err == nil {
		_ = r.running.Close() // The outcome of the losing attempt is irrelevant.
	}
}

// startAttempt starts one attempt, waits for its first chunk, and updates the
// service state from the answer.
func (s *stream) startAttempt(ctx context.Context, a owner.Attempt) attemptStart {
	start := time.Now()
	s.state.attemptSent(a.Server)
	running, err := s.dispatcher.Queues.Start(ctx, a)
	s.state.attemptAnswered(a.Server)
	if err != nil {
		return attemptStart{err: err, server: a.Server}
	}
	chunk, err := running.Next()
	s.state.updateSummary(running.Summary())
	if err == nil && chunk.Index != a.Call.Request.ResumeTokens {
		err = kind.New(kind.BackendFailed, "backend server %q began its answer at token %d, wanted %d", a.Server, chunk.Index, a.Call.Request.ResumeTokens)
	}
	if err != nil {
		_ = running.Close() // The attempt has already failed with err.
		return attemptStart{err: rejectEOF(err), server: a.Server}
	}
	now := time.Now()
	if s.call.Class == dispatch.ClassCheck {
		s.state.latency.Observe(now.Sub(start))
	}
	s.state.recordPrompt(now, a.Server, s.blocks, chunk.CachedTokens)
	return attemptStart{chunk: chunk, running: running, server: a.Server}
}

// rejectEOF replaces io.EOF before the first chunk by a BackendFailed error.
func rejectEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return kind.New(kind.BackendFailed, "the answer ended before its first chunk")
	}
	return err
}

// hedgeDelay returns the time without a first chunk after which the call gets a
// second attempt, or false if the call is not hedged. Only checks are hedged, before
// their first token, if the service enables it and the content needs no permission
// of the gate.
func (s *stream) hedgeDelay() (time.Duration, bool) {
	if s.call.Class != dispatch.ClassCheck || !s.document.Retry.Hedge || s.permit.Exclusive || s.tokens > 0 {
		return 0, false
	}
	return s.state.latency.HedgeDelay()
}

// chooseHedge returns the server for the second attempt, or false if there is no
// other server or the retry budget is used up.
func (s *stream) chooseHedge(first string) (string, bool) {
	servers := s.dispatcher.Servers.Servers(s.call.Service)
	target, err := s.state.choose(time.Now(), servers, query{
		blocks: s.blocks, call: s.call, fingerprint: s.fingerprint, permitted: s.permit.Exclusive, affinityKey: s.affinityKey,
		self: s.dispatcher.Members.Self(), tried: append([]string{first}, s.tried...),
	})
	if err != nil || !s.dispatcher.budgets.Withdraw(time.Now(), s.budgetKey(), s.document.Retry.Budget) {
		return "", false
	}
	return target.ID, true
}
