// Package address assigns entry hosts to callers. It also contains the lifecycle of
// an entry host, which lets requests in flight finish before the host stops.
package address

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
)

// maxZoneOverload bounds the callers per node in an availability zone that has few
// nodes, as a multiple of the mean. Callers beyond it are assigned to nodes of any
// zone.
const maxZoneOverload = 2

// Assigner assigns lists of nodes to callers. It keeps each assignment for as
// long as the caller caches it, and balances the first places of the lists, which
// callers use most. It is safe for concurrent use.
type Assigner struct {
	mu sync.Mutex
	// assignments holds the current assignment of each caller.
	assignments map[string]assignment
	// firstPlaces holds the number of assignments whose first node is the key.
	firstPlaces map[string]int
	lastSweep   time.Time
}

// assignment is the first node of a list and the time until which the caller keeps
// the list.
type assignment struct {
	node  string
	until time.Time
}

// Assign returns up to count of nodes for caller in order of preference. Nodes of
// zone come first, unless the zone has too few nodes for all its callers. keep is how
// long the caller caches the list.
func (a *Assigner) Assign(now time.Time, caller, zone string, nodes []member.Node, count int, keep time.Duration) []member.Node {
	if len(nodes) == 0 || count < 1 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now, caller)
	if a.assignments == nil {
		a.assignments, a.firstPlaces = make(map[string]assignment), make(map[string]int)
	}
	preferred := preferredZone(caller, zone, nodes)
	ids := make([]string, len(nodes))
	byID := make(map[string]member.Node, len(nodes))
	for i, node := range nodes {
		ids[i], byID[node.ID] = node.ID, node
	}
	ranked := rendezvous.Rank(caller, ids)
	distance := func(id string) int {
		if preferred != "" && byID[id].AvailabilityZone != preferred {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ranked, func(x, y string) int {
		return cmp.Or(cmp.Compare(distance(x), distance(y)), cmp.Compare(a.firstPlaces[x], a.firstPlaces[y]))
	})
	a.firstPlaces[ranked[0]]++
	a.assignments[caller] = assignment{node: ranked[0], until: now.Add(keep)}
	chosen := make([]member.Node, 0, min(count, len(ranked)))
	for _, id := range ranked[:min(count, len(ranked))] {
		chosen = append(chosen, byID[id])
	}
	return chosen
}

// preferredZone returns the zone whose nodes come first for caller, or "" if no zone
// is preferred. A zone that has lost most of its nodes keeps only as many callers
// as its remaining nodes can serve.
func preferredZone(caller, zone string, nodes []member.Node) string {
	nodesByZone := make(map[string]int)
	for _, node := range nodes {
		nodesByZone[node.AvailabilityZone]++
	}
	inZone := nodesByZone[zone]
	if inZone == 0 {
		return ""
	}
	// A caller stays if its hash, from 0 to shares-1, is below the zone's capacity:
	// maxZoneOverload times the zone's nodes, divided by the mean number of nodes per
	// zone, in units of 1/shares.
	const shares = 1 << 16
	capacity := maxZoneOverload * inZone * len(nodesByZone) * shares / len(nodes)
	if int(rendezvous.Weight("near", caller)%shares) >= capacity {
		return ""
	}
	return zone
}

// sweepInterval is the minimum time between two removals of expired assignments.
const sweepInterval = time.Second

// expire removes the assignment of caller and, at most once per sweepInterval, all
// expired ones. a.mu is held.
func (a *Assigner) expire(now time.Time, caller string) {
	a.remove(caller)
	if now.Sub(a.lastSweep) < sweepInterval {
		return
	}
	a.lastSweep = now
	for other, assigned := range a.assignments {
		if now.After(assigned.until) {
			a.remove(other)
		}
	}
}

// remove removes the assignment of caller. a.mu is held.
func (a *Assigner) remove(caller string) {
	assigned, ok := a.assignments[caller]
	if !ok {
		return
	}
	delete(a.assignments, caller)
	a.firstPlaces[assigned.node]--
	if a.firstPlaces[assigned.node] == 0 {
		delete(a.firstPlaces, assigned.node)
	}
}
