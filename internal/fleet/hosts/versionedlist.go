// Package hosts distributes the platform's host list to all entry hosts. A few
// readers in each availability zone poll the platform, and the other nodes get
// deltas from a reader by long polling, so that a change transfers a few hundred
// bytes instead of the whole list.
package hosts

import (
	"cmp"
	"slices"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
)

const (
	// maxTombstones is the maximum number of removals that are kept for deltas.
	maxTombstones = 4096
	// maxHeldRevisions is the maximum number of revisions from which deltas can be
	// computed.
	maxHeldRevisions = 4096
)

// VersionedList is a host list that can compute the changes since an earlier
// revision. For each host it keeps the list revision in which the last change of the
// host was found. It is not safe for concurrent use.
type VersionedList struct {
	hosts      map[string]entry
	tombstones []tombstone
	revision   int64
	// heldRevisions contains the revisions that the list has held, in order. Deltas
	// can be computed only from these.
	heldRevisions []int64
}

type entry struct {
	// changedAt is the list revision in which the last change of host was found.
	changedAt int64
	host      hostlist.Host
}

// tombstone records the removal of a host.
type tombstone struct {
	id string
	// removedAt is the first list revision without the host.
	removedAt int64
}

// Delta describes the changes between two revisions.
type Delta struct {
	Changed []hostlist.Host
	// Full is set if Changed is the whole list.
	Full bool
	// Removed contains the IDs of the removed hosts.
	Removed  []string
	Revision int64
}

// Revision returns the revision of the list, or zero if nothing was set yet.
func (v *VersionedList) Revision() int64 { return v.revision }

// Set replaces the list if the given one is newer.
func (v *VersionedList) Set(list hostlist.List) {
	if list.Revision <= v.revision {
		return
	}
	if v.revision == 0 {
		v.hosts = make(map[string]entry, len(list.Hosts))
	}
	v.advance(list.Revision)
	listed := make(map[string]bool, len(list.Hosts))
	for _, host := range list.Hosts {
		listed[host.ID] = true
		v.putHost(host)
	}
	for id := range v.hosts {
		if !listed[id] {
			v.removeHost(id)
		}
	}
}

// Apply applies a delta if it is newer than the list and reports whether it did.
// A delta that is not full is refused until a whole list has been set.
func (v *VersionedList) Apply(d Delta) bool {
	if d.Revision <= v.revision {
		return false
	}
	if d.Full {
		v.Set(hostlist.List{Hosts: d.Changed, Revision: d.Revision})
		return true
	}
	if v.revision == 0 {
		return false
	}
	v.advance(d.Revision)
	for _, host := range d.Changed {
		v.putHost(host)
	}
	for _, id := range d.Removed {
		v.removeHost(id)
	}
	return true
}

// Since returns the changes after a revision. The delta is full if the list has
// not held that revision or has dropped it.
func (v *VersionedList) Since(after int64) Delta {
	_, known := slices.BinarySearch(v.heldRevisions, after)
	d := Delta{Full: !known, Revision: v.revision}
	for _, e := range v.hosts {
		if d.Full || e.changedAt > after {
			d.Changed = append(d.Changed, e.host)
		}
	}
	for _, t := range v.tombstones {
		if _, listed := v.hosts[t.id]; !listed && !d.Full && t.removedAt > after {
			d.Removed = append(d.Removed, t.id)
		}
	}
	slices.SortFunc(d.Changed, func(a, b hostlist.Host) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// Hosts returns the hosts, sorted by ID.
func (v *VersionedList) Hosts() []hostlist.Host { return v.Since(-1).Changed }

// advance sets the revision and adds it to the held ones.
func (v *VersionedList) advance(revision int64) {
	v.revision = revision
	v.heldRevisions = append(v.heldRevisions, revision)
	if len(v.heldRevisions) > maxHeldRevisions {
		v.heldRevisions = slices.Delete(v.heldRevisions, 0, 1)
	}
}

func (v *VersionedList) putHost(host hostlist.Host) {
	if held, ok := v.hosts[host.ID]; ok && held.host == host {
		return
	}
	v.hosts[host.ID] = entry{changedAt: v.revision, host: host}
}

func (v *VersionedList) removeHost(id string) {
	if _, ok := v.hosts[id]; !ok {
		return
	}
	delete(v.hosts, id)
	v.tombstones = append(v.tombstones, tombstone{removedAt: v.revision, id: id})
	if len(v.tombstones) > maxTombstones {
		// Revisions before the dropped tombstone are dropped too: deltas from them
		// would miss the removal.
		oldest, _ := slices.BinarySearch(v.heldRevisions, v.tombstones[0].removedAt)
		v.heldRevisions = slices.Delete(v.heldRevisions, 0, oldest)
		v.tombstones = slices.Delete(v.tombstones, 0, 1)
	}
}
