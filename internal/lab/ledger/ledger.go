// Package ledger keeps what callers, trainers and backend servers saw, outside
// the product, and judges the product's promises by it.
package ledger

import (
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/standin/caller"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

// RequestKind tells what a caller's request is counted by.
type RequestKind string

// The kinds of requests.
const (
	// RequestBooking has an effect that is counted by its id.
	RequestBooking RequestKind = "booking"
	// RequestGeneration is counted by its prompt.
	RequestGeneration RequestKind = "generation"
	// RequestLookup is counted by its path.
	RequestLookup RequestKind = "look-up"
)

// Request is one request of a caller and what became of it.
type Request struct {
	// Answer is the text of the answer.
	Answer string
	// Faulty requests ask the backend server to break the connection.
	Faulty bool
	// ID is the booking id, the prompt or the path. It is unique.
	ID      string
	Kind    RequestKind
	Outcome caller.Outcome
	// Want is the only right answer.
	Want string
}

// Departure is a backend server that was marked as leaving.
type Departure struct {
	Address string
	At      time.Time
	// Until is when it came back; zero is never.
	Until time.Time
}

// Drain is a planned stop of an entry host.
type Drain struct {
	// Address is where its callers connect.
	Address string
	At      time.Time
	Until   time.Time
}

// Acceptance is an edit that the administration API accepted.
type Acceptance struct {
	At time.Time
	// Number orders the edits; the document carries it.
	Number int
}

// Observation is the edit in force on an entry host, seen from outside.
type Observation struct {
	Node   string
	Number int
	// Since is when the node started; a restart begins a new series.
	Since time.Time
	// Sent is when the observer asked.
	Sent time.Time
}

// Ledger collects the records. The zero value is ready.
type Ledger struct {
	mu sync.Mutex
	Records
}

// Records are all that the judgement rests on.
type Records struct {
	Acceptances  []Acceptance
	Departures   []Departure
	Drains       []Drain
	Observations []Observation
	Requests     []Request
	// Engines, Plains and Trainers are added at the end of a run.
	Engines  map[string]engine.GroundTruth
	Plains   map[string]plain.GroundTruth
	Trainers []trainer.Log
}

// Add changes the records under the ledger's lock.
func (l *Ledger) Add(change func(*Records)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.Records)
}

// AddRequest records a finished request.
func (l *Ledger) AddRequest(request Request) {
	l.Add(func(r *Records) { r.Requests = append(r.Requests, request) })
}
