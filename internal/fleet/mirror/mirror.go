// Package mirror keeps a copy of the keys below a prefix of the key-value
// service, by one list and a watch from it on.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// LivePrefix is the prefix of the few keys that each host follows.
const LivePrefix = "nutmegway/live/"

const (
	// retryFirst and retryMax bound the pause after a failed call. The longest
	// one keeps a fleet of hundreds far below the service's rate during an
	// outage and still notices its end within half a second.
	retryFirst = 50 * time.Millisecond
	retryMax   = 500 * time.Millisecond
)

// Change is what one batch of the watch, or a list, changed.
type Change struct {
	// Events are in the order of their revisions. Keys that a list no longer
	// holds come as deleted.
	Events []kv.Event
	// Outage is how long the service had not answered before this change.
	Outage time.Duration
}

// Compaction lets all mirrors of a process list again as soon as one of them
// learns that the store dropped its history. A watch that waits at the store
// may hear of that only at the end of its wait. The zero value is ready.
type Compaction struct {
	mu   sync.Mutex
	gone chan struct{}
}

// Gone returns a channel that is closed when the history is next dropped.
func (c *Compaction) Gone() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone == nil {
		c.gone = make(chan struct{})
	}
	return c.gone
}

// Report tells all mirrors that the history was dropped.
func (c *Compaction) Report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone != nil {
		close(c.gone)
		c.gone = nil
	}
}

// Mirror follows one prefix. The fields are set before Run.
type Mirror struct {
	// Compaction is shared by the mirrors of a process; nil stands alone.
	Compaction *Compaction
	// Gather is the pause after a change, so that changes of the same moment
	// come in one call. Zero asks again at once.
	Gather time.Duration
	Logger *slog.Logger
	// OnChange is called for each change in order, by one goroutine.
	OnChange func(Change)
	Prefix   string
	Store    kv.Store
	// Wait bounds how long one call waits at the store. Zero leaves it to the
	// store's client. A short wait notices a dropped history soon.
	Wait time.Duration

	mu    sync.Mutex
	known map[string]kv.Entry
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	if m.Compaction == nil {
		m.Compaction = new(Compaction)
	}
	pause := retryFirst
	var watcher kv.Watcher
	var lostSince time.Time
	for ctx.Err() == nil {
		next, err := m.step(ctx, watcher, lostSince)
		switch {
		case err == nil:
			if !lostSince.IsZero() {
				m.Logger.LogAttrs(ctx, slog.LevelInfo, "store regained", slog.String("prefix", m.Prefix),
					slog.Duration("outage", time.Since(lostSince)))
			}
			watcher, lostSince, pause = next, time.Time{}, retryFirst
			continue
		case errors.Is(err, kv.ErrCompacted):
			m.Logger.LogAttrs(ctx, slog.LevelInfo, "history gone, listing again", slog.String("prefix", m.Prefix))
			watcher = nil
			continue
		case lostSince.IsZero() && ctx.Err() == nil:
			lostSince = time.Now()
			m.Logger.LogAttrs(ctx, slog.LevelWarn, "store lost", slog.String("prefix", m.Prefix), slog.Any("error", err))
		}
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, retryMax)
	}
	return nil
}

// step lists when there is no watcher, and otherwise waits for one batch.
func (m *Mirror) step(ctx context.Context, watcher kv.Watcher, lostSince time.Time) (kv.Watcher, error) {
	gone := m.Compaction.Gone()
	if watcher == nil {
		entries, revision, err := m.Store.List(ctx, m.Prefix)
		if err != nil {
			return nil, err
		}
		m.apply(m.difference(entries), outageSince(lostSince))
		return m.Store.Watch(ctx, m.Prefix, revision)
	}
	batch, err := m.next(ctx, watcher, gone)
	if err != nil {
		return nil, err
	}
	m.apply(batch.Events, outageSince(lostSince))
	if len(batch.Events) > 0 && m.Gather > 0 {
		sleep(ctx, m.Gather)
	}
	return watcher, nil
}

// next waits for one batch. It fails with ErrCompacted as soon as any mirror of
// the process has learned that the history was dropped.
func (m *Mirror) next(ctx context.Context, watcher kv.Watcher, gone <-chan struct{}) (kv.Batch, error) {
	nextCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if m.Wait > 0 {
		nextCtx, cancel = context.WithTimeout(nextCtx, m.Wait)
		defer cancel()
	}
	var group errgroup.Group
	group.Go(func() error {
		select {
		case <-gone:
			cancel()
		case <-nextCtx.Done():
		}
		return nil
	})
	batch, err := watcher.Next(nextCtx)
	cancel()
	_ = group.Wait()
	if errors.Is(err, kv.ErrCompacted) {
		m.Compaction.Report()
		return batch, err
	}
	select {
	case <-gone:
		return kv.Batch{}, kv.ErrCompacted
	default:
		return batch, err
	}
}

func outageSince(lost time.Time) time.Duration {
	if lost.IsZero() {
		return 0
	}
	return time.Since(lost)
}

// difference returns the events that lead from the copy to entries.
func (m *Mirror) difference(entries []kv.Entry) []kv.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	var events []kv.Event
	present := make(map[string]struct{}, len(entries))
	for _, entry := range entries {
		present[entry.Key] = struct{}{}
		if m.known[entry.Key].ModRevision != entry.ModRevision {
			events = append(events, kv.Event{Entry: entry})
		}
	}
	for key := range m.known {
		if _, ok := present[key]; !ok {
			events = append(events, kv.Event{Delete: true, Entry: kv.Entry{Key: key}})
		}
	}
	return events
}

func (m *Mirror) apply(events []kv.Event, outage time.Duration) {
	m.mu.Lock()
	if m.known == nil {
		m.known = make(map[string]kv.Entry)
	}
	for _, event := range events {
		if event.Delete {
			delete(m.known, event.Entry.Key)
			continue
		}
		m.known[event.Entry.Key] = event.Entry
	}
	m.mu.Unlock()
	if m.OnChange != nil && (len(events) > 0 || outage > 0) {
		m.OnChange(Change{Events: events, Outage: outage})
	}
}

// Entry returns the copy of key, and false when the copy has none.
func (m *Mirror) Entry(key string) (kv.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.known[key]
	return entry, ok
}

// IsLost reports whether err leaves open what the service holds, so that the
// call is worth repeating.
func IsLost(err error) bool {
	return kind.Is(err, kind.StoreUnavailable) || kind.Is(err, kind.StoreWriteUnknown)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
