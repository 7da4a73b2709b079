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
	// The limits of one call, beside the budget that it shares with others.
	maxAdmissions = 3
	maxLost       = 3
	maxMoves      = 6
	maxRepeats    = 4
	maxSheds      = 4
	// homesTried is the number of full queues after which a call leaves the homes
	// of its content, and leaveHomesAfter the pause before it: if copies crash
	// their servers, the report comes within it.
	homesTried      = 2
	leaveHomesAfter = 30 * time.Millisecond
)

// stream is a running call. It changes to another engine when one fails.
type stream struct {
	blocks      []uint64
	call        dispatch.Call
	cancel      context.CancelFunc
	ctx         context.Context //nolint:containedctx // It is the life of the call.
	dispatcher  *Dispatcher
	document    document.Document
	fingerprint uint64
	homeKey     uint64
	known       *knowledge
	span        trace.Span

	// admissions, lost, moves, repeats and sheds count why attempts were made.
	admissions, lost, moves, repeats, sheds int

	attempts int
	ending   sync.Once
	finished bool
	first    *dispatch.Chunk
	pass     *poison.Permit
	// ran is what the attempts so far leave open or prove.
	ran     kind.Ran
	running owner.Running
	server  string
	// shed is the last refusal because of a full queue.
	shed   error
	text   strings.Builder
	tokens int
	tried  []string
}

// connect starts attempts until one has its first chunk or no further one is
// allowed.
func (s *stream) connect() error {
	for {
		if err := s.admit(); err != nil {
			return s.truth(err)
		}
		err := s.attempt()
		if err == nil {
			return nil
		}
		if stop := s.again(err); stop != nil {
			return s.truth(stop)
		}
	}
}

// attempt chooses a server and runs one attempt, or two when it is hedged.
func (s *stream) attempt() error {
	id, err := s.choose()
	if err != nil {
		return finalError{err}
	}
	result := s.race(id)
	if result.err != nil {
		s.server = result.server
		return result.err
	}
	s.first, s.running, s.server = &result.chunk, result.running, result.server
	return nil
}

// finalError marks an error after which no other attempt makes sense.
type finalError struct{ error }

func (g finalError) Unwrap() error { return g.error }

func (s *stream) choose() (string, error) {
	servers := s.dispatcher.Servers.Servers(s.call.Service)
	target, err := s.known.choose(time.Now(), servers, query{
		alone: s.pass.Alone, blocks: s.blocks, call: s.call, fingerprint: s.fingerprint, held: s.pass.Exclusive, homeKey: s.homeKey,
		self: s.dispatcher.Members.Self(), tried: s.tried,
	})
	return target.ID, err
}

// next builds the next attempt, which goes on after the tokens so far. Each has
// an id of its own, so that no late chunk of another is taken for its own.
func (s *stream) next(server string) owner.Attempt {
	call := s.call
	s.attempts++
	call.Request.ID += "." + strconv.Itoa(s.attempts)
	call.Request.ResumeText = s.call.Request.ResumeText + s.text.String()
	call.Request.ResumeTokens = s.call.Request.ResumeTokens + s.tokens
	return owner.Attempt{Alone: s.pass.Alone, Call: call, Fingerprint: s.fingerprint, Held: s.pass.Exclusive, Repeat: s.repeats+s.lost > 0, Server: server}
}

// again decides whether the error of an attempt allows another one, and returns
// the error for the caller when it doesn't.
func (s *stream) again(err error) error {
	var stop finalError
	e := kind.Of(err)
	now := time.Now()
	switch {
	case errors.As(err, &stop) && s.shed != nil:
		return s.shed
	case errors.As(err, &stop):
		return stop.error
	case s.ctx.Err() != nil, refusedByBackend(e.Kind):
		s.doubt(e.Ran)
		return err
	case e.Kind == kind.DoubtfulContent:
		return s.readmit(err)
	case owner.IsLost(err):
		s.doubt(kind.RanUnknown)
		return within(&s.lost, maxLost, err)
	case e.Ran == kind.RanNo:
		return s.move(now, e, err)
	}
	s.doubt(e.Ran)
	s.failed(now)
	return s.repeat(now, err)
}

// move goes to another server after one that did not run the call.
func (s *stream) move(now time.Time, e *kind.Error, err error) error {
	s.tried = append(s.tried, s.server)
	switch e.Kind {
	case kind.DeadlineUnmet:
		return within(&s.sheds, 1, err)
	case kind.Overloaded:
		s.known.refused(now, s.server, e.RetryAfter)
		s.shed = err
		if stop := within(&s.sheds, maxSheds, err); stop != nil || s.sheds != homesTried {
			return stop
		}
		return s.pause()
	default:
		s.failed(now)
		return within(&s.moves, maxMoves, err)
	}
}

// pause waits before content that no engine has answered goes to a third server.
func (s *stream) pause() error {
	if s.pass.Exclusive || s.known.ranBefore(time.Now(), s.fingerprint) {
		return nil
	}
	timer := time.NewTimer(leaveHomesAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return kind.Of(s.ctx.Err()).WithRan(kind.RanNo)
	}
}

func (s *stream) repeat(now time.Time, err error) error {
	s.tried = append(s.tried, s.server)
	if !s.dispatcher.budgets.Withdraw(now, s.budgetKey(), s.document.Retry.Budget) {
		return err
	}
	if stop := within(&s.repeats, maxRepeats, err); stop != nil {
		return stop
	}
	s.dispatcher.Logger.InfoContext(s.ctx, "attempt repeated",
		slog.String("request-id", s.call.Request.ID), slog.String("server", s.server),
		slog.Int("tokens", s.tokens), slog.String("error", err.Error()))
	s.span.AddEvent("repeat", trace.WithAttributes(attribute.String("server", s.server)))
	if s.pass.Exclusive {
		return s.readmit(err)
	}
	return nil
}

// admit asks for the permission to run the content, which it may need by now.
func (s *stream) admit() error {
	if s.pass.Exclusive || s.call.Class.Owed() {
		return nil
	}
	pass, err := s.dispatcher.Gate.Admit(s.ctx, s.fingerprint)
	if err != nil {
		return err
	}
	s.pass = pass
	return nil
}

// readmit asks the gate of the content again, after a crash or when another node
// found the content doubtful.
func (s *stream) readmit(err error) error {
	if stop := within(&s.admissions, maxAdmissions, err); stop != nil {
		return stop
	}
	s.pass.Release(s.ctx, false)
	s.pass = &poison.Permit{}
	pass, refused := s.dispatcher.Gate.Hold(s.ctx, s.fingerprint)
	if refused != nil {
		return refused
	}
	s.pass = pass
	return nil
}

// within counts one more and returns err once the limit is passed.
func within(count *int, limit int, err error) error {
	if *count++; *count > limit {
		return err
	}
	return nil
}

func (s *stream) doubt(ran kind.Ran) {
	if ran == kind.RanYes || s.ran != kind.RanYes {
		if ran != kind.RanNo {
			s.ran = ran
		}
	}
}

// truth states in a refusal whether any attempt ran.
func (s *stream) truth(err error) error {
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

func (s *stream) failed(now time.Time) {
	s.known.observe(now, s.server, true, len(s.dispatcher.Servers.Servers(s.call.Service)))
}

func (s *stream) budgetKey() budgetKey {
	return budgetKey{service: s.call.Service, team: s.call.Team}
}

// Next returns the next chunk. When the engine fails, the answer goes on from
// the last token on another one.
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
			err = kind.New(kind.BackendFailed, "the answer ended without its last chunk")
		}
		s.closeRunning()
		if stop := s.again(err); stop != nil {
			return dispatch.Chunk{}, s.fail(stop)
		}
		if stop := s.connect(); stop != nil {
			return dispatch.Chunk{}, s.fail(stop)
		}
	}
}

func (s *stream) fail(err error) error {
	s.end(false)
	return s.truth(err)
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
		return chunk, kind.New(kind.BackendFailed, "the chunk is for position %d, wanted %d",
			chunk.Index, s.call.Request.ResumeTokens+s.tokens)
	}
	return chunk, err
}

// deliver notes a chunk and gives it the caller's request id.
func (s *stream) deliver(chunk dispatch.Chunk) dispatch.Chunk {
	if s.tokens == 0 {
		// The engine has read the prompt, which all samples of a group share.
		s.known.prove(time.Now(), s.fingerprint)
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
	s.known.learn(s.running.Summary())
	_ = s.running.Close() // The attempt's outcome is known.
	s.running = nil
}

// Close ends the call and cancels it at the engine.
func (s *stream) Close() error {
	s.end(s.finished)
	return nil
}

func (s *stream) end(finished bool) {
	s.ending.Do(func() {
		s.closeRunning()
		s.known.ended(s.fingerprint)
		now := time.Now()
		if finished {
			s.known.prove(now, s.fingerprint)
			s.known.observe(now, s.server, false, len(s.dispatcher.Servers.Servers(s.call.Service)))
		}
		s.pass.Release(s.ctx, finished)
		s.cancel()
		s.span.SetAttributes(attribute.Int("attempts", s.attempts), attribute.Int("tokens", s.tokens))
		s.span.End()
	})
}
