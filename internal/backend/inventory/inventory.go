// Package inventory knows the backend servers of each service and what this
// host has seen of them: requests in flight, loads that they told, failures.
package inventory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/elapsed"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	// suspectFirst is how long a server gets no new work after a failure that
	// says nothing of the request. It doubles with each failure in a row.
	suspectFirst = 500 * time.Millisecond
	suspectMax   = 4 * time.Second
	// reportAge is how long a load that a server told is counted.
	reportAge = time.Second
	// defaultDrainBound is within what time a leaving server gets no new work if the
	// deployment names none.
	defaultDrainBound = 2 * time.Second
	// maxNotices bounds the servers that have said that they leave, and noticeKept
	// is how long that of one is kept whose entry is gone.
	maxNotices = 4096
	noticeKept = time.Minute
)

// Server is what the platform says of one backend server.
type Server struct {
	Address string
	// Draining servers finish what they have and get nothing new.
	Draining bool
	ID       string
	Service  string
	Slots    int
	// Started tells one start of a server from the next under the same id, in
	// Unix milliseconds; zero if it isn't known.
	Started int64
	// Versions maps each model to the weight version that the server holds.
	Versions map[string]int64
	Zone     string
}

// Candidate is a server with this host's view of it.
type Candidate struct {
	Server

	// InFlight is the number of requests of this host at the server.
	InFlight int
	// Pace is the mean time between events of streams at the server; zero when
	// none was seen.
	Pace time.Duration
	// Reported is the number of requests that the server itself told, or -1
	// when that is not known or too old.
	Reported int
	// Suspect is true while the server gets no new work after failures.
	Suspect bool
}

// state is what this host has seen of one server.
type state struct {
	failures     int
	inFlight     int
	pace         time.Duration
	reported     int
	reportedAt   time.Time
	suspectUntil time.Time
	// versions are the weight versions seen in answers, newer than the entry.
	versions map[string]int64
}

// notice is what a server has said of itself: that it leaves. The platform's list may say otherwise
// for a while, or for good.
type notice struct {
	heard elapsed.Mark
	// started is the start of the server that said so; startUnknown if it isn't known.
	started int64
}

const startUnknown = -1

// Inventory holds the servers. It is safe for concurrent use. The zero value is
// ready.
type Inventory struct {
	// DrainBound is how long a service all of whose servers leave still uses them; zero
	// means two seconds.
	DrainBound time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// byService holds the ids of each service's servers, ascending.
	byService map[string][]string
	changed   chan struct{}
	notices   map[string]notice
	servers   map[string]Server
	states    map[string]*state
	// swept is when notices were last looked through.
	swept time.Time
}

// Set adds or replaces a server.
func (v *Inventory) Set(s Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.servers == nil {
		v.servers = make(map[string]Server)
	}
	before, known := v.servers[s.ID]
	if known && before.Started != s.Started {
		delete(v.states, s.ID)
	}
	if said, ok := v.notices[s.ID]; ok && said.started != s.Started {
		delete(v.notices, s.ID)
		if said.started == startUnknown {
			v.notices[s.ID] = notice{heard: said.heard, started: s.Started}
		}
	}
	if st := v.states[s.ID]; st != nil {
		st.versions = nil
	}
	if before.Service != s.Service {
		v.unlist(before)
		v.list(s)
	}
	v.servers[s.ID] = s
	v.notify()
}

// Remove forgets a server.
func (v *Inventory) Remove(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unlist(v.servers[id])
	delete(v.servers, id)
	if st := v.states[id]; st != nil && st.inFlight == 0 {
		delete(v.states, id)
	}
	v.notify()
}

// list enters the id of a server among those of its service. v.mu is held.
func (v *Inventory) list(s Server) {
	if v.byService == nil {
		v.byService = make(map[string][]string)
	}
	ids := v.byService[s.Service]
	if at, found := slices.BinarySearch(ids, s.ID); !found {
		v.byService[s.Service] = slices.Insert(ids, at, s.ID)
	}
}

// unlist takes the id of a server from those of its service. v.mu is held.
func (v *Inventory) unlist(s Server) {
	ids := v.byService[s.Service]
	if at, found := slices.BinarySearch(ids, s.ID); found {
		v.byService[s.Service] = slices.Delete(ids, at, at+1)
	}
}

// Get returns a server and whether it is known.
func (v *Inventory) Get(id string) (Server, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.servers[id]
	return s, ok
}

// Changed returns a channel that is closed at the next change of the servers or
// of what is in flight.
func (v *Inventory) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.changed
}

func (v *Inventory) notify() {
	if v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
}

// Leaves notes that a server has said that it leaves, and reports whether this is news.
// started is the start of the server if it isn't the one that is known, else zero.
func (v *Inventory) Leaves(id string, started int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, known := v.servers[id]
	switch {
	case started == 0 && known:
		started = s.Started
	case started == 0:
		started = startUnknown
	case known && started != s.Started:
		return false // It has started again since.
	}
	if _, ok := v.notices[id]; ok {
		return false
	}
	v.boundNotices()
	if v.notices == nil {
		v.notices = make(map[string]notice)
	}
	v.notices[id] = notice{heard: elapsed.Now(v.Now), started: started}
	v.notify()
	return true
}

// boundNotices forgets the notices of servers that are gone, and the oldest one if there
// are too many. v.mu is held.
func (v *Inventory) boundNotices() {
	if len(v.notices) < maxNotices && v.now().Sub(v.swept) < noticeKept {
		return
	}
	v.swept = v.now()
	oldest, longest := "", time.Duration(-1)
	for id, said := range v.notices {
		since := said.heard.Since(v.Now)
		if _, known := v.servers[id]; !known && since > noticeKept {
			delete(v.notices, id)
			continue
		}
		if since > longest {
			oldest, longest = id, since
		}
	}
	if len(v.notices) >= maxNotices {
		delete(v.notices, oldest)
	}
}

// Check returns an error if a server takes no new work. It is asked just before a request
// is sent: it may have waited for its connection since the server was chosen, or the host
// stood still.
func (v *Inventory) Check(id string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, known := v.servers[id]; known && slices.Contains(v.open(s.Service), id) {
		return nil
	}
	return kind.New(kind.Unavailable, "backend server %q leaves or is gone", id).WithRan(kind.RanNo)
}

// open returns the ids of the servers of a service that take new work. If all that don't
// drain have said that they leave, these still do, until the drain bound after they said
// so. v.mu is held.
func (v *Inventory) open(service string) []string {
	ids := v.byService[service]
	open := make([]string, 0, len(ids))
	var last []string
	for _, id := range ids {
		if v.servers[id].Draining {
			continue
		}
		said, leaves := v.notices[id]
		switch {
		case !leaves:
			open = append(open, id)
		case said.heard.Since(v.Now) < v.drainBound():
			last = append(last, id)
		}
	}
	if len(open) == 0 {
		return last
	}
	return open
}

func (v *Inventory) drainBound() time.Duration {
	if v.DrainBound > 0 {
		return v.DrainBound
	}
	return defaultDrainBound
}

// Candidates returns the servers of a service that take new work, by id.
func (v *Inventory) Candidates(service string) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	ids := v.open(service)
	candidates := make([]Candidate, 0, len(ids))
	for _, id := range ids {
		s := v.servers[id]
		c := Candidate{Server: s, Reported: -1}
		if st := v.states[id]; st != nil {
			c.InFlight, c.Pace, c.Suspect = st.inFlight, st.pace, now.Before(st.suspectUntil)
			if now.Sub(st.reportedAt) < reportAge {
				c.Reported = st.reported
			}
			if len(st.versions) > 0 {
				c.Versions = maps.Clone(s.Versions)
				if c.Versions == nil {
					c.Versions = make(map[string]int64)
				}
				maps.Copy(c.Versions, st.versions)
			}
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// Started counts a request that is sent to a server.
func (v *Inventory) Started(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state(id).inFlight++
}

// Finished counts the end of a request that Started counted.
func (v *Inventory) Finished(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := v.state(id)
	st.inFlight--
	if _, known := v.servers[id]; !known && st.inFlight <= 0 {
		delete(v.states, id)
	}
	v.notify()
}

// Answered notes a sound answer and, if told is not negative, the number of
// requests that the server says it has.
func (v *Inventory) Answered(id string, told int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := v.state(id)
	st.failures, st.suspectUntil = 0, time.Time{}
	if told >= 0 {
		st.reported, st.reportedAt = told, v.now()
	}
}

// Failed notes a failure that lies with the server. It returns how long the
// server gets no new work.
func (v *Inventory) Failed(id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := v.state(id)
	wait := min(suspectFirst<<min(st.failures, 8), suspectMax)
	st.failures++
	st.suspectUntil = v.now().Add(wait)
	v.notify()
	return wait
}

// Full notes that a server refused a request because it has too many; it gets
// no more for wait.
func (v *Inventory) Full(id string, wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := v.state(id)
	st.suspectUntil = v.now().Add(wait)
}

// paceWeight is the weight of one new interval in the mean pace.
const paceWeight = 0.2

// Paced notes the time between two events of a stream at a server.
func (v *Inventory) Paced(id string, interval time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := v.state(id)
	if st.pace == 0 {
		st.pace = interval
		return
	}
	st.pace += time.Duration(paceWeight * float64(interval-st.pace))
}

// SawVersion notes the weight version of a model that a server's answer told.
func (v *Inventory) SawVersion(id, model string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := v.state(id)
	if st.versions == nil {
		if v.servers[id].Versions[model] == version {
			return // Its entry says the same.
		}
		st.versions = make(map[string]int64)
	}
	st.versions[model] = version
}

func (v *Inventory) state(id string) *state {
	if v.states == nil {
		v.states = make(map[string]*state)
	}
	st, ok := v.states[id]
	if !ok {
		st = &state{}
		v.states[id] = st
	}
	return st
}

func (v *Inventory) now() time.Time {
	if v.Now != nil {
		return v.Now()
	}
	return time.Now()
}
