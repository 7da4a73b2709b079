// Package dispatch is the narrow interface through which generations reach a
// model engine. Callers' requests and rollouts use the same one.
package dispatch

import (
	"context"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
)

// Class orders requests on the same engines.
type Class string

// The classes of requests.
const (
	// ClassCheck is a request that a person waits for.
	ClassCheck Class = "check"
	// ClassRollout is a sample for a trainer.
	ClassRollout Class = "rollout"
)

// Owed reports whether requests of the class are handed in for later. They never crash
// servers by themselves, so they are placed again however many ended under them.
func (c Class) Owed() bool { return c == ClassRollout }

// Call is one generation to be run.
type Call struct {
	Class    Class
	Deadline time.Time
	// Exclude lists backend servers that must not run the call.
	Exclude []string
	// ExpectedTokens is the predicted length of the answer; zero is unknown.
	ExpectedTokens int
	// Group is shared by calls that have their prompt in common.
	Group string
	// MinVersion is the oldest weight version that may run the call.
	MinVersion int64
	Request    engine.Request
	Service    string
	// Share names whose share the tokens count against: a team or a trainer.
	Share string
	Team  string
}

// Chunk is a chunk of the answer and the backend server that produced it.
type Chunk struct {
	engine.Chunk
	Server string
}

// Stream is a running call.
type Stream interface {
	// Close ends the call and cancels it at the engine.
	Close() error
	// Next returns the next chunk, or io.EOF after the last one. An error
	// carries a kind and whether the request ran.
	Next() (Chunk, error)
}

// Dispatcher runs calls.
type Dispatcher interface {
	Dispatch(ctx context.Context, call Call) (Stream, error)
}
