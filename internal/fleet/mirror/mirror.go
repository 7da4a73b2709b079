// Package mirror keeps a copy of the keys below a prefix of the key-value
// service, by one list and a watch from it on.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/wait"
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
	// hostsTimeout bounds the wait for the list of hosts. A host that doesn't know
	// them by then asks the store for everything.
	hostsTimeout = time.Second
	// recentEvents is the number of events that are kept for hosts that follow.
	recentEvents = 2000
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

// Source is another host that follows the store itself.
type Source interface {
	// Follow returns what changed below prefix after revision, waiting for a
	// change until ctx ends. It returns false if this host is to ask the store
	// itself, and an error if the other host can't be reached or is behind.
	Follow(ctx context.Context, prefix string, revision int64) (News, bool, error)
}

// News is a part of a prefix's history.
type News struct {
	// Events lead from the revision that was asked for to Revision.
	Events []kv.Event
	// Reset is set if Events are all keys that exist, since the history from the
	// revision on isn't known.
	Reset    bool
	Revision int64
}

// Old lists more cheaply what may be some seconds old. It returns a revision from
// which a watch misses nothing, or zero if it knows none.
type Old interface {
	ListOld(ctx context.Context, prefix string) ([]kv.Entry, int64, error)
}

// Mirror follows one prefix. The fields are set before Run.
type Mirror struct {
	// After is a mirror that tells which hosts can be followed. A first list that
	// isn't taken from Old waits until it has its own; nil waits for none.
	After *Mirror
	// Compaction is shared by the mirrors of a process; nil stands alone.
	Compaction *Compaction
	// Gather is the pause after a change, so that changes of the same moment
	// come in one call. Zero asks again at once.
	Gather time.Duration
	Logger *slog.Logger
	// Old gives the first list, which may be some seconds old; nil leaves it to
	// Store.
	Old Old
	// OnChange is called for each change in order, by one goroutine.
	OnChange func(Change)
	Prefix   string
	// Settle is the pause after an empty list from Old. When a fleet starts, the
	// other hosts are known by then.
	Settle time.Duration
	// Source is asked instead of the store while it can be; nil asks the store.
	Source Source
	Store  kv.Store
	// Wait bounds how long one call waits at the store. Zero leaves it to the
	// store's client. A short wait notices a dropped history soon.
	Wait time.Duration

	mu sync.Mutex
	// changed is closed and replaced with each change.
	changed chan struct{}
	// listed is closed once the copy holds a first list.
	listed chan struct{}
	// confirmed is when the store itself last answered.
	confirmed time.Time
	known     map[string]kv.Entry
	// recent are the newest events, all those after recentFrom.
	recent     []kv.Event
	recentFrom int64
	revision   int64
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	if m.Compaction == nil {
		m.Compaction = new(Compaction)
	}
	pause := retryFirst
	watcher := m.begin(ctx)
	var lostSince time.Time
	// The hosts of an old list may be gone, so that none of them is asked what has
	// changed since.
	old := watcher != nil
	for ctx.Err() == nil {
		next, err := m.step(ctx, watcher, lostSince, old)
		old = false
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
		wait.For(ctx, wait.Jittered(pause))
		pause = min(2*pause, retryMax)
	}
	return nil
}

// begin takes over an old list and returns the watcher that goes on from it. If the
// store tells nothing old, as when the whole fleet starts, it gives the other hosts
// time to be known and returns nil.
func (m *Mirror) begin(ctx context.Context) kv.Watcher {
	if m.Old == nil {
		return nil
	}
	entries, revision, err := m.Old.ListOld(ctx, m.Prefix)
	if err != nil {
		m.Logger.LogAttrs(ctx, slog.LevelInfo, "no old list", slog.String("prefix", m.Prefix), slog.Any("error", err))
		return nil
	}
	if revision == 0 {
		wait.For(ctx, m.Settle)
		m.awaitHosts(ctx)
		return nil
	}
	m.apply(m.difference(entries), revision, 0)
	watcher, err := m.Store.Watch(ctx, m.Prefix, revision)
	if err != nil {
		m.Logger.LogAttrs(ctx, slog.LevelInfo, "old list not followed", slog.String("prefix", m.Prefix), slog.Any("error", err))
		return nil
	}
	return watcher
}

// awaitHosts waits until it is known which hosts can be followed, for a time.
func (m *Mirror) awaitHosts(ctx context.Context) {
	if m.After == nil {
		return
	}
	timer := time.NewTimer(hostsTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.After.firstList():
	}
}

// firstList returns a channel that is closed once the copy holds a first list.
func (m *Mirror) firstList() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedChannel()
}

// listedChannel returns the channel of the first list. m.mu is held.
func (m *Mirror) listedChannel() chan struct{} {
	if m.listed == nil {
		m.listed = make(chan struct{})
	}
	return m.listed
}

// step lists when there is no watcher, and otherwise waits for one batch. With
// alone set no other host is asked.
func (m *Mirror) step(ctx context.Context, watcher kv.Watcher, lostSince time.Time, alone bool) (kv.Watcher, error) {
	gone := m.Compaction.Gone()
	if !alone && m.follow(ctx, lostSince) {
		// The watch goes on from where the other host left off.
		return m.Store.Watch(ctx, m.Prefix, m.at())
	}
	if watcher == nil {
		entries, revision, err := m.Store.List(ctx, m.Prefix)
		if err != nil {
			return nil, err
		}
		m.confirm(m.difference(entries), revision, outageSince(lostSince))
		return m.Store.Watch(ctx, m.Prefix, revision)
	}
	batch, err := m.next(ctx, watcher, gone)
	if err != nil {
		return nil, err
	}
	m.confirm(batch.Events, batch.Revision, outageSince(lostSince))
	if len(batch.Events) > 0 && m.Gather > 0 {
		wait.For(ctx, m.Gather)
	}
	return watcher, nil
}

// follow asks another host for news. It returns false if the store is to be
// asked.
func (m *Mirror) follow(ctx context.Context, lostSince time.Time) bool {
	if m.Source == nil {
		return false
	}
	news, ok, err := m.Source.Follow(ctx, m.Prefix, m.at())
	if !ok {
		return false
	}
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.LogAttrs(ctx, slog.LevelInfo, "other host not followed", slog.String("prefix", m.Prefix), slog.Any("error", err))
		}
		return false
	}
	events := news.Events
	if news.Reset {
		entries := make([]kv.Entry, 0, len(events))
		for _, event := range events {
			entries = append(entries, event.Entry)
		}
		events = m.difference(entries)
	}
	m.apply(events, news.Revision, outageSince(lostSince))
	if len(events) > 0 && m.Gather > 0 {
		wait.For(ctx, m.Gather)
	}
	return true
}

func (m *Mirror) at() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Since returns what changed after revision, for hosts that follow this one. It
// waits for a change until ctx ends, and for the first answer of the store on a
// host that has just started. It returns false if the store has not answered this
// host for longer than maxAge.
func (m *Mirror) Since(ctx context.Context, revision int64, maxAge time.Duration) (News, bool) {
	for {
		m.mu.Lock()
		begins := m.confirmed.IsZero() && m.revision == 0 && m.Old != nil
		if !begins && (time.Since(m.confirmed) > maxAge || revision > m.revision) {
			m.mu.Unlock()
			return News{}, false
		}
		news, found := m.newsSince(revision)
		found = found && !begins
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if found || ctx.Err() != nil {
			return news, !begins
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// newsSince reports whether there is news. m.mu is held.
func (m *Mirror) newsSince(revision int64) (News, bool) {
	news := News{Revision: m.revision}
	if revision == 0 || revision < m.recentFrom {
		news.Reset = true
		for _, key := range slices.Sorted(maps.Keys(m.known)) {
			news.Events = append(news.Events, kv.Event{Entry: m.known[key]})
		}
		return news, true
	}
	for _, event := range m.recent {
		if event.Entry.ModRevision > revision {
			news.Events = append(news.Events, event)
		}
	}
	return news, len(news.Events) > 0
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

func (m *Mirror) apply(events []kv.Event, revision int64, outage time.Duration) {
	m.mu.Lock()
	m.take(events, revision)
	m.mu.Unlock()
	m.tell(events, outage)
}

// confirm applies what the store itself answered.
func (m *Mirror) confirm(events []kv.Event, revision int64, outage time.Duration) {
	m.mu.Lock()
	m.take(events, revision)
	if m.confirmed.IsZero() && m.changed != nil {
		// Those who wait for the first answer are told, whatever it holds.
		close(m.changed)
		m.changed = nil
	}
	m.confirmed = time.Now()
	m.mu.Unlock()
	m.tell(events, outage)
}

func (m *Mirror) tell(events []kv.Event, outage time.Duration) {
	if m.OnChange != nil && (len(events) > 0 || outage > 0) {
		m.OnChange(Change{Events: events, Outage: outage})
	}
}

// take takes over events up to revision. m.mu is held.
func (m *Mirror) take(events []kv.Event, revision int64) {
	if m.known == nil {
		m.known = make(map[string]kv.Entry)
		m.recentFrom = revision
		close(m.listedChannel())
	}
	for _, event := range events {
		if event.Delete {
			delete(m.known, event.Entry.Key)
		} else {
			m.known[event.Entry.Key] = event.Entry
		}
		if event.Entry.ModRevision == 0 {
			// A list doesn't tell when a key was deleted.
			event.Entry.ModRevision = revision
		}
		m.recent = append(m.recent, event)
	}
	if drop := len(m.recent) - recentEvents; drop > 0 {
		m.recentFrom = m.recent[drop-1].Entry.ModRevision
		m.recent = slices.Delete(m.recent, 0, drop)
	}
	m.revision = max(m.revision, revision)
	if m.changed != nil && len(events) > 0 {
		close(m.changed)
		m.changed = nil
	}
}

// Entry returns the copy of key, and false when the copy has none.
func (m *Mirror) Entry(key string) (kv.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.known[key]
	return entry, ok
}
