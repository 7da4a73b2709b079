package mirror

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// Since returns the changes after revision, for hosts that follow this one. It
// waits for a change until ctx ends. On a host that has just started it also waits
// for the first answer of the store. It returns false as soon as the last answer of the
// store is older than MaxAge, also during the wait, or if ctx ends before the first answer.
//
// A host that has just read the store itself knows a later revision than this copy, which
// learns the store's revision only with the next answer. Its age alone bounds when it knows
// a later change, so such a host waits for it like the others.
func (m *Mirror) Since(ctx context.Context, revision int64) (Update, bool) {
	maxAge := cmp.Or(m.MaxAge, DefaultMaxAge)
	for {
		m.mu.Lock()
		starting := !m.confirmation.known && m.revision == 0 && m.StaleLister != nil
		rest := maxAge - m.confirmation.age()
		if !starting && (!m.confirmation.known || rest < 0) {
			m.mu.Unlock()
			return Update{}, false
		}
		update, found := m.updateSince(revision)
		found = found && !starting
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if found || ctx.Err() != nil {
			return update, !starting
		}
		m.awaitChange(ctx, changed, starting, rest)
	}
}

// awaitChange waits until changed is closed or ctx ends, and no longer than the copy stays
// young enough, unless the host is starting.
func (m *Mirror) awaitChange(ctx context.Context, changed <-chan struct{}, starting bool, rest time.Duration) {
	var outdated <-chan time.Time
	if !starting {
		timer := time.NewTimer(rest + time.Millisecond)
		defer timer.Stop()
		outdated = timer.C
	}
	select {
	case <-changed:
	case <-ctx.Done():
	case <-outdated:
	}
}

// updateSince returns the changes after revision, or a snapshot if they are no
// longer kept, and reports whether there are any. m.mu is held.
func (m *Mirror) updateSince(revision int64) (Update, bool) {
	update := Update{Revision: m.revision}
	if m.asOf != 0 {
		update.Age, update.AgeKnown = m.now().Sub(m.asOf), true
	}
	if revision == 0 || revision < m.recentFrom {
		update.Reset = true
		for _, key := range slices.Sorted(maps.Keys(m.entries)) {
			update.Events = append(update.Events, kv.Event{Entry: m.entries[key]})
		}
		return update, true
	}
	for _, event := range m.recent {
		if event.Entry.ModRevision > revision {
			update.Events = append(update.Events, event)
		}
	}
	return update, len(update.Events) > 0
}
