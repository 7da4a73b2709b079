// Package owner runs generations on model engines. Each engine has one queue
// owner among the entry hosts, which keeps the engine's queue, its concurrency
// limit and an index of its prefix cache. The other hosts forward their calls to
// the owner, so that requests are ordered without further coordination.
//
// When hosts disagree about the membership, an engine can have two owners for a
// while. That is safe: each owner sees the other's requests in the engine's load
// report and halves its own limit.
package owner

import (
	"time"

	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

// Attempt is one attempt to run a call on one backend server.
type Attempt struct {
	// Isolated means that no other request may run on the server at the same time.
	Isolated bool
	// Call is what to run. The ID of its request identifies the attempt.
	Call dispatch.Call
	// Fingerprint is the hash of the call's content.
	Fingerprint uint64
	// HoldsPermit means that the sender holds the permit to run content that is
	// suspected of crashing engines.
	HoldsPermit bool
	// Retry means that an earlier attempt of the call failed.
	Retry bool
	// Server is the ID of the backend server.
	Server string
}

// AttemptStream is the answer of an attempt whose first chunk has arrived.
type AttemptStream interface {
	// Close ends the attempt and cancels it at the engine.
	Close() error
	// Next returns the next chunk, or io.EOF after the last one. Any other
	// error has a kind and says whether the attempt ran.
	Next() (dispatch.Chunk, error)
	// Summary returns the most recent queue summary that came with the answer.
	Summary() Summary
}

// Summary describes the queue of one engine.
type Summary struct {
	admission.Summary
	// At is when the summary was received.
	At time.Time
	// Down means that the engine cannot be reached.
	Down bool
	// StartRate is the moving average of requests started per second.
	StartRate float64
	// Server is the ID of the backend server. It is empty if there is no summary.
	Server string
	// Version is the weight version that the engine last reported.
	Version int64
}
