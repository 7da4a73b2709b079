package owner

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

// localStream is an attempt on an engine whose queue this node owns.
type localStream struct {
	attempt Attempt
	cancel  context.CancelCauseFunc
	ctx     context.Context //nolint:containedctx // It spans the lifetime of the stream.
	slot    uint64
	stream  engine.Stream
	queue   *engineQueue

	started          time.Time
	buffered         *engine.Chunk
	timeToFirstChunk time.Duration
	nextIndex        int
	lastChunk        time.Time
	// prefillCost is the cost of reading the prompt, in generated tokens.
	prefillCost int
	tokens      int

	endOnce    sync.Once
	stallTimer *time.Timer
}

var _ AttemptStream = &localStream{}

// startLocal sends the attempt to the engine and waits for its first chunk. slot is the
// slot that the attempt has been granted.
func startLocal(ctx context.Context, q *engineQueue, slot uint64, a Attempt) (*localStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	s := &localStream{
		attempt: a, started: now, cancel: cancel, ctx: ctx, nextIndex: a.Call.Request.ResumeTokens,
		lastChunk: now, slot: slot, queue: q,
	}
	q.mu.Lock()
	q.running[a.Call.Request.ID] = &poison.Suspect{
		Fingerprint: a.Fingerprint,
		Exempt:      a.Call.Class.PoisonExempt(),
		Position:    a.Call.Request.ResumeTokens,
	}
	q.mu.Unlock()
	s.stallTimer = time.AfterFunc(q.stallTimeout(true), func() { s.checkStall(true) })
	stream, err := q.engine.Generate(ctx, a.Call.Request)
	if err != nil {
		return nil, s.fail(err)
	}
	s.stream = stream
	chunk, err := s.read()
	if err != nil {
		return nil, err
	}
	s.buffered = &chunk
	return s, nil
}

// checkStall cancels the attempt after the stall timeout, unless the engine is
// loading weights.
func (s *localStream) checkStall(first bool) {
	if s.queue.loadsWeights() {
		s.stallTimer.Reset(s.queue.stallTimeout(first))
		return
	}
	s.cancel(errStalled)
}

// Next returns the next chunk of the engine's answer.
func (s *localStream) Next() (dispatch.Chunk, error) {
	if s.buffered != nil {
		chunk := *s.buffered
		s.buffered = nil
		return s.withServer(chunk), nil
	}
	chunk, err := s.read()
	if err != nil {
		return dispatch.Chunk{}, err
	}
	return s.withServer(chunk), nil
}

func (s *localStream) withServer(c engine.Chunk) dispatch.Chunk {
	return dispatch.Chunk{Chunk: c, Server: s.queue.server.ID}
}

// read returns the next chunk after checking its request and position.
func (s *localStream) read() (engine.Chunk, error) {
	chunk, err := s.stream.Next()
	now := time.Now()
	switch {
	case errors.Is(err, io.EOF):
		s.end(false)
		return chunk, io.EOF
	case err != nil:
		return chunk, s.fail(err)
	case chunk.ID != s.attempt.Call.Request.ID || chunk.Index != s.nextIndex:
		return chunk, s.fail(kind.New(kind.BackendFailed, "backend server %q sent a chunk for request %q at position %d, want request %q at position %d",
			s.queue.server.ID, chunk.ID, chunk.Index, s.attempt.Call.Request.ID, s.nextIndex))
	}
	if s.tokens == 0 {
		s.timeToFirstChunk = now.Sub(s.started)
		s.prefillCost = prefillCost(s.attempt.Call.Request.Prompt, chunk.CachedTokens)
		s.queue.updateCacheIndex(s.attempt.Call.Request.Prompt, chunk.CachedTokens)
		s.queue.observeChunk(0, chunk)
	} else {
		s.queue.observeChunk(now.Sub(s.lastChunk), chunk)
	}
	s.lastChunk = now
	s.nextIndex += chunk.Tokens
	s.tokens += chunk.Tokens
	s.stallTimer.Reset(s.queue.stallTimeout(false))
	return chunk, nil
}

// fail ends the attempt and returns its error. If the engine crashed, it first reports
// the crash to the other nodes.
func (s *localStream) fail(err error) error {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errStalled):
		s.end(true)
		return &kind.Error{Cause: err, Kind: kind.OutcomeUnknown, Message: errStalled.Error(), Ran: kind.RanUnknown}
	case cause != nil:
		s.end(true)
		return kind.Of(cause).WithRan(kind.RanUnknown)
	}
	if k := kind.Of(err).Kind; k == kind.BackendFailed || k == kind.OutcomeUnknown || k == kind.Unavailable {
		s.queue.handleBrokenConnection(s.ctx, s.attempt.Call.Request.ID)
	}
	s.end(true)
	return err
}

// Close ends the attempt and cancels it at the engine.
func (s *localStream) Close() error {
	s.end(true)
	return nil
}

// Summary describes the current state of the engine's queue.
func (s *localStream) Summary() Summary { return s.queue.summary() }

// end releases the slot. A failed attempt is first cancelled at the engine, and keeps
// its slot until the stream to the engine is closed.
func (s *localStream) end(failed bool) {
	s.endOnce.Do(func() {
		s.stallTimer.Stop()
		outcome := admission.Outcome{
			Duration: s.lastChunk.Sub(s.started), Failed: failed, FirstToken: s.timeToFirstChunk, PrefillTokens: s.prefillCost, Tokens: s.tokens,
		}
		if !failed {
			s.finish(outcome)
			_ = s.stream.Close() // The answer is complete.
			return
		}
		s.cancel(context.Canceled)
		s.queue.owner.cancellations.Go(func() error {
			if s.stream != nil {
				_ = s.stream.Close() // The engine may be gone.
			}
			s.finish(outcome)
			return nil
		})
	})
}

func (s *localStream) finish(outcome admission.Outcome) {
	s.queue.mu.Lock()
	delete(s.queue.running, s.attempt.Call.Request.ID)
	if !outcome.Failed {
		if s.queue.timeToFirstChunk == 0 {
			s.queue.timeToFirstChunk = outcome.FirstToken
		}
		s.queue.timeToFirstChunk += (outcome.FirstToken - s.queue.timeToFirstChunk) / averageDivisor
	}
	s.queue.mu.Unlock()
	s.queue.release(s.slot, outcome)
}
