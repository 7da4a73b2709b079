// Package ledger records what callers, trainers and backend servers observe, outside
// the product, and checks the product's guarantees against the records.
package ledger

import (
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/standin/caller"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

// RequestKind is the kind of a caller's request. The runs of a request are counted by
// its booking id, prompt or path, depending on the kind.
type RequestKind string

// The kinds of requests.
const (
	// RequestBooking has an effect, which is counted by the booking id.
	RequestBooking RequestKind = "booking"
	// RequestGeneration is counted by its prompt.
	RequestGeneration RequestKind = "generation"
	// RequestLookup is counted by its path.
	RequestLookup RequestKind = "look-up"
)

// Request is one request of a caller and its outcome.
type Request struct {
	// Answer is the text of the response.
	Answer string
	// Faulty is true if the request asks the backend server for a fault, such as a
	// reset of the connection.
	Faulty bool
	// ID is the booking id, the prompt or the path. It is unique.
	ID      string
	Kind    RequestKind
	Outcome caller.Outcome
	// Want is the only correct value of Answer.
	Want string
}

// Departure is a backend server that was marked as leaving.
type Departure struct {
	Address string
	At      time.Time
	// Until is when the server was marked live again; zero if it was not.
	Until time.Time
}

// Drain is a planned stop of an entry host.
type Drain struct {
	// Address is the host's address for callers.
	Address string
	At      time.Time
	Until   time.Time
}

// Acceptance is an edit that the administration API accepted.
type Acceptance struct {
	At time.Time
	// Number identifies the edit in the document. Later edits have higher numbers.
	Number int
}

// Observation is the edit in force on an entry host, as seen by its callers.
type Observation struct {
	Node   string
	Number int
	// Since is when the node started. Observations are compared only within one start
	// of the node.
	Since time.Time
	// Sent is when the request was sent.
	Sent time.Time
}

// Ledger collects the records of a run. The zero value is ready to use.
type Ledger struct {
	mu sync.Mutex
	Records
}

// Records are all observations that the guarantees are checked against.
type Records struct {
	Acceptances  []Acceptance
	Departures   []Departure
	Drains       []Drain
	Observations []Observation
	Requests     []Request
	// Engines, Plains and Trainers are added at the end of a run. Engines and Plains are
	// keyed by the server's address.
	Engines  map[string]engine.GroundTruth
	Plains   map[string]plain.GroundTruth
	Trainers []trainer.Log
}

// Add calls change with the records while it holds the ledger's lock.
func (l *Ledger) Add(change func(*Records)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.Records)
}

// AddRequest records a finished request.
func (l *Ledger) AddRequest(request Request) {
	l.Add(func(r *Records) { r.Requests = append(r.Requests, request) })
}
