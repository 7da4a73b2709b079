// Package idempotency runs a request with an idempotency key at most once across
// all entry hosts. Before the request is sent, the intent to run it is written to
// the key-value service by compare-and-swap.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

var classError = errs.Class("idempotency")

const (
	// MaxAnswerBytes is the size limit of a recorded answer's body.
	MaxAnswerBytes = 64 << 10
	// MaxKeyBytes is the size limit of an idempotency key.
	MaxKeyBytes = 255

	keyPrefix = "nutmegway/idempotency/"
	// keyHashBytes is the length to which the hash of a key is truncated in the
	// store.
	keyHashBytes = 20
)

// Key is an idempotency key. Keys are separate for each team and service.
type Key struct {
	Service string
	Team    string
	// Value is the key that the caller sent.
	Value string
}

// storeKey returns the key under which the record is stored.
func (k Key) storeKey() string {
	sum := sha256.Sum256([]byte(k.Value))
	return keyPrefix + k.Team + "/" + k.Service + "/" + hex.EncodeToString(sum[:keyHashBytes])
}

// Fingerprint returns a hash that identifies the request. Using an idempotency key
// for requests with different fingerprints is an error of the caller.
func Fingerprint(method, target string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{method, target} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// State is the state of a request with an idempotency key.
type State string

// The states of a record.
const (
	// StateAnswered means that the request was answered and the record holds the
	// answer.
	StateAnswered State = "answered"
	// StateIntent means that the request is about to be sent or was sent.
	StateIntent State = "intent"
	// StateNotRun means that no backend server has run the request. Another attempt
	// may follow.
	StateNotRun State = "not-run"
	// StateTooLarge means that the request was answered with a body over
	// MaxAnswerBytes.
	StateTooLarge State = "too-large"
	// StateUnknown means that the request may or may not have run.
	StateUnknown State = "unknown"
)

// Record is the stored state of a request.
type Record struct {
	Answer Answer `json:"answer,omitzero"`
	// At is when the record was written, by the clock of its node.
	At time.Time `json:"at"`
	// Attempt is the unique ID of the attempt to run the request.
	Attempt     string `json:"attempt"`
	Fingerprint string `json:"fingerprint"`
	// Incarnation and Node identify the process that made the attempt.
	Incarnation uint64 `json:"incarnation"`
	Node        string `json:"node"`
	State       State  `json:"state"`
}

// Answer is the answer of a backend server.
type Answer struct {
	Body   []byte      `json:"body,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Status int         `json:"status"`
	// TooLarge means that the body is longer than MaxAnswerBytes. Body then holds only
	// its start, and the answer is not recorded.
	TooLarge bool `json:"-"`
}

func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, classError.Wrap(err)
}

func decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, classError.Wrap(err)
}
