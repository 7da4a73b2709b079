package server

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
)

const (
	// refusedFirst is how long a server gets no new work after it refused a
	// connection. It doubles with each further refusal up to refusedMax.
	refusedFirst = time.Second
	refusedMax   = 4 * time.Second
)

var _ View = (*Directory)(nil)

// Directory holds the backend servers of the host list together with what is
// known earlier from the servers themselves. A server counts as leaving as soon
// as one source says so. It is safe for concurrent use.
type Directory struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.RWMutex
	// byAddress maps an address to the id of its server.
	byAddress map[string]string
	byID      map[string]Server
	leaving   map[string]bool
	refused   map[string]refusal
	service   map[string][]string
}

// refusal is the memory of refused connections to one server.
type refusal struct {
	until time.Time
	wait  time.Duration
}

// SetHosts takes over the backend servers of the host list. What servers said
// of themselves is forgotten for those that the list no longer names.
func (d *Directory) SetHosts(hosts []hostlist.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byAddress = make(map[string]string, len(hosts))
	d.byID = make(map[string]Server, len(hosts))
	d.service = make(map[string][]string)
	for _, host := range hosts {
		if host.Role == hostlist.RoleEntry {
			continue
		}
		d.byAddress[host.Address] = host.ID
		d.byID[host.ID] = FromHost(host)
		d.service[host.Service] = append(d.service[host.Service], host.ID)
	}
	for _, ids := range d.service {
		slices.Sort(ids)
	}
	for id := range d.leaving {
		if _, listed := d.byID[id]; !listed {
			delete(d.leaving, id)
		}
	}
	for id := range d.refused {
		if _, listed := d.byID[id]; !listed {
			delete(d.refused, id)
		}
	}
}

// SetLeaving notes what the server with the id says of itself.
func (d *Directory) SetLeaving(id string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving == nil {
		d.leaving = make(map[string]bool)
	}
	if leaving {
		d.leaving[id] = true
	} else {
		delete(d.leaving, id)
	}
}

// Refused notes that the server with the id refused a connection. It gets no
// new work for a while, longer with each refusal.
func (d *Directory) Refused(id string) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refused == nil {
		d.refused = make(map[string]refusal)
	}
	last := d.refused[id]
	if now.Before(last.until) {
		return // connections opened together count once
	}
	wait := min(refusedMax, max(refusedFirst, 2*last.wait))
	d.refused[id] = refusal{until: now.Add(wait), wait: wait}
}

// Answered notes that the server with the id accepted a connection.
func (d *Directory) Answered(id string) {
	d.mu.RLock()
	_, refused := d.refused[id]
	d.mu.RUnlock()
	if !refused {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.refused, id)
}

func (d *Directory) refusedAt(address string) {
	if id, ok := d.at(address); ok {
		d.Refused(id)
	}
}

func (d *Directory) answeredAt(address string) {
	if id, ok := d.at(address); ok {
		d.Answered(id)
	}
}

func (d *Directory) at(address string) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	id, ok := d.byAddress[address]
	return id, ok
}

// Server implements View.
func (d *Directory) Server(id string) (Server, bool) {
	now := d.now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lookup(id, now)
}

// Servers implements View.
func (d *Directory) Servers(service string) []Server {
	now := d.now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	servers := make([]Server, 0, len(d.service[service]))
	for _, id := range d.service[service] {
		s, _ := d.lookup(id, now)
		servers = append(servers, s)
	}
	return servers
}

// All returns every server, sorted by id.
func (d *Directory) All() []Server {
	now := d.now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	servers := make([]Server, 0, len(d.byID))
	for id := range d.byID {
		s, _ := d.lookup(id, now)
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// lookup merges the sources. The lock is held.
func (d *Directory) lookup(id string, now time.Time) (Server, bool) {
	s, ok := d.byID[id]
	s.Leaving = s.Leaving || d.leaving[id] || now.Before(d.refused[id].until)
	return s, ok
}

func (d *Directory) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}
