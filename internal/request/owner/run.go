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

// run is an attempt on an engine of this node.
type run struct {
	attempt Attempt
	cancel  context.CancelCauseFunc
	ctx     context.Context //nolint:containedctx // It is the life of the stream.
	slot    uint64
	stream  engine.Stream
	worker  *worker

	begun    time.Time
	buffered *engine.Chunk
	first    time.Duration
	index    int
	last     time.Time
	// prefill is the cost of reading the prompt, in generated tokens.
	prefill int
	tokens  int

	ending sync.Once
	timer  *time.Timer
}

var _ Running = &run{}

// begin sends an attempt that has its slot to the engine and waits for the
// first chunk.
func begin(ctx context.Context, w *worker, slot uint64, a Attempt) (*run, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	r := &run{
		attempt: a, begun: now, cancel: cancel, ctx: ctx, index: a.Call.Request.ResumeTokens,
		last: now, slot: slot, worker: w,
	}
	w.mu.Lock()
	w.running[a.Call.Request.ID] = &poison.Suspect{
		Fingerprint: a.Fingerprint,
		Deferred:        a.Call.Class.Owed(),
		Position:    a.Call.Request.ResumeTokens,
	}
	w.mu.Unlock()
	r.timer = time.AfterFunc(w.stallAfter(true), func() { r.watch(true) })
	stream, err := w.engine.Generate(ctx, a.Call.Request)
	if err != nil {
		return nil, r.fail(err)
	}
	r.stream = stream
	chunk, err := r.read()
	if err != nil {
		return nil, err
	}
	r.buffered = &chunk
	return r, nil
}

// watch ends the attempt when the engine sent nothing for too long, unless it
// is loading weights.
func (r *run) watch(first bool) {
	if r.worker.pauses() {
		r.timer.Reset(r.worker.stallAfter(first))
		return
	}
	r.cancel(errStalled)
}

// Next returns the next chunk of the engine's answer.
func (r *run) Next() (dispatch.Chunk, error) {
	if r.buffered != nil {
		chunk := *r.buffered
		r.buffered = nil
		return r.chunk(chunk), nil
	}
	chunk, err := r.read()
	if err != nil {
		return dispatch.Chunk{}, err
	}
	return r.chunk(chunk), nil
}

func (r *run) chunk(c engine.Chunk) dispatch.Chunk {
	return dispatch.Chunk{Chunk: c, Server: r.worker.server.ID}
}

// read returns the next chunk after checking that it belongs here.
func (r *run) read() (engine.Chunk, error) {
	chunk, err := r.stream.Next()
	now := time.Now()
	switch {
	case errors.Is(err, io.EOF):
		r.end(false)
		return chunk, io.EOF
	case err != nil:
		return chunk, r.fail(err)
	case chunk.ID != r.attempt.Call.Request.ID || chunk.Index != r.index:
		return chunk, r.fail(kind.New(kind.BackendFailed, "the engine answered another request or position"))
	}
	if r.tokens == 0 {
		r.first = now.Sub(r.begun)
		r.prefill = prefill(r.attempt.Call.Request.Prompt, chunk.CachedTokens)
		r.worker.served(r.attempt.Call.Request.Prompt, chunk.CachedTokens)
		r.worker.observeChunk(0, chunk)
	} else {
		r.worker.observeChunk(now.Sub(r.last), chunk)
	}
	r.last = now
	r.index += chunk.Tokens
	r.tokens += chunk.Tokens
	r.timer.Reset(r.worker.stallAfter(false))
	return chunk, nil
}

// fail ends the attempt and returns its error, once the other nodes know of a
// crash.
func (r *run) fail(err error) error {
	cause := context.Cause(r.ctx)
	switch {
	case errors.Is(cause, errStalled):
		r.end(true)
		return &kind.Error{Cause: err, Kind: kind.OutcomeUnknown, Message: errStalled.Error(), Ran: kind.RanUnknown}
	case cause != nil:
		r.end(true)
		return kind.Of(cause).WithRan(kind.RanUnknown)
	}
	if k := kind.Of(err).Kind; k == kind.BackendFailed || k == kind.OutcomeUnknown || k == kind.Unavailable {
		r.worker.broken(r.ctx, r.attempt.Call.Request.ID)
	}
	r.end(true)
	return err
}

// Close ends the attempt.
func (r *run) Close() error {
	r.end(true)
	return nil
}

// Summary describes the engine's queue now.
func (r *run) Summary() Summary { return r.worker.summary() }

// end frees the slot. A failed attempt is cancelled at the engine first, and its
// slot stays taken until the engine has heard of it.
func (r *run) end(failed bool) {
	r.ending.Do(func() {
		r.timer.Stop()
		outcome := admission.Outcome{
			Duration: r.last.Sub(r.begun), Failed: failed, FirstToken: r.first, Prefill: r.prefill, Tokens: r.tokens,
		}
		if !failed {
			r.finish(outcome)
			_ = r.stream.Close() // The answer is whole.
			return
		}
		r.cancel(context.Canceled)
		r.worker.owner.group.Go(func() error {
			if r.stream != nil {
				_ = r.stream.Close() // The engine may be gone.
			}
			r.finish(outcome)
			return nil
		})
	})
}

func (r *run) finish(outcome admission.Outcome) {
	r.worker.mu.Lock()
	delete(r.worker.running, r.attempt.Call.Request.ID)
	if !outcome.Failed {
		if r.worker.slow == 0 {
			r.worker.slow = outcome.FirstToken
		}
		r.worker.slow += (outcome.FirstToken - r.worker.slow) / chunkGapGain
	}
	r.worker.mu.Unlock()
	r.worker.release(r.slot, outcome)
}
