package version_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/rollout/version"
)

func chunk(server string, index, tokens int, weightVersion int64) dispatch.Chunk {
	return dispatch.Chunk{Chunk: engine.Chunk{Index: index, Tokens: tokens, Version: weightVersion}, Server: server}
}

func ExampleTracker() {
	var t version.Tracker
	_ = t.Add(chunk("a", 0, 3, 4))
	_ = t.Add(chunk("a", 3, 2, 5)) // the engine swapped its weights during the stream
	_ = t.Add(chunk("b", 5, 1, 4)) // the stream continues on an engine with older weights
	fmt.Println(t.Spans, t.Oldest())
	// Output: [{0 3 4} {3 5 5} {5 6 4}] 4
}

func TestAddRejectsUntrustedChunks(t *testing.T) {
	for name, second := range map[string]dispatch.Chunk{
		"no version":       chunk("a", 3, 1, 0),
		"lower version":    chunk("a", 3, 1, 3),
		"missing token":    chunk("a", 4, 1, 4),
		"repeated token":   chunk("a", 2, 1, 4),
		"negative version": chunk("a", 3, 1, -4),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker version.Tracker
			is.NoErr(tracker.Add(chunk("a", 0, 3, 4)))
			is.True(version.Untrusted.Has(tracker.Add(second)))
		})
	}
}

func TestCheckPublishedRejectsUnpublishedVersions(t *testing.T) {
	is := is.New(t)
	var tracker version.Tracker
	is.NoErr(tracker.Add(chunk("a", 0, 3, 4)))
	is.NoErr(tracker.CheckPublished(4))
	is.True(version.Untrusted.Has(tracker.CheckPublished(3)))
	is.NoErr(tracker.CheckPublished(0)) // no version is published
}

func TestWithinBoundAndWillBeStale(t *testing.T) {
	is := is.New(t)
	is.True(version.WithinBound(3, 5, 2))
	is.True(!version.WithinBound(2, 5, 2))
	is.True(!version.WithinBound(0, 0, 2)) // no version known
	is.True(!version.WillBeStale(4, 5, 1, 1, 2))
	is.True(version.WillBeStale(4, 5, 1, 3, 2))
}
