// Package dispatch defines the interface through which callers' requests and
// rollouts run generations on model engines.
package dispatch

import (
	"context"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
)

// Class is the scheduling class of a request.
type Class string

// The classes of requests.
const (
	// ClassCheck is an interactive request.
	ClassCheck Class = "check"
	// ClassRollout is a rollout sample for a trainer.
	ClassRollout Class = "rollout"
)

// PoisonExempt reports whether requests of the class are exempt from poison
// detection. These requests are submitted for later processing and are assumed never
// to cause a crash, so they are run again however many servers crashed while running
// them.
func (c Class) PoisonExempt() bool { return c == ClassRollout }

// Call is a generation to run.
type Call struct {
	Class    Class
	Deadline time.Time
	// Exclude lists backend servers that must not run the call.
	Exclude []string
	// ExpectedTokens is the predicted length of the answer; zero means unknown.
	ExpectedTokens int
	// Group identifies calls that share a prompt.
	Group string
	// MinVersion is the oldest weight version that may run the call.
	MinVersion int64
	Request    engine.Request
	Service    string
	// Share is the team or trainer whose fair share the tokens count against.
	Share string
	Team  string
}

// Chunk is a chunk of an answer with the backend server that produced it.
type Chunk struct {
	engine.Chunk
	Server string
}

// Stream is the answer of a running call.
type Stream interface {
	// Close ends the call and cancels it at the engine.
	Close() error
	// Next returns the next chunk, or io.EOF after the last one. Any other error
	// carries a kind and states whether the request ran.
	Next() (Chunk, error)
}

// Dispatcher chooses a backend server for each call and runs the call there.
type Dispatcher interface {
	// Dispatch starts the call and returns its stream of chunks.
	Dispatch(ctx context.Context, call Call) (Stream, error)
}
