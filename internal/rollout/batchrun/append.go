package batchrun

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
)

// urgency determines how long pending results wait before they are written.
type urgency int

// The urgencies in ascending order: single results, a group that became complete, and
// the last group that the trainer needs for its step.
const (
	urgencyResult urgency = iota
	urgencyGroup
	urgencyStep
)

// delay returns how long pending results wait for further ones, so that one
// write stores them together. Trainers use only complete groups, poll about
// twice a second, and continue once they have their last group.
func (u urgency) delay() time.Duration {
	switch u {
	case urgencyStep:
		return 10 * time.Millisecond
	case urgencyGroup:
		return 350 * time.Millisecond
	default:
		return time.Second
	}
}

const (
	// coalescePollInterval is how often coalesce checks whether the urgency has risen.
	coalescePollInterval = 20 * time.Millisecond
	// minAppendBackoff and maxAppendBackoff bound the back-off after a failed write,
	// before jitter.
	minAppendBackoff = 50 * time.Millisecond
	maxAppendBackoff = 400 * time.Millisecond
)

// appendLoop appends pending results to the store until the batch stops.
func (br *batchRun) appendLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-br.appendSignal:
		}
		br.coalesce()
		for br.appendPending(ctx) {
		}
	}
	return nil
}

// coalesce waits for further results, so that one write stores them together,
// for as long as the urgency of the pending results allows.
func (br *batchRun) coalesce() {
	began := time.Now()
	for br.ctx.Err() == nil {
		br.runner.mu.Lock()
		left := br.urgency.delay()
		br.runner.mu.Unlock()
		left -= time.Since(began)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(min(left, coalescePollInterval))
		select {
		case <-br.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// appendPending appends pending results to the store in one write and reports whether
// more are pending. A write whose outcome is unknown is retried unchanged, since it may
// still be applied.
func (br *batchRun) appendPending(ctx context.Context) bool {
	r := br.runner
	br.appendMu.Lock()
	defer br.appendMu.Unlock()
	r.mu.Lock()
	if len(br.unconfirmed) == 0 {
		br.unconfirmed = slices.Clone(br.pending[:batch.AppendLimit(br.pending)])
	}
	results, first, head := br.unconfirmed, len(br.stored), br.head
	last := first+len(results) == head.Total
	if len(results) == len(br.pending) {
		br.urgency = urgencyResult
	}
	r.mu.Unlock()
	if len(results) == 0 {
		return false
	}
	for pause := minAppendBackoff; ; pause = min(2*pause, maxAppendBackoff) {
		current, err := r.Batches.Append(ctx, head, first, results, last)
		if err == nil {
			return br.onAppended(current, results)
		}
		if kind.Is(err, kind.Conflict) {
			return br.onConflict(head, current)
		}
		if !kv.IsTransient(err) {
			r.Logger.LogAttrs(ctx, slog.LevelError, "results not appended", slog.String("batch", head.ID), slog.Any("error", err))
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
}

// onConflict handles a write of results that the store refused: sent is the head under
// which it was sent, and current the head in the store. It reports whether the write is
// to be retried.
func (br *batchRun) onConflict(sent, current batch.Head) bool {
	r := br.runner
	r.Index.Put(current)
	if current.Owner != r.Self || !current.IsOpen() {
		r.HandleHead(current)
		return false
	}
	if current.Revision != sent.Revision {
		// This process claimed the batch again while the write was in flight.
		r.mu.Lock()
		br.head = current
		r.mu.Unlock()
		return true
	}
	// The store holds a different result at one of the positions. The batch stops
	// here; the sweep takes it over again with the results in the store.
	r.Logger.Error("results conflict with those in the store", slog.String("batch", sent.ID), slog.Int64("revision", sent.Revision))
	r.stop(br, current)
	return false
}

// onAppended moves results that have been written from pending to stored, wakes
// readers, and reports whether more results are pending.
func (br *batchRun) onAppended(head batch.Head, results []batch.Result) bool {
	r := br.runner
	r.mu.Lock()
	br.head = head
	br.stored = append(br.stored, results...)
	br.pending = br.pending[len(results):]
	br.unconfirmed = nil
	close(br.changed)
	br.changed = make(chan struct{})
	more, position := len(br.pending) > 0, len(br.stored)
	r.mu.Unlock()
	r.Logger.Info("results stored", slog.String("batch", head.ID), slog.Int("results", len(results)), slog.Int("next", position),
		slog.Int64("revision", head.Revision))
	if head.Done {
		r.stop(br, head)
	}
	return more
}

// partialMinEvents is the minimum number of events for a partial text to be saved
// periodically. It corresponds to about half a second of generation.
const partialMinEvents = 20

// partialSaveInterval is how often partial texts are saved for the host that takes the
// batch over if this one is killed. Generating a long item again takes seven seconds.
const partialSaveInterval = 1500 * time.Millisecond

// savePartialsLoop saves what partials returns for partialMinEvents, every
// partialSaveInterval, until the batch stops.
func (br *batchRun) savePartialsLoop(ctx context.Context) error {
	ticker := time.NewTicker(partialSaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		partials := br.partials(partialMinEvents)
		if len(partials) == 0 {
			continue
		}
		if err := br.runner.Batches.SavePartials(ctx, br.batch.ID, partials); err != nil && ctx.Err() == nil {
			br.runner.Logger.LogAttrs(ctx, slog.LevelInfo, "partial texts of long items not saved",
				slog.String("batch", br.batch.ID), slog.Int("items", len(partials)), slog.Any("error", err))
		}
	}
}

// partials returns the partial texts of unfinished items that have at least minEvents
// events, the complete texts that lack only their score, and the failure counts of
// unfinished items that have failed.
func (br *batchRun) partials(minEvents int) []batch.Partial {
	br.runner.mu.Lock()
	defer br.runner.mu.Unlock()
	var partials []batch.Partial
	for _, s := range br.items {
		failures := br.runner.failures.count(s.item.ID)
		if s.done || failures == 0 && !s.textComplete && len(s.events) < minEvents {
			continue
		}
		partials = append(partials, batch.Partial{
			Events: slices.Clone(s.events), Failures: failures, Item: s.item.ID, LastEvent: s.lastEventID,
			Software: s.software, Versions: slices.Clone(s.versions), TextComplete: s.textComplete,
		})
	}
	return partials
}

// handOver stops the items of the batch, writes pending results and partial
// texts to the store, and releases the batch so that another host takes it
// over. After handoverTimeout the remaining writes fail, and the batch may stay
// unreleased.
func (br *batchRun) handOver(ctx context.Context) {
	r := br.runner
	br.cancel()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	br.awaitInFlight(ctx)
	for br.appendPending(ctx) {
	}
	r.mu.Lock()
	head := br.head
	r.mu.Unlock()
	if head.Done {
		return
	}
	if err := r.Batches.SavePartials(ctx, head.ID, br.partials(1)); err != nil {
		r.Logger.LogAttrs(ctx, slog.LevelWarn, "partial texts not saved", slog.String("batch", head.ID), slog.Any("error", err))
	}
	released, err := r.Batches.Claim(ctx, head, batch.Owner{})
	if err != nil {
		r.Logger.LogAttrs(ctx, slog.LevelWarn, "batch not released", slog.String("batch", head.ID), slog.Any("error", err))
	}
	r.stop(br, released)
	if err == nil && r.OnReleased != nil {
		r.OnReleased(ctx, released)
	}
}

// awaitInFlight waits until no item run or reward call of the batch is in flight, or ctx
// ends.
func (br *batchRun) awaitInFlight(ctx context.Context) {
	const interval = 2 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		br.runner.mu.Lock()
		inFlight := br.inFlight
		br.runner.mu.Unlock()
		if inFlight == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
