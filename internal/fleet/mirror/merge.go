package mirror

import (
	"slices"

	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// diff returns the events that turn the copy into entries.
func (m *Mirror) diff(entries []kv.Entry) []kv.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	var events []kv.Event
	present := make(map[string]struct{}, len(entries))
	for _, entry := range entries {
		present[entry.Key] = struct{}{}
		if m.entries[entry.Key].ModRevision != entry.ModRevision {
			events = append(events, kv.Event{Entry: entry})
		}
	}
	for key := range m.entries {
		if _, ok := present[key]; !ok {
			events = append(events, kv.Event{Delete: true, Entry: kv.Entry{Key: key}})
		}
	}
	return events
}

// merge applies events to the copy and advances it to revision. m.mu is held.
func (m *Mirror) merge(events []kv.Event, revision int64) {
	if m.entries == nil {
		m.entries = make(map[string]kv.Entry)
		m.recentFrom = revision
	}
	for _, event := range events {
		if event.Delete {
			delete(m.entries, event.Entry.Key)
		} else {
			m.entries[event.Entry.Key] = event.Entry
		}
		if event.Entry.ModRevision == 0 {
			// A list does not show the revision at which a key was deleted.
			event.Entry.ModRevision = revision
		}
		m.recent = append(m.recent, event)
	}
	if excess := len(m.recent) - maxRecentEvents; excess > 0 {
		m.recentFrom = m.recent[excess-1].Entry.ModRevision
		m.recent = slices.Delete(m.recent, 0, excess)
	}
	m.revision = max(m.revision, revision)
	if m.changed != nil && len(events) > 0 {
		close(m.changed)
		m.changed = nil
	}
}
