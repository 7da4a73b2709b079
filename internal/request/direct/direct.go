// Package direct sends calls directly to model engines with a simple load
// balancing policy and without admission control. It is the baseline against which
// dispatching through queue owners is measured.
package direct

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

// Candidate is a backend server and the number of calls that this node has in
// flight on it.
type Candidate struct {
	Outstanding int
	Server      server.Server
}

// Dispatcher sends each call to one engine and never retries it. The fields are
// set before the first call.
type Dispatcher struct {
	// Engine returns the client for the engine at an address.
	Engine  func(address string) engine.Engine
	Policy  balance.Policy[Candidate]
	Servers server.View

	mu          sync.Mutex
	outstanding map[string]int
}

var _ dispatch.Dispatcher = &Dispatcher{}

// Outstanding returns the number of calls in flight on a candidate. It is the load
// function for balance.LeastOutstanding.
func Outstanding(c Candidate) int { return c.Outstanding }

// Dispatch sends the call to the engine chosen by the policy.
func (d *Dispatcher) Dispatch(ctx context.Context, call dispatch.Call) (dispatch.Stream, error) {
	target, err := d.reserve(call)
	if err != nil {
		return nil, err
	}
	running, err := d.Engine(target.Address).Generate(ctx, call.Request)
	if err != nil {
		d.release(target.ID)
		return nil, err
	}
	return &stream{dispatcher: d, requestID: call.Request.ID, running: running, server: target.ID}, nil
}

// reserve chooses a server and counts the call as in flight on it until release.
func (d *Dispatcher) reserve(call dispatch.Call) (server.Server, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var candidates []Candidate
	for _, s := range d.Servers.Servers(call.Service) {
		if s.Leaving || slices.Contains(call.Exclude, s.ID) {
			continue
		}
		candidates = append(candidates, Candidate{Outstanding: d.outstanding[s.ID], Server: s})
	}
	index, ok := d.Policy.Pick(candidates)
	if !ok {
		return server.Server{}, kind.New(kind.Unavailable, "service %q has no backend server that may run the request", call.Service)
	}
	if d.outstanding == nil {
		d.outstanding = make(map[string]int)
	}
	target := candidates[index].Server
	d.outstanding[target.ID]++
	return target, nil
}

func (d *Dispatcher) release(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outstanding[id]--; d.outstanding[id] <= 0 {
		delete(d.outstanding, id)
	}
}

type stream struct {
	dispatcher  *Dispatcher
	releaseOnce sync.Once
	requestID   string
	running     engine.Stream
	server      string
}

// Next returns the next chunk of the engine's answer.
func (s *stream) Next() (dispatch.Chunk, error) {
	chunk, err := s.running.Next()
	switch {
	case err == nil && chunk.ID != s.requestID:
		s.release()
		return dispatch.Chunk{}, kind.New(kind.OutcomeUnknown, "backend server %q sent a chunk of request %q, wanted %q", s.server, chunk.ID, s.requestID)
	case err == nil:
		return dispatch.Chunk{Chunk: chunk, Server: s.server}, nil
	case errors.Is(err, io.EOF):
		s.release()
		return dispatch.Chunk{}, io.EOF
	default:
		s.release()
		return dispatch.Chunk{}, kind.Wrap(kind.OutcomeUnknown, err)
	}
}

// Close cancels the generation if it has not ended.
func (s *stream) Close() error {
	s.release()
	return s.running.Close()
}

func (s *stream) release() {
	s.releaseOnce.Do(func() { s.dispatcher.release(s.server) })
}
