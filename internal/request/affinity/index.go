// Package affinity predicts which backend server holds the prefix of a prompt
// in its cache. The predictions are hints: their confidence decays, and a wrong
// one costs no more than a prefill.
package affinity

import (
	"math"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
)

const (
	// DefaultMaxBlocks bounds an Index whose MaxBlocks is zero.
	DefaultMaxBlocks = 1 << 16
	// DefaultTTL is the TTL of an Index whose TTL is zero.
	DefaultTTL = 10 * time.Minute
	// minConfidence is the confidence below which a block counts as evicted.
	minConfidence = 0.5
	// evictDivisor determines how much a full Index evicts at once: 1/evictDivisor
	// of its blocks.
	evictDivisor = 8
)

// entry is the state of one block.
type entry struct {
	// uncertainty is the value of Index.uncertainty at confirmedAt.
	uncertainty float64
	confirmedAt time.Time
}

// Index predicts which prompt blocks one engine has cached, from the requests it
// served and from its cache events, which may arrive late or get lost. The zero
// value is ready to use. An Index is not safe for concurrent use.
type Index struct {
	// TTL is how long an unused block counts as cached. Zero means DefaultTTL.
	TTL time.Duration
	// MaxBlocks bounds the number of blocks. Zero means DefaultMaxBlocks.
	MaxBlocks int

	blocks map[uint64]entry
	// uncertainty grows with each lost removal of one of n blocks by -log(1-1/n),
	// which recordGap approximates as 1/n. The probability that a block is still
	// cached is exp(-growth since its confirmation).
	uncertainty float64
	sequence    int64
}

// Sequence returns the sequence number of the last event applied.
func (x *Index) Sequence() int64 { return x.sequence }

// Len returns the number of blocks.
func (x *Index) Len() int { return len(x.blocks) }

// Reset clears the index, as is necessary after the engine restarted or loaded new
// weights.
func (x *Index) Reset() {
	x.blocks, x.uncertainty, x.sequence = nil, 0, 0
}

// Apply updates the index with cache events. A sequence number that does not
// increase means that the engine restarted, and resets the index. A gap lowers the
// confidence in all blocks, since each lost event may have removed one of them.
func (x *Index) Apply(now time.Time, events []engine.CacheEvent) {
	for _, event := range events {
		switch {
		case event.Sequence <= x.sequence:
			x.Reset()
		case x.sequence > 0:
			x.recordGap(event.Sequence - x.sequence - 1)
		}
		x.sequence = event.Sequence
		if event.Removed {
			delete(x.blocks, event.Prefix)
			continue
		}
		x.confirm(now, event.Prefix)
	}
}

func (x *Index) recordGap(events int64) {
	if events <= 0 || len(x.blocks) == 0 {
		return
	}
	// Assume that half of the lost events were removals.
	x.uncertainty += float64(events) / 2 / float64(len(x.blocks))
}

// RecordServed records that the engine has just run a prompt with these blocks.
func (x *Index) RecordServed(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		x.confirm(now, block)
	}
}

// RecordMiss records that the engine found only the first found blocks of a prompt
// in its cache.
func (x *Index) RecordMiss(blocks []uint64, found int) {
	for _, block := range blocks[min(found, len(blocks)):] {
		delete(x.blocks, block)
	}
}

func (x *Index) confirm(now time.Time, block uint64) {
	if x.blocks == nil {
		x.blocks = make(map[uint64]entry)
	}
	x.blocks[block] = entry{uncertainty: x.uncertainty, confirmedAt: now}
	limit := x.MaxBlocks
	if limit == 0 {
		limit = DefaultMaxBlocks
	}
	if len(x.blocks) > limit {
		x.evict(len(x.blocks) / evictDivisor)
	}
}

// Match returns the number of leading blocks of a prompt that are predicted to be
// cached.
func (x *Index) Match(now time.Time, blocks []uint64) int {
	ttl := x.TTL
	if ttl == 0 {
		ttl = DefaultTTL
	}
	for i, block := range blocks {
		e, ok := x.blocks[block]
		if !ok || now.Sub(e.confirmedAt) > ttl || math.Exp(e.uncertainty-x.uncertainty) < minConfidence {
			return i
		}
	}
	return len(blocks)
}

// evict removes the n blocks with the oldest confirmation, or fewer if further
// blocks were confirmed at the same time as the last of them.
func (x *Index) evict(n int) {
	times := make([]time.Time, 0, len(x.blocks))
	for _, e := range x.blocks {
		times = append(times, e.confirmedAt)
	}
	slices.SortFunc(times, time.Time.Compare)
	cutoff := times[min(n, len(times)-1)]
	for block, e := range x.blocks {
		if e.confirmedAt.Before(cutoff) {
			delete(x.blocks, block)
		}
	}
}
