// Package sample defines the data that trainers exchange with entry hosts: orders
// for groups of samples, the samples, and the weight versions of their tokens.
package sample

import (
	"encoding/json"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// MaxPromptBytes is the maximum length of a group's prompt.
const MaxPromptBytes = 512 << 10

// MaxSampleCount is the maximum number of samples in a group.
const MaxSampleCount = 4096

// Group is an order for samples that share one prompt. Its id is the idempotency
// key of the order.
type Group struct {
	Deadline  time.Time `json:"deadline,omitzero"`
	ID        string    `json:"id"`
	MaxTokens int       `json:"max-tokens"`
	// Priority orders the groups of a trainer. Those of higher priority start
	// first.
	Priority    int    `json:"priority,omitempty"`
	Prompt      string `json:"prompt"`
	SampleCount int    `json:"sample-count"`
	// Seed is the seed of the sample with index zero. The seed of any other
	// sample is Seed plus its index.
	Seed int64 `json:"seed"`
	// StalenessBound is the maximum number of versions by which the oldest token
	// of a sample may lag behind the newest published version at delivery.
	StalenessBound int64 `json:"staleness-bound"`
}

// Validate returns an error of kind bad-request or too-large if the order is
// invalid.
func (g Group) Validate() error {
	switch {
	case g.ID == "":
		return kind.New(kind.BadRequest, "the id of the group is empty")
	case g.SampleCount < 1 || g.SampleCount > MaxSampleCount:
		return kind.New(kind.BadRequest, "sample-count must be from 1 to %d, got %d", MaxSampleCount, g.SampleCount)
	case g.MaxTokens < 1:
		return kind.New(kind.BadRequest, "max-tokens must be at least 1, got %d", g.MaxTokens)
	case g.StalenessBound < 0:
		return kind.New(kind.BadRequest, "staleness-bound must not be negative, got %d", g.StalenessBound)
	case len(g.Prompt) > MaxPromptBytes:
		return kind.New(kind.TooLarge, "the prompt must be at most %d bytes long, got %d bytes", MaxPromptBytes, len(g.Prompt))
	}
	return nil
}

// Key identifies a sample among those of a trainer.
type Key struct {
	Group string `json:"group"`
	Index int    `json:"index"`
}

// Span records that the tokens in the half-open range from From to To were
// generated with the weights of Version.
type Span struct {
	From    int   `json:"from"`
	To      int   `json:"to"`
	Version int64 `json:"version"`
}

// Sample is one position of a trainer's stream. A void position holds no sample;
// a sample that was read there before is retracted.
type Sample struct {
	FinishReason string `json:"finish-reason,omitempty"`
	Group        string `json:"group,omitempty"`
	Index        int    `json:"index"`
	Position     int64  `json:"position"`
	// Reason is the reason why a position is void.
	Reason string `json:"reason,omitempty"`
	Spans  []Span `json:"spans,omitempty"`
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	Void   bool   `json:"void,omitempty"`
}

// Key returns the key that identifies the sample.
func (s Sample) Key() Key { return Key{Group: s.Group, Index: s.Index} }

// OldestVersion returns the lowest version among the spans, or zero if there are
// none.
func (s Sample) OldestVersion() int64 {
	var oldest int64
	for i, span := range s.Spans {
		if i == 0 || span.Version < oldest {
			oldest = span.Version
		}
	}
	return oldest
}

// Line returns the sample encoded as one line of JSON, including the newline.
func (s Sample) Line() []byte {
	line, err := json.Marshal(s)
	if err != nil {
		// All fields of Sample have types that can be encoded.
		panic(err)
	}
	return append(line, '\n')
}
