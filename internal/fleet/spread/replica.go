// Package spread distributes documents to all entry hosts. In each availability zone
// a few nodes, called readers, watch the key-value service and push changes along a
// tree of the zone's nodes. Each node repairs missed changes by comparing digests
// with a few partners (anti-entropy). A node applies an entry only if its store
// revision is newer than the one it holds, so no node reverts to an older document.
package spread

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

// Entry is a document as stored, or the tombstone of a deleted one.
type Entry struct {
	Deleted bool
	Key     string
	// Revision is the store revision of the change.
	Revision int64
	Value    []byte
}

// Replica holds the newest entry known for each key. It is safe for concurrent
// use.
type Replica struct {
	mu      sync.RWMutex
	digest  uint64
	entries map[string]Entry
}

// Apply stores the entries that are newer than those held and returns them.
func (r *Replica) Apply(entries ...Entry) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = make(map[string]Entry)
	}
	var applied []Entry
	for _, entry := range entries {
		held, ok := r.entries[entry.Key]
		if ok && held.Revision >= entry.Revision {
			continue
		}
		if ok {
			r.digest ^= fingerprint(held)
		}
		r.digest ^= fingerprint(entry)
		r.entries[entry.Key] = entry
		applied = append(applied, entry)
	}
	return applied
}

// ApplySnapshot applies a complete list of the store at revision and returns the
// entries that changed. A held entry whose key is not listed is replaced with a
// tombstone, unless the entry is newer than the list.
func (r *Replica) ApplySnapshot(listed []Entry, revision int64) []Entry {
	present := make(map[string]bool, len(listed))
	for _, entry := range listed {
		present[entry.Key] = true
	}
	for _, held := range r.Entries() {
		if !present[held.Key] && !held.Deleted && held.Revision <= revision {
			listed = append(listed, Entry{Deleted: true, Key: held.Key, Revision: revision})
		}
	}
	return r.Apply(listed...)
}

// Digest returns a hash of all keys and revisions.
func (r *Replica) Digest() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}

// Entries returns all entries, tombstones included, sorted by key.
func (r *Replica) Entries() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	entries := make([]Entry, 0, len(r.entries))
	for _, entry := range r.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, compareKeys)
	return entries
}

// Entry returns the entry of key.
func (r *Replica) Entry(key string) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	entry, ok := r.entries[key]
	return entry, ok
}

// Newer returns the entries that are newer than in known, which maps keys to
// revisions. Entries whose key is not in known are returned too.
func (r *Replica) Newer(known map[string]int64) []Entry {
	var newer []Entry
	for _, entry := range r.Entries() {
		if entry.Revision > known[entry.Key] {
			newer = append(newer, entry)
		}
	}
	return newer
}

// fingerprint returns a hash of the entry's key and revision. The digest is the XOR
// of the fingerprints, so that it does not depend on the order of the entries.
func fingerprint(entry Entry) uint64 {
	data := binary.BigEndian.AppendUint64([]byte(entry.Key), uint64(entry.Revision))
	return xxh3.Hash(data)
}
