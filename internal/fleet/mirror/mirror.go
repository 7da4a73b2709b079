// Package mirror keeps a local copy of the keys below a prefix of the key-value
// service. It lists the prefix once and then watches it from the listed revision.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/base/elapsed"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// LivePrefix is the prefix of the few keys that every host mirrors.
const LivePrefix = "nutmegway/live/"

const (
	// initialRetryDelay and maxRetryDelay bound the back-off after a failed call.
	// The maximum keeps the calls of hundreds of hosts far below the rate limit of
	// the service during an outage, and still detects its end within 500 ms.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	// hostListTimeout bounds the wait for the list of hosts. A host that has no
	// list by then reads everything from the store.
	hostListTimeout = time.Second
	// maxRecentEvents is the number of events that are kept for followers.
	maxRecentEvents = 2000
)

// Change is the difference that one watch batch, one list or one update from Source
// made to the copy.
type Change struct {
	// Events of a watch are in revision order. Events of a list are not, and keys
	// that are missing from the list are reported as deleted, after the others.
	Events []kv.Event
	// Outage is how long the service was unreachable before this change.
	Outage time.Duration
}

// CompactionSignal makes all mirrors of a process list again as soon as one of
// them learns that the store compacted its history. A pending watch may otherwise
// not learn of the compaction until it times out. The zero value is ready to use.
type CompactionSignal struct {
	mu        sync.Mutex
	compacted chan struct{}
}

// Compacted returns a channel that is closed at the next Broadcast.
func (c *CompactionSignal) Compacted() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compacted == nil {
		c.compacted = make(chan struct{})
	}
	return c.compacted
}

// Broadcast notifies all mirrors that the history was compacted.
func (c *CompactionSignal) Broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compacted != nil {
		close(c.compacted)
		c.compacted = nil
	}
}

// Source gives access to another host that watches the store itself.
type Source interface {
	// Follow returns the changes below prefix after revision. It waits for a change
	// for a limited time, at most until ctx ends, and then returns no events. It
	// returns false if this host must read from the store itself, and an error if
	// the other host is unreachable or behind.
	Follow(ctx context.Context, prefix string, revision int64) (Update, bool, error)
}

// Update brings a copy of a prefix from one revision to a later one.
type Update struct {
	// Age is at most how old the state at Revision was when the update was made: the time since
	// the call was sent that the store answered with it. AgeKnown is false if that isn't known.
	Age      time.Duration
	AgeKnown bool
	// Events lead from the requested revision to Revision.
	Events []kv.Event
	// Reset reports that Events are a snapshot of all existing keys, because the
	// history since the requested revision is not available.
	Reset    bool
	Revision int64
}

// StaleLister lists keys at a lower cost than List of the store.
type StaleLister interface {
	// ListStale returns the entries below prefix, which may be some seconds old, and
	// a revision from which a watch misses no event, or zero if none is known.
	ListStale(ctx context.Context, prefix string) ([]kv.Entry, int64, error)
}

// Mirror keeps a copy of the keys below one prefix. The exported fields must be
// set before Run.
type Mirror struct {
	// HostsMirror is the mirror of the host list, from which Source picks the hosts
	// to follow. If StaleLister returns no revision, this mirror waits up to
	// hostListTimeout for the first list of HostsMirror before it reads its own. If
	// HostsMirror is nil, it does not wait.
	HostsMirror *Mirror
	// Compaction is shared by the mirrors of a process. Nil means that it is not
	// shared.
	Compaction *CompactionSignal
	// CoalesceDelay is the pause after a change, so that changes in quick succession
	// arrive in one call. Zero means no pause.
	CoalesceDelay time.Duration
	// ListAge is the age of the copy from which the mirror lists the store, which answers at
	// once, instead of waiting for a change. Zero means never.
	ListAge time.Duration
	Logger  *slog.Logger
	// StaleLister provides the first list, which may be some seconds old. If it is
	// nil, Source or Store provides it.
	StaleLister StaleLister
	// OnChange is called for each change, in order, from a single goroutine.
	OnChange func(Change)
	// MaxAge is the age up to which hosts that follow this one may rely on the copy: the
	// time since the store last answered. Zero means DefaultMaxAge.
	MaxAge time.Duration
	// Now is the clock for the age of the copy; nil means boottime.Now.
	Now    func() boottime.Instant
	Prefix string
	// SettleDelay is the pause before the first list if StaleLister returns no
	// revision, as when a whole fleet starts. It gives the other hosts time to be
	// listed.
	SettleDelay time.Duration
	// Source is read instead of Store while it is available. If it is nil, Store is
	// always read.
	Source Source
	// Store is the key-value service. Its watchers must be usable after any error
	// except kv.ErrCompacted, as those of a kv.RangeStore are.
	Store kv.Store
	// WatchTimeout bounds one watch call, from the call to its answer. Zero leaves the
	// bound to the store's client. A short timeout detects a compaction soon. It must be
	// shorter than MaxAge, so that the store answers a healthy host often enough.
	WatchTimeout time.Duration

	// delivered is set once OnChange has received the first list.
	delivered atomic.Bool
	// deliveredAsOf is the instant, as a boottime.Instant, of which OnChange has received the
	// state; zero if none is known.
	deliveredAsOf atomic.Int64

	mu sync.Mutex
	// asOf is the instant of which the copy holds the state: when the call was sent that the
	// store answered with it. Zero means that it isn't known.
	asOf boottime.Instant
	// changed is closed and reset at each change. It is nil without waiters.
	changed chan struct{}
	// listed is closed once OnChange has received the first list.
	listed chan struct{}
	// confirmation tells when the store itself last answered.
	confirmation confirmation
	entries      map[string]kv.Entry
	// recent holds all events after revision recentFrom.
	recent     []kv.Event
	recentFrom int64
	revision   int64
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	if m.Compaction == nil {
		m.Compaction = new(CompactionSignal)
	}
	retryDelay := initialRetryDelay
	watcher := m.startFromStaleList(ctx)
	var lostSince time.Time
	// The hosts of a stale list may be gone, so the first step after it reads from
	// the store only.
	stale := watcher != nil
	for ctx.Err() == nil {
		next, err := m.step(ctx, watcher, lostSince, stale)
		stale = false
		switch {
		case err == nil:
			if !lostSince.IsZero() {
				m.Logger.LogAttrs(ctx, slog.LevelInfo, "store regained", slog.String("prefix", m.Prefix),
					slog.Duration("outage", time.Since(lostSince)))
			}
			watcher, lostSince, retryDelay = next, time.Time{}, initialRetryDelay
			continue
		case errors.Is(err, kv.ErrCompacted):
			m.Logger.LogAttrs(ctx, slog.LevelInfo, "history compacted, listing again", slog.String("prefix", m.Prefix))
			watcher = nil
			continue
		case lostSince.IsZero() && ctx.Err() == nil:
			lostSince = time.Now()
			m.Logger.LogAttrs(ctx, slog.LevelWarn, "store lost", slog.String("prefix", m.Prefix), slog.Any("error", err))
		}
		wait.For(ctx, wait.Jittered(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
	return nil
}

// startFromStaleList applies a stale list and returns a watcher that continues from
// its revision. If no revision is known, as when the whole fleet starts, it gives
// the other hosts time to be listed and returns nil. It also returns nil after an
// error.
func (m *Mirror) startFromStaleList(ctx context.Context) kv.Watcher {
	if m.StaleLister == nil {
		return nil
	}
	entries, revision, err := m.StaleLister.ListStale(ctx, m.Prefix)
	if err != nil {
		m.Logger.LogAttrs(ctx, slog.LevelInfo, "stale list not available", slog.String("prefix", m.Prefix), slog.Any("error", err))
		return nil
	}
	if revision == 0 {
		wait.For(ctx, m.SettleDelay)
		m.awaitHostList(ctx)
		return nil
	}
	m.apply(m.diff(entries), revision, 0, 0)
	watcher, err := m.Store.Watch(ctx, m.Prefix, revision)
	if err != nil {
		m.Logger.LogAttrs(ctx, slog.LevelInfo, "stale list not watched", slog.String("prefix", m.Prefix), slog.Any("error", err))
		return nil
	}
	return watcher
}

// awaitHostList waits up to hostListTimeout for the first list of HostsMirror.
func (m *Mirror) awaitHostList(ctx context.Context) {
	if m.HostsMirror == nil {
		return
	}
	timer := time.NewTimer(hostListTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.HostsMirror.firstListed():
	}
}

// firstListed returns a channel that is closed once OnChange has received the first list. It
// locks m.mu.
func (m *Mirror) firstListed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedChannel()
}

// listedChannel returns m.listed, creating it if needed. m.mu is held.
func (m *Mirror) listedChannel() chan struct{} {
	if m.listed == nil {
		m.listed = make(chan struct{})
	}
	return m.listed
}

// step lists if watcher is nil, and otherwise waits for one batch. It tries
// Source first unless storeOnly is set. It returns the watcher for the next step.
func (m *Mirror) step(ctx context.Context, watcher kv.Watcher, lostSince time.Time, storeOnly bool) (kv.Watcher, error) {
	compacted := m.Compaction.Compacted()
	began := elapsed.Now(nil)
	if !storeOnly && m.follow(ctx, lostSince) {
		// The watch continues from the revision of the other host.
		return m.Store.Watch(ctx, m.Prefix, m.currentRevision())
	}
	sent := m.now()
	if watcher == nil || m.isOverdue() {
		entries, revision, err := m.Store.List(ctx, m.Prefix)
		if err != nil {
			return nil, err
		}
		m.confirm(m.diff(entries), revision, outageDuration(lostSince), m.delayOf(began), sent)
		return m.Store.Watch(ctx, m.Prefix, revision)
	}
	batch, err := m.nextBatch(ctx, watcher, compacted, m.watchTimeout(!lostSince.IsZero()))
	if err != nil {
		return nil, err
	}
	m.confirm(batch.Events, batch.Revision, outageDuration(lostSince), m.delayOf(began), sent)
	if len(batch.Events) > 0 && m.CoalesceDelay > 0 {
		wait.For(ctx, m.CoalesceDelay)
	}
	return watcher, nil
}

// follow applies an update from Source. It returns false if the store must be read
// instead.
func (m *Mirror) follow(ctx context.Context, lostSince time.Time) bool {
	if m.Source == nil {
		return false
	}
	sent := m.now()
	update, ok, err := m.Source.Follow(ctx, m.Prefix, m.currentRevision())
	if !ok {
		return false
	}
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.LogAttrs(ctx, slog.LevelInfo, "update from other host failed", slog.String("prefix", m.Prefix), slog.Any("error", err))
		}
		return false
	}
	events := update.Events
	if update.Reset {
		entries := make([]kv.Entry, 0, len(events))
		for _, event := range events {
			entries = append(entries, event.Entry)
		}
		events = m.diff(entries)
	}
	var asOf boottime.Instant
	if update.AgeKnown {
		// The other host made the update after it was asked.
		asOf = sent.Add(-update.Age)
	}
	m.apply(events, update.Revision, outageDuration(lostSince), asOf)
	if len(events) > 0 && m.CoalesceDelay > 0 {
		wait.For(ctx, m.CoalesceDelay)
	}
	return true
}

func (m *Mirror) currentRevision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// nextBatch waits for one batch of watcher, for a limited time unless timeout is zero. It
// fails with kv.ErrCompacted as soon as any mirror of the process has learned that the
// history was compacted.
func (m *Mirror) nextBatch(ctx context.Context, watcher kv.Watcher, compacted <-chan struct{}, timeout time.Duration) (kv.Batch, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if timeout > 0 {
		watchCtx, cancel = context.WithTimeout(watchCtx, timeout)
		defer cancel()
	}
	var group errgroup.Group
	group.Go(func() error {
		select {
		case <-compacted:
			cancel()
		case <-watchCtx.Done():
		}
		return nil
	})
	batch, err := watcher.Next(watchCtx)
	cancel()
	_ = group.Wait()
	if errors.Is(err, kv.ErrCompacted) {
		m.Compaction.Broadcast()
		return batch, err
	}
	select {
	case <-compacted:
		return kv.Batch{}, kv.ErrCompacted
	default:
		return batch, err
	}
}

// outageDuration returns the time since lostSince, or zero if lostSince is zero.
func outageDuration(lostSince time.Time) time.Duration {
	if lostSince.IsZero() {
		return 0
	}
	return time.Since(lostSince)
}

// apply applies events that did not come from the store itself. asOf is the instant of which
// they complete the state, or zero.
func (m *Mirror) apply(events []kv.Event, revision int64, outage time.Duration, asOf boottime.Instant) {
	m.mu.Lock()
	m.merge(events, revision)
	m.asOf = max(m.asOf, asOf)
	m.mu.Unlock()
	m.notify(events, outage, asOf)
}

// confirm applies events from the store itself and records the time of its answer, which
// was read after delay. sent is when the call was made.
func (m *Mirror) confirm(events []kv.Event, revision int64, outage, delay time.Duration, sent boottime.Instant) {
	m.mu.Lock()
	m.merge(events, revision)
	m.asOf = max(m.asOf, sent)
	if !m.confirmation.known && m.changed != nil {
		// The first answer wakes all waiters, even if it has no events.
		close(m.changed)
		m.changed = nil
	}
	m.confirmation = confirmation{at: elapsed.Now(nil), delay: delay, known: true}
	m.mu.Unlock()
	m.notify(events, outage, sent)
}

// notify calls OnChange if there are events or an outage has ended. After that, OnChange has
// received the state of the instant asOf, if it isn't zero.
func (m *Mirror) notify(events []kv.Event, outage time.Duration, asOf boottime.Instant) {
	if m.OnChange != nil && (len(events) > 0 || outage > 0) {
		m.OnChange(Change{Events: events, Outage: outage})
	}
	m.deliveredAsOf.Store(max(m.deliveredAsOf.Load(), int64(asOf)))
	if m.delivered.CompareAndSwap(false, true) {
		m.mu.Lock()
		defer m.mu.Unlock()
		close(m.listedChannel())
	}
}

// Delivered reports whether OnChange has received the first list. An empty list counts,
// although OnChange is not called for it.
func (m *Mirror) Delivered() bool { return m.delivered.Load() }

// isOverdue reports whether the age of the copy is unknown or beyond ListAge.
func (m *Mirror) isOverdue() bool {
	if m.ListAge == 0 {
		return false
	}
	age, known := m.DeliveredAge()
	return !known || age > m.ListAge
}

// Entry returns the entry of key and reports whether the copy holds one.
func (m *Mirror) Entry(key string) (kv.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.entries[key]
	return entry, ok
}
