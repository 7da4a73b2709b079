// Package version tracks the weight versions with which the tokens of a sample
// were generated, and decides whether a sample is within its staleness bound.
package version

import (
	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

// Untrusted is the error class of chunks whose reported weight version is
// missing or cannot be right, or which leave out or repeat tokens. An attempt
// with such a chunk fails, and its sample is generated again.
var Untrusted = errs.Class("untrusted version")

// Tracker collects the version spans of one generation. The zero value is ready
// for use.
type Tracker struct {
	// Spans are the spans of the tokens added so far, without gaps.
	Spans []sample.Span
	// Tokens is the number of tokens added so far.
	Tokens int

	// server is the backend server that sent the last chunk.
	server string
}

// Add appends the tokens of chunk. It fails if the engine reported no version, if
// tokens are missing or repeated, or if the version decreases while the same
// backend server continues the stream.
func (t *Tracker) Add(chunk dispatch.Chunk) error {
	if chunk.Tokens == 0 {
		return nil
	}
	if chunk.Version <= 0 {
		return Untrusted.New("server %s reported version %d at token %d, want at least 1",
			chunk.Server, chunk.Version, t.Tokens)
	}
	if chunk.Index != t.Tokens {
		return Untrusted.New("server %s sent a chunk that starts at token %d, want token %d", chunk.Server, chunk.Index, t.Tokens)
	}
	end := t.Tokens + chunk.Tokens
	last := len(t.Spans) - 1
	switch {
	case last < 0 || t.Spans[last].Version != chunk.Version:
		if last >= 0 && chunk.Version < t.Spans[last].Version && chunk.Server == t.server {
			return Untrusted.New("server %s reported version %d at token %d after version %d",
				chunk.Server, chunk.Version, t.Tokens, t.Spans[last].Version)
		}
		t.Spans = append(t.Spans, sample.Span{From: t.Tokens, To: end, Version: chunk.Version})
	default:
		t.Spans[last].To = end
	}
	t.Tokens = end
	t.server = chunk.Server
	return nil
}

// Oldest returns the lowest version of the tokens so far, or zero if there are none.
func (t *Tracker) Oldest() int64 {
	return sample.Sample{Spans: t.Spans}.OldestVersion()
}

// CheckPublished fails if a span has a version above published, the newest
// version of the service: such weights do not exist, so the engine's report is
// wrong. Before the first version is published, published is zero and any
// version passes.
func (t *Tracker) CheckPublished(published int64) error {
	if published == 0 {
		return nil
	}
	for _, span := range t.Spans {
		if span.Version > published {
			return Untrusted.New("tokens [%d, %d) have version %d, but the newest published version is %d",
				span.From, span.To, span.Version, published)
		}
	}
	return nil
}

// WithinBound reports whether a sample is within its staleness bound, in
// versions, while published is the newest version. oldest is the version of its
// oldest token. A sample without a version is never within its bound.
func WithinBound(oldest, published, bound int64) bool {
	return oldest > 0 && published-oldest <= bound
}

// WillBeStale reports whether an attempt is predicted to exceed its staleness
// bound by the time it ends. oldest is the version of its oldest token, or zero
// if it has none: then WillBeStale returns false. remaining is the predicted
// time in seconds until the attempt ends, and nextPublish the predicted time in
// seconds until the next version is published, zero if unknown.
func WillBeStale(oldest, published, bound int64, remaining, nextPublish float64) bool {
	if oldest == 0 {
		return false
	}
	if nextPublish > 0 && remaining > nextPublish {
		published++
	}
	return !WithinBound(oldest, published, bound)
}
