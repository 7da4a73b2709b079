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

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

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

// Mirror follows one prefix. The fields are set before Run.
type Mirror struct {
	Logger *slog.Logger
	// OnChange is called for each change in order, by one goroutine.
	OnChange func(Change)
	Prefix   string
	Store    kv.Store

	mu sync.Mutex
	// confirmed is when the service last answered.
	confirmed time.Time
	known     map[string]kv.Entry
	listed    bool
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	pause := retryFirst
	var watcher kv.Watcher
	var lostSince time.Time
	for ctx.Err() == nil {
		next, err := m.step(ctx, watcher, lostSince)
		if err == nil {
			if !lostSince.IsZero() {
				m.Logger.LogAttrs(ctx, slog.LevelInfo, "store regained", slog.String("prefix", m.Prefix),
					slog.Duration("outage", time.Since(lostSince)))
			}
			watcher, lostSince, pause = next, time.Time{}, retryFirst
			continue
		}
		if errors.Is(err, kv.ErrCompacted) {
			m.Logger.LogAttrs(ctx, slog.LevelInfo, "history gone, listing again", slog.String("prefix", m.Prefix))
			watcher = nil
			continue
		}
		if lostSince.IsZero() && ctx.Err() == nil {
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
	var outage time.Duration
	if !lostSince.IsZero() {
		outage = time.Since(lostSince)
	}
	if watcher == nil {
		entries, revision, err := m.Store.List(ctx, m.Prefix)
		if err != nil {
			return nil, err
		}
		m.apply(m.difference(entries), outage)
		return m.Store.Watch(ctx, m.Prefix, revision)
	}
	batch, err := watcher.Next(ctx)
	if err != nil {
		return nil, err
	}
	m.apply(batch.Events, outage)
	return watcher, nil
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
	m.confirmed, m.listed = time.Now(), true
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

// Listed reports whether the prefix has been read at least once.
func (m *Mirror) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
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
