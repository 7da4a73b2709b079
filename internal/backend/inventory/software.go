package inventory

import (
	"maps"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/elapsed"
)

// softwareRetention is how long the software versions of servers that are gone are kept.
const softwareRetention = 10 * time.Minute

// ServingSoftware returns the software versions of the listed servers of a service, sorted.
func (v *Inventory) ServingSoftware(service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servingSoftware(service)
}

// servingSoftware is ServingSoftware; v.mu is held.
func (v *Inventory) servingSoftware(service string) []string {
	versions := make(map[string]struct{})
	for _, id := range v.byService[service] {
		versions[v.servers[id].Software] = struct{}{}
	}
	return slices.Sorted(maps.Keys(versions))
}

// RecentSoftware returns the software versions of the servers of a service that are listed
// or were removed within window, sorted.
func (v *Inventory) RecentSoftware(service string, window time.Duration) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := v.servingSoftware(service)
	for software, removed := range v.removedSoftware[service] {
		if removed.Since(v.Now) < window && !slices.Contains(versions, software) {
			versions = append(versions, software)
		}
	}
	slices.Sort(versions)
	return versions
}

// recordRemovedSoftware records that a server is no longer listed as it was. v.mu is held.
func (v *Inventory) recordRemovedSoftware(s Server) {
	if v.removedSoftware == nil {
		v.removedSoftware = make(map[string]map[string]elapsed.Mark)
	}
	removed := v.removedSoftware[s.Service]
	if removed == nil {
		removed = make(map[string]elapsed.Mark)
		v.removedSoftware[s.Service] = removed
	}
	for software, mark := range removed {
		if mark.Since(v.Now) > softwareRetention {
			delete(removed, software)
		}
	}
	removed[s.Software] = elapsed.Now(v.Now)
}
