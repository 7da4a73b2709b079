package server

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
)

const (
	// initialRefusalBackoff is how long a server gets no new work after it refused a
	// connection. It doubles with each further refusal, up to maxRefusalBackoff.
	initialRefusalBackoff = time.Second
	maxRefusalBackoff     = 4 * time.Second
)

var _ View = (*Directory)(nil)

// Directory holds the backend servers of the host list. It also tracks the state
// that servers report themselves and refused connections, which may be known before
// the host list shows them. A server counts as leaving as soon as one of these
// sources says so. It is safe for concurrent use.
type Directory struct {
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time

	mu sync.RWMutex
	// byAddress maps the address of a server to its id.
	byAddress map[string]string
	byID      map[string]Server
	// reportedLeaving holds the ids of servers that report that they are leaving.
	reportedLeaving map[string]bool
	refused         map[string]refusalBackoff
	// idsByService holds the ids of the servers of each service, sorted.
	idsByService map[string][]string
}

// refusalBackoff is the back-off after refused connections to one server.
type refusalBackoff struct {
	until    time.Time
	duration time.Duration
}

// SetHosts replaces the servers by the backend servers of the host list. Leaving
// reports and refused connections of servers that are no longer listed are dropped.
func (d *Directory) SetHosts(hosts []hostlist.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byAddress = make(map[string]string, len(hosts))
	d.byID = make(map[string]Server, len(hosts))
	d.idsByService = make(map[string][]string)
	for _, host := range hosts {
		if host.Role == hostlist.RoleEntry {
			continue
		}
		d.byAddress[host.Address] = host.ID
		d.byID[host.ID] = FromHost(host)
		d.idsByService[host.Service] = append(d.idsByService[host.Service], host.ID)
	}
	for _, ids := range d.idsByService {
		slices.Sort(ids)
	}
	for id := range d.reportedLeaving {
		if _, listed := d.byID[id]; !listed {
			delete(d.reportedLeaving, id)
		}
	}
	for id := range d.refused {
		if _, listed := d.byID[id]; !listed {
			delete(d.refused, id)
		}
	}
}

// SetReportedLeaving records whether the server with the id reports that it is
// leaving.
func (d *Directory) SetReportedLeaving(id string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reportedLeaving == nil {
		d.reportedLeaving = make(map[string]bool)
	}
	if leaving {
		d.reportedLeaving[id] = true
	} else {
		delete(d.reportedLeaving, id)
	}
}

// ConnectionRefused records that the server with the id refused a connection. The
// server gets no new work until its back-off ends, which doubles with each refusal.
func (d *Directory) ConnectionRefused(id string) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refused == nil {
		d.refused = make(map[string]refusalBackoff)
	}
	last := d.refused[id]
	if now.Before(last.until) {
		return // concurrent connections count once
	}
	duration := min(maxRefusalBackoff, max(initialRefusalBackoff, 2*last.duration))
	d.refused[id] = refusalBackoff{until: now.Add(duration), duration: duration}
}

// ConnectionAccepted records that the server with the id accepted a connection, which
// resets its back-off.
func (d *Directory) ConnectionAccepted(id string) {
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

func (d *Directory) connectionRefusedAt(address string) {
	if id, ok := d.idByAddress(address); ok {
		d.ConnectionRefused(id)
	}
}

func (d *Directory) connectionAcceptedAt(address string) {
	if id, ok := d.idByAddress(address); ok {
		d.ConnectionAccepted(id)
	}
}

func (d *Directory) idByAddress(address string) (string, bool) {
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
	servers := make([]Server, 0, len(d.idsByService[service]))
	for _, id := range d.idsByService[service] {
		s, _ := d.lookup(id, now)
		servers = append(servers, s)
	}
	return servers
}

// All returns all servers, sorted by id.
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

// lookup returns the server with the id, merged from all sources. d.mu is held.
func (d *Directory) lookup(id string, now time.Time) (Server, bool) {
	s, ok := d.byID[id]
	s.Leaving = s.Leaving || d.reportedLeaving[id] || now.Before(d.refused[id].until)
	return s, ok
}

func (d *Directory) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}
