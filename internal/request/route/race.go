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

// result is the start of an attempt: its first chunk, or why there is none.
type result struct {
	chunk   dispatch.Chunk
	err     error
	running owner.Running
	server  string
}

// race runs an attempt at the server until its first chunk. A check whose first
// chunk is later than most gets a second attempt elsewhere; the first to answer
// wins and the other is cancelled at its engine.
func (s *stream) race(id string) result {
	after, ok := s.hedgeAfter()
	if !ok {
		return s.launch(s.ctx, s.next(id))
	}
	const attempts = 2
	results := make(chan result, attempts)
	ctx, cancel := context.WithCancel(s.ctx)
	first := s.next(id)
	// Hedged attempts outlive this function only until they have seen the
	// cancelled context.
	var group errgroup.Group
	run := func(ctx context.Context, a owner.Attempt) {
		group.Go(func() error {
			results <- s.launch(ctx, a)
			return nil
		})
	}
	run(ctx, first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case r := <-results:
		return s.keep(r, cancel)
	case <-timer.C:
	}
	second, ok := s.hedge(id)
	if !ok {
		return s.keep(<-results, cancel)
	}
	otherCtx, cancelOther := context.WithCancel(s.ctx)
	run(otherCtx, s.next(second))
	winner := <-results
	if winner.err != nil {
		winner = <-results
		return s.keep(winner, func() { cancel(); cancelOther() })
	}
	group.Go(func() error {
		discard(<-results)
		return nil
	})
	if winner.server == id {
		cancelOther()
		return s.keep(winner, cancel)
	}
	cancel()
	return s.keep(winner, cancelOther)
}

// keep ties the life of the winner's context to its stream.
func (*stream) keep(r result, cancel context.CancelFunc) result {
	if r.err != nil {
		cancel()
		return r
	}
	r.running = cancelling{Running: r.running, cancel: cancel}
	return r
}

// cancelling ends a context with the stream that runs in it.
type cancelling struct {
	owner.Running
	cancel context.CancelFunc
}

// Close ends the attempt and its context.
func (c cancelling) Close() error {
	defer c.cancel()
	return c.Running.Close()
}

func discard(r result) {
	if r.err == nil {
		_ = r.running.Close() // The loser's outcome doesn't matter.
	}
}

// launch starts one attempt and takes in what its answer tells of the server.
func (s *stream) launch(ctx context.Context, a owner.Attempt) result {
	begun := time.Now()
	s.known.sent(a.Server)
	running, err := s.dispatcher.Queues.Start(ctx, a)
	s.known.answered(a.Server)
	if err != nil {
		return result{err: err, server: a.Server}
	}
	chunk, err := running.Next()
	s.known.learn(running.Summary())
	if err == nil && chunk.Index != a.Call.Request.ResumeTokens {
		err = kind.New(kind.BackendFailed, "the answer begins at position %d, wanted %d", chunk.Index, a.Call.Request.ResumeTokens)
	}
	if err != nil {
		_ = running.Close() // The attempt failed.
		return result{err: notEOF(err), server: a.Server}
	}
	now := time.Now()
	if s.call.Class == dispatch.ClassCheck {
		s.known.latency.Observe(now.Sub(begun))
	}
	s.known.served(now, a.Server, s.blocks, chunk.CachedTokens)
	return result{chunk: chunk, running: running, server: a.Server}
}

// notEOF turns the end of an answer without chunks into a failure.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return kind.New(kind.BackendFailed, "the answer has no chunk")
	}
	return err
}

// hedgeAfter returns the time after which this call gets a second attempt.
func (s *stream) hedgeAfter() (time.Duration, bool) {
	if s.call.Class != dispatch.ClassCheck || !s.document.Retry.Hedge || s.pass.Exclusive || s.tokens > 0 {
		return 0, false
	}
	return s.known.latency.HedgeAfter()
}

// hedge chooses the server of the second attempt, if the budget allows one.
func (s *stream) hedge(first string) (string, bool) {
	servers := s.dispatcher.Servers.Servers(s.call.Service)
	target, err := s.known.choose(time.Now(), servers, query{
		blocks: s.blocks, call: s.call, fingerprint: s.fingerprint, held: s.pass.Exclusive, homeKey: s.homeKey,
		self: s.dispatcher.Members.Self(), tried: append([]string{first}, s.tried...),
	})
	if err != nil || !s.dispatcher.budgets.Withdraw(time.Now(), s.budgetKey(), s.document.Retry.Budget) {
		return "", false
	}
	return target.ID, true
}
