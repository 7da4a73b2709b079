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

// urgency is how soon pending results are worth a write.
type urgency int

// The urgencies, in rising order: single results, a group that became whole,
// and the last group that the trainer waits for.
const (
	urgencyResult urgency = iota
	urgencyGroup
	urgencyStep
)

// delay returns how long results wait for others. Trainers use whole groups
// only, read about twice a second, and go on once their last group is there.
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
	// gatherInterval is how often a wait for more results looks at its urgency.
	gatherInterval = 20 * time.Millisecond
	// listRetryFirst and listRetryLast bound the pause after a failed write.
	listRetryFirst = 50 * time.Millisecond
	listRetryLast  = 400 * time.Millisecond
)

// listLoop lists pending results until the run ends.
func (x *run) listLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-x.ready:
		}
		x.gather()
		for x.listSome(ctx) {
		}
	}
	return nil
}

// gather waits until enough results are there to be worth a write.
func (x *run) gather() {
	began := time.Now()
	for x.ctx.Err() == nil {
		x.runner.mu.Lock()
		left := x.urgent.delay()
		x.runner.mu.Unlock()
		left -= time.Since(began)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(min(left, gatherInterval))
		select {
		case <-x.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// listSome writes one batch of pending results and reports whether more wait.
// A write whose outcome isn't known is repeated unchanged, since it may land
// later.
func (x *run) listSome(ctx context.Context) bool {
	r := x.runner
	x.listing.Lock()
	defer x.listing.Unlock()
	r.mu.Lock()
	if len(x.writing) == 0 {
		x.writing = slices.Clone(x.pending[:batch.AppendLimit(x.pending)])
	}
	results, first, head := x.writing, len(x.listed), x.head
	last := first+len(results) == head.Total
	if len(results) == len(x.pending) {
		x.urgent = urgencyResult
	}
	r.mu.Unlock()
	if len(results) == 0 {
		return false
	}
	for pause := listRetryFirst; ; pause = min(2*pause, listRetryLast) {
		stored, err := r.Batches.Append(ctx, head, first, results, last)
		if err == nil {
			return x.wasListed(stored, results)
		}
		if kind.Is(err, kind.Conflict) {
			return x.wasRefused(head, stored)
		}
		if !kv.IsAway(err) {
			r.Logger.LogAttrs(ctx, slog.LevelError, "results not listed", slog.String("batch", head.ID), slog.Any("error", err))
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

// wasRefused takes over the head that refused a write, and reports whether the
// write is worth repeating.
func (x *run) wasRefused(sent, stored batch.Head) bool {
	r := x.runner
	r.OnHead(stored)
	if stored.Owner != r.Self || !stored.IsOpen() {
		r.Observe(stored)
		return false
	}
	if stored.Revision != sent.Revision {
		// This process claimed the batch once more while the write was under way.
		r.mu.Lock()
		x.head = stored
		r.mu.Unlock()
		return true
	}
	// A position holds another result than this run's. The sweep begins anew
	// with what the store holds.
	r.Logger.Error("results do not fit those listed", slog.String("batch", sent.ID), slog.Int64("revision", sent.Revision))
	r.stop(x, stored)
	return false
}

// wasListed takes over results that are stored now.
func (x *run) wasListed(stored batch.Head, results []batch.Result) bool {
	r := x.runner
	r.mu.Lock()
	x.head = stored
	x.listed = append(x.listed, results...)
	x.pending = x.pending[len(results):]
	x.writing = nil
	close(x.changed)
	x.changed = make(chan struct{})
	more := len(x.pending) > 0
	r.mu.Unlock()
	if stored.Done {
		r.stop(x, stored)
	}
	return more
}

// keptEvents is from how many events on the text of a run is kept: those of half a
// second and more.
const keptEvents = 20

// saveInterval is how often the texts of long runs are kept for the host that
// goes on if this one is killed. A long item takes seven seconds to make again.
const saveInterval = 1500 * time.Millisecond

// saveLoop keeps the texts of long runs until the run ends.
func (x *run) saveLoop(ctx context.Context) error {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		partials := x.partials(keptEvents)
		if len(partials) == 0 {
			continue
		}
		if err := x.runner.Batches.SavePartials(ctx, x.batch.ID, partials); err != nil && ctx.Err() == nil {
			x.runner.Logger.LogAttrs(ctx, slog.LevelInfo, "texts of long runs not kept",
				slog.String("batch", x.batch.ID), slog.Int("items", len(partials)), slog.Any("error", err))
		}
	}
}

// partials returns the texts of unfinished items with at least so many events, those
// that lack only their score, and what is known of items that failed.
func (x *run) partials(events int) []batch.Partial {
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	var partials []batch.Partial
	for _, s := range x.items {
		failures := x.runner.failed.of(s.item.ID)
		if s.done || failures == 0 && !s.whole && len(s.events) < events {
			continue
		}
		partials = append(partials, batch.Partial{
			Events: slices.Clone(s.events), Failures: failures, Item: s.item.ID, LastEvent: s.last,
			Versions: slices.Clone(s.versions), TextComplete: s.whole,
		})
	}
	return partials
}

// handOver stops the run and lets another host go on with it.
func (x *run) handOver(ctx context.Context) {
	r := x.runner
	x.cancel()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	x.awaitStreams(ctx)
	for x.listSome(ctx) {
	}
	r.mu.Lock()
	head := x.head
	r.mu.Unlock()
	if head.Done {
		return
	}
	if err := r.Batches.SavePartials(ctx, head.ID, x.partials(1)); err != nil {
		r.Logger.LogAttrs(ctx, slog.LevelWarn, "partial texts not kept", slog.String("batch", head.ID), slog.Any("error", err))
	}
	released, err := r.Batches.Claim(ctx, head, batch.Owner{})
	if err != nil {
		r.Logger.LogAttrs(ctx, slog.LevelWarn, "batch not given up", slog.String("batch", head.ID), slog.Any("error", err))
	}
	r.stop(x, released)
	if err == nil && r.OnReleased != nil {
		r.OnReleased(ctx, released)
	}
}

// awaitStreams waits until no item of the run is at an engine.
func (x *run) awaitStreams(ctx context.Context) {
	const interval = 2 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		x.runner.mu.Lock()
		streams := x.streams
		x.runner.mu.Unlock()
		if streams == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
