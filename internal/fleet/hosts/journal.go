// Package hosts brings the platform's host list to every entry host. A few
// readers in each availability zone poll it, and the other nodes wait at a
// reader for what changed, so that a change costs a few hundred bytes and not
// the whole list.
package hosts

import (
	"cmp"
	"slices"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
)

const (
	// maxRemovals is the number of removed hosts that are remembered.
	maxRemovals = 4096
	// maxSeen is the number of revisions that are remembered.
	maxSeen = 4096
)

// Journal holds a host list and the revision at which each line was seen to
// change. It is not safe for concurrent use.
type Journal struct {
	hosts    map[string]line
	removals []removal
	revision int64
	// seen holds the revisions that this journal has held, in order. What
	// changed since another revision cannot be told.
	seen []int64
}

type line struct {
	changed int64
	host    hostlist.Host
}

type removal struct {
	id string
	at int64
}

// Difference is what changed between two revisions.
type Difference struct {
	Changed []hostlist.Host
	// Full says that Changed is the whole list.
	Full     bool
	Removed  []string
	Revision int64
}

// Revision is the revision of the list held; zero is none.
func (j *Journal) Revision() int64 { return j.revision }

// Set takes over a whole list that is newer than the one held.
func (j *Journal) Set(list hostlist.List) {
	if list.Revision <= j.revision {
		return
	}
	if j.revision == 0 {
		j.hosts = make(map[string]line, len(list.Hosts))
	}
	j.see(list.Revision)
	listed := make(map[string]bool, len(list.Hosts))
	for _, host := range list.Hosts {
		listed[host.ID] = true
		j.put(host)
	}
	for id := range j.hosts {
		if !listed[id] {
			j.remove(id)
		}
	}
}

// Apply takes over a difference and reports whether it was newer.
func (j *Journal) Apply(d Difference) bool {
	if d.Revision <= j.revision {
		return false
	}
	if d.Full {
		j.Set(hostlist.List{Hosts: d.Changed, Revision: d.Revision})
		return true
	}
	if j.revision == 0 {
		return false
	}
	j.see(d.Revision)
	for _, host := range d.Changed {
		j.put(host)
	}
	for _, id := range d.Removed {
		j.remove(id)
	}
	return true
}

// Since returns what changed after a revision.
func (j *Journal) Since(after int64) Difference {
	_, known := slices.BinarySearch(j.seen, after)
	d := Difference{Full: !known, Revision: j.revision}
	for _, l := range j.hosts {
		if d.Full || l.changed > after {
			d.Changed = append(d.Changed, l.host)
		}
	}
	for _, r := range j.removals {
		if _, back := j.hosts[r.id]; !back && !d.Full && r.at > after {
			d.Removed = append(d.Removed, r.id)
		}
	}
	slices.SortFunc(d.Changed, func(a, b hostlist.Host) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// Hosts returns the list, sorted by id.
func (j *Journal) Hosts() []hostlist.Host { return j.Since(-1).Changed }

func (j *Journal) see(revision int64) {
	j.revision = revision
	j.seen = append(j.seen, revision)
	if len(j.seen) > maxSeen {
		j.seen = slices.Delete(j.seen, 0, 1)
	}
}

func (j *Journal) put(host hostlist.Host) {
	if held, ok := j.hosts[host.ID]; ok && held.host == host {
		return
	}
	j.hosts[host.ID] = line{changed: j.revision, host: host}
}

func (j *Journal) remove(id string) {
	if _, ok := j.hosts[id]; !ok {
		return
	}
	delete(j.hosts, id)
	j.removals = append(j.removals, removal{at: j.revision, id: id})
	if len(j.removals) > maxRemovals {
		oldest, _ := slices.BinarySearch(j.seen, j.removals[0].at)
		j.seen = slices.Delete(j.seen, 0, oldest)
		j.removals = slices.Delete(j.removals, 0, 1)
	}
}
