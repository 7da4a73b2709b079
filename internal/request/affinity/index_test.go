package affinity_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/request/affinity"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

func TestConfidenceDecaysWithLostEvents(t *testing.T) {
	is := is.New(t)
	var index affinity.Index
	blocks := []uint64{1, 2, 3, 4}
	var events []engine.CacheEvent
	for i, block := range blocks {
		events = append(events, engine.CacheEvent{Prefix: block, Sequence: int64(i + 1)})
	}
	index.Apply(start, events)
	is.Equal(index.Match(start, blocks), 4)
	index.Apply(start, []engine.CacheEvent{{Prefix: 3, Removed: true, Sequence: 5}})
	is.Equal(index.Match(start, blocks), 2)
	index.Apply(start, []engine.CacheEvent{{Prefix: 9, Sequence: 8}}) // Two events are lost, with three blocks in the index.
	is.Equal(index.Match(start, blocks), 2)
	index.Apply(start, []engine.CacheEvent{{Prefix: 9, Sequence: 20}}) // With eleven more lost events, the older blocks count as evicted.
	is.Equal(index.Match(start, blocks), 0)
	is.Equal(index.Match(start, []uint64{9}), 1)
	index.Apply(start, []engine.CacheEvent{{Prefix: 7, Sequence: 1}}) // The engine restarted.
	is.Equal(index.Match(start, []uint64{9}), 0)
	is.Equal(index.Match(start.Add(time.Hour), []uint64{7}), 0) // The block has not been used within the TTL.
}

func TestIndexIsBounded(t *testing.T) {
	is := is.New(t)
	index := affinity.Index{MaxBlocks: 100}
	for i := range uint64(1000) {
		index.RecordServed(start.Add(time.Duration(i)*time.Second), []uint64{i})
	}
	is.True(index.Len() <= 100)
	is.Equal(index.Match(start.Add(1000*time.Second), []uint64{999}), 1)
}

func TestKeyIgnoresPromptEnd(t *testing.T) {
	is := is.New(t)
	document := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	for _, question := range [][]uint64{{11}, {12, 13}, {14, 15, 16}} {
		is.Equal(affinity.Key(append(document[:10:10], question...)), uint64(8))
	}
	is.Equal(affinity.Key(document), uint64(4)) // Three quarters of the prompt are fewer than eight blocks.
	is.Equal(affinity.Key(nil), uint64(0))
}
