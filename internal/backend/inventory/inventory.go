// Package inventory holds the backend servers of each service together with what
// this host has observed of them: requests in flight, reported load, failures.
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
	// initialBackoff is the back-off of a server after its first failure that isn't due to
	// the request. During a back-off, new work should go to other servers. The back-off
	// doubles with each consecutive failure, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxReportAge is how long a load reported by a server stays valid.
	maxReportAge = time.Second
	// defaultDrainBound applies if Inventory.DrainBound is zero.
	defaultDrainBound = 2 * time.Second
	// maxLeaveNotices bounds the number of leave notices. A notice whose server has no
	// entry any more expires leaveNoticeRetention after its receipt.
	maxLeaveNotices      = 4096
	leaveNoticeRetention = time.Minute
)

// Server is the entry of one backend server in the platform's list. Slots is the number of
// requests that the server runs concurrently.
type Server struct {
	Address string
	// Draining is set if the server finishes its running requests and takes no new ones.
	Draining bool
	ID       string
	Service  string
	Slots    int
	// Software is the version of the server's software. Streams that servers of different
	// versions wrote don't fit together.
	Software string
	// Spot is set if the server is cheaper than others and may be reclaimed.
	Spot bool
	// Started is the start time of the server in Unix milliseconds, or zero if it isn't
	// known. It distinguishes successive starts under the same id.
	Started int64
	// Versions maps each model to the weight version that the server holds.
	Versions map[string]int64
	Zone     string
}

// Candidate is a server together with this host's observations of it.
type Candidate struct {
	Server

	// InFlight is the number of requests that this host has sent to the server and that
	// have not finished.
	InFlight int
	// EventInterval is the moving average of the time between two events of a stream of
	// the server. It is zero if none was observed.
	EventInterval time.Duration
	// ReportedRequests is the number of requests that the server itself reported, or
	// -1 if there is no report or it is too old.
	ReportedRequests int
	// BackingOff is true while new work should go to other servers, after a failure or
	// because the server was full.
	BackingOff bool
	// RequestsBackingOff is true while new single requests should go to other servers, after a
	// refusal or a failure of one that may be due to that request.
	RequestsBackingOff bool
	// KVTokens is the number of tokens that the server's memory holds, as the server itself
	// reported; zero if it isn't known.
	KVTokens int
	// RequestLimit is the limit that the server has named in its answers.
	RequestLimit RequestLimit
}

// IsAvoidedByRequests reports whether new single requests should go to other servers.
func (c Candidate) IsAvoidedByRequests() bool { return c.BackingOff || c.RequestsBackingOff }

// observations holds what this host has observed of one server.
type observations struct {
	// answeredAt is when the server last answered or generated an event.
	answeredAt       time.Time
	failures         int
	inFlight         int
	eventInterval    time.Duration
	reportedRequests int
	reportedAt       time.Time
	backoffUntil     time.Time
	// requestFailures and requestBackoffUntil are failures and backoffUntil for single requests
	// only.
	requestFailures     int
	requestBackoffUntil time.Time
	kvTokens            int
	// versions holds the weight versions that answers carried since the entry was set.
	// They override those of the entry.
	versions map[string]int64
	limit    observedLimit
}

// leaveNotice records that a server has announced that it is leaving. The server's entry
// in the platform's list may show this later or never.
type leaveNotice struct {
	receivedAt elapsed.Mark
	// started is the start time of the server that sent the notice, or unknownStart.
	started int64
}

// unknownStart marks a notice that arrived before the entry of its server. Set replaces it
// by the start time in the entry.
const unknownStart = -1

// Inventory holds the servers. It is safe for concurrent use. The zero value is
// ready.
type Inventory struct {
	// DrainBound is how long a leaving server still gets new work if all servers of its
	// service leave; zero means two seconds.
	DrainBound time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// byService maps each service to the sorted ids of its servers.
	byService    map[string][]string
	changed      chan struct{}
	notices      map[string]leaveNotice
	servers      map[string]Server
	observedByID map[string]*observations
	// removedSoftware holds when the last server of a service with a software version was
	// removed, by service and version.
	removedSoftware map[string]map[string]elapsed.Mark
	// lastPruned is when notices was last pruned.
	lastPruned time.Time
}

// Set adds or replaces a server. If its start time has changed, the observations and the
// leave notice of the earlier start are discarded.
func (v *Inventory) Set(s Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.servers == nil {
		v.servers = make(map[string]Server)
	}
	before, known := v.servers[s.ID]
	if known && before.Started != s.Started {
		delete(v.observedByID, s.ID)
	}
	if notice, ok := v.notices[s.ID]; ok && notice.started != s.Started {
		delete(v.notices, s.ID)
		if notice.started == unknownStart {
			v.notices[s.ID] = leaveNotice{receivedAt: notice.receivedAt, started: s.Started}
		}
	}
	if seen := v.observedByID[s.ID]; seen != nil {
		seen.versions = nil
	}
	if known && (before.Software != s.Software || before.Service != s.Service) {
		v.recordRemovedSoftware(before)
	}
	if before.Service != s.Service {
		v.removeFromService(before)
		v.addToService(s)
	}
	v.servers[s.ID] = s
	v.notify()
}

// Remove deletes a server. Observations of it are kept until its requests in flight have
// finished.
func (v *Inventory) Remove(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, known := v.servers[id]; known {
		v.recordRemovedSoftware(s)
	}
	v.removeFromService(v.servers[id])
	delete(v.servers, id)
	if seen := v.observedByID[id]; seen != nil && seen.inFlight == 0 {
		delete(v.observedByID, id)
	}
	v.notify()
}

// addToService adds the id of a server to those of its service. v.mu is held.
func (v *Inventory) addToService(s Server) {
	if v.byService == nil {
		v.byService = make(map[string][]string)
	}
	ids := v.byService[s.Service]
	if at, found := slices.BinarySearch(ids, s.ID); !found {
		v.byService[s.Service] = slices.Insert(ids, at, s.ID)
	}
}

// removeFromService removes the id of a server from those of its service. v.mu is held.
func (v *Inventory) removeFromService(s Server) {
	ids := v.byService[s.Service]
	if at, found := slices.BinarySearch(ids, s.ID); found {
		v.byService[s.Service] = slices.Delete(ids, at, at+1)
	}
}

// Get returns the server with the id and whether it is known.
func (v *Inventory) Get(id string) (Server, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.servers[id]
	return s, ok
}

// All returns all servers, in no particular order.
func (v *Inventory) All() []Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.servers))
}

// Changed returns a channel that is closed when a server is next set, removed, marked as
// leaving or backed off after a failure, or when a request next finishes.
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

// MarkLeaving records that a server has announced that it is leaving. started is the start
// time to which the notice applies; zero means that of the server's current entry.
// MarkLeaving returns false if the server was already marked or has restarted since.
func (v *Inventory) MarkLeaving(id string, started int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, known := v.servers[id]
	switch {
	case started == 0 && known:
		started = s.Started
	case started == 0:
		started = unknownStart
	case known && started != s.Started:
		return false // The server has restarted since.
	}
	if _, ok := v.notices[id]; ok {
		return false
	}
	v.pruneNotices()
	if v.notices == nil {
		v.notices = make(map[string]leaveNotice)
	}
	v.notices[id] = leaveNotice{receivedAt: elapsed.Now(v.Now), started: started}
	v.notify()
	return true
}

// Leaving returns the listed servers of a service that have announced that they are leaving.
func (v *Inventory) Leaving(service string) []Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	var leaving []Server
	for _, id := range v.byService[service] {
		if _, ok := v.notices[id]; ok {
			leaving = append(leaving, v.servers[id])
		}
	}
	return leaving
}

// pruneNotices makes room for one notice. It deletes expired notices and, if there are
// still too many, the oldest one. While there is room, it runs at most once per
// leaveNoticeRetention. v.mu is held.
func (v *Inventory) pruneNotices() {
	if len(v.notices) < maxLeaveNotices && v.now().Sub(v.lastPruned) < leaveNoticeRetention {
		return
	}
	v.lastPruned = v.now()
	oldest, maxAge := "", time.Duration(-1)
	for id, notice := range v.notices {
		age := notice.receivedAt.Since(v.Now)
		if _, known := v.servers[id]; !known && age > leaveNoticeRetention {
			delete(v.notices, id)
			continue
		}
		if age > maxAge {
			oldest, maxAge = id, age
		}
	}
	if len(v.notices) >= maxLeaveNotices {
		delete(v.notices, oldest)
	}
}

// CheckAvailable returns an error if a server takes no new work. It is called right
// before a request is sent, because the server may have begun to leave after it was
// chosen, while the request waited for a connection or the host was paused.
func (v *Inventory) CheckAvailable(id string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, known := v.servers[id]; known && slices.Contains(v.available(s.Service), id) {
		return nil
	}
	return kind.New(kind.Unavailable, "backend server %q is leaving or was removed", id).WithRan(kind.RanNo)
}

// available returns the ids of the servers of a service that take new work. These are the
// servers that are neither draining nor leaving. If there are none, the leaving servers
// that aren't draining take the work, each until the drain bound has passed since its
// notice. v.mu is held.
func (v *Inventory) available(service string) []string {
	ids := v.byService[service]
	accepting := make([]string, 0, len(ids))
	var leaving []string
	for _, id := range ids {
		if v.servers[id].Draining {
			continue
		}
		notice, isLeaving := v.notices[id]
		switch {
		case !isLeaving:
			accepting = append(accepting, id)
		case notice.receivedAt.Since(v.Now) < v.drainBound():
			leaving = append(leaving, id)
		}
	}
	if len(accepting) == 0 {
		return leaving
	}
	return accepting
}

func (v *Inventory) drainBound() time.Duration {
	if v.DrainBound > 0 {
		return v.DrainBound
	}
	return defaultDrainBound
}

// Candidates returns the servers of a service that take new work, sorted by id.
func (v *Inventory) Candidates(service string) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	ids := v.available(service)
	candidates := make([]Candidate, 0, len(ids))
	for _, id := range ids {
		s := v.servers[id]
		c := Candidate{Server: s, ReportedRequests: -1}
		if seen := v.observedByID[id]; seen != nil {
			c.InFlight, c.EventInterval, c.BackingOff = seen.inFlight, seen.eventInterval, now.Before(seen.backoffUntil)
			c.RequestsBackingOff = now.Before(seen.requestBackoffUntil)
			c.KVTokens, c.RequestLimit = seen.kvTokens, seen.limit.RequestLimit
			if now.Sub(seen.reportedAt) < maxReportAge {
				c.ReportedRequests = seen.reportedRequests
			}
			if len(seen.versions) > 0 {
				c.Versions = maps.Clone(s.Versions)
				if c.Versions == nil {
					c.Versions = make(map[string]int64)
				}
				maps.Copy(c.Versions, seen.versions)
			}
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// RequestStarted adds a request to those in flight at a server.
func (v *Inventory) RequestStarted(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed(id).inFlight++
}

// RequestFinished removes a request that RequestStarted has added from those in flight.
func (v *Inventory) RequestFinished(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.observed(id)
	seen.inFlight--
	if _, known := v.servers[id]; !known && seen.inFlight <= 0 {
		delete(v.observedByID, id)
	}
	v.notify()
}

// RecordAnswer records a valid answer, which ends the back-off of the server. If requests
// isn't negative, it is the number of requests that the server reported.
func (v *Inventory) RecordAnswer(id string, requests int) {
	v.RecordLoad(id, requests)
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.observed(id)
	seen.answeredAt, seen.failures, seen.backoffUntil = v.now(), 0, time.Time{}
	seen.requestFailures, seen.requestBackoffUntil = 0, time.Time{}
}

// RecordLoad records the number of requests that the server reported. A negative number means
// that it reported none.
func (v *Inventory) RecordLoad(id string, requests int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if seen := v.observed(id); requests >= 0 {
		seen.reportedRequests, seen.reportedAt = requests, v.now()
	}
}

// RecordMemory records the number of tokens that the server's memory holds, as the server
// reported it.
func (v *Inventory) RecordMemory(id string, tokens int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed(id).kvTokens = tokens
}

// LargestMemory returns the number of tokens that the largest memory of the service's servers
// that take new work holds, or zero if it isn't known. told is the number for servers that have
// reported none; zero if it isn't known.
func (v *Inventory) LargestMemory(service string, told int) int {
	largest := 0
	for _, c := range v.Candidates(service) {
		tokens := c.KVTokens
		if tokens == 0 {
			tokens = told
		}
		if tokens == 0 {
			return 0
		}
		largest = max(largest, tokens)
	}
	return largest
}

// BackingOffShare returns the share of the service's servers that are backing off.
func (v *Inventory) BackingOffShare(service string) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids, now, backingOff := v.byService[service], v.now(), 0
	for _, id := range ids {
		if seen := v.observedByID[id]; seen != nil && now.Before(seen.backoffUntil) {
			backingOff++
		}
	}
	return float64(backingOff) / float64(max(len(ids), 1))
}

// AnsweredSince reports whether the server has answered or generated an event after t.
func (v *Inventory) AnsweredSince(id string, t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.observedByID[id]
	return seen != nil && seen.answeredAt.After(t)
}

// RecordFailure records a failure that was caused by the server and not by the request. It
// returns the length of the back-off that begins now.
func (v *Inventory) RecordFailure(id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.observed(id)
	backoff := backoffAfter(seen.failures)
	seen.failures++
	seen.backoffUntil = v.now().Add(backoff)
	v.notify()
	return backoff
}

// RecordRequestFailure records a failure of a single request that the server or the request may
// have caused. The back-off that begins is for single requests only.
func (v *Inventory) RecordRequestFailure(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.observed(id)
	seen.requestBackoffUntil = v.now().Add(backoffAfter(seen.requestFailures))
	seen.requestFailures++
}

// backoffAfter returns the length of the back-off after a failure that follows the given number
// of failures in a row.
func backoffAfter(failures int) time.Duration {
	return min(initialBackoff<<min(failures, 8), maxBackoff)
}

// BackOff backs a server off for wait after it refused a request because it is overloaded.
// This does not count as a failure.
func (v *Inventory) BackOff(id string, wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.observed(id)
	seen.backoffUntil = v.now().Add(wait)
}

// BackOffRequests is BackOff for single requests only: the server may have refused a request for
// what it asks.
func (v *Inventory) BackOffRequests(id string, wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed(id).requestBackoffUntil = v.now().Add(wait)
}

// eventIntervalWeight is the weight of a new sample in the moving average of event
// intervals.
const eventIntervalWeight = 0.2

// RecordEventInterval records the time between two events of a server's stream.
func (v *Inventory) RecordEventInterval(id string, interval time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.observed(id)
	seen.answeredAt = v.now()
	if seen.eventInterval == 0 {
		seen.eventInterval = interval
		return
	}
	seen.eventInterval += time.Duration(eventIntervalWeight * float64(interval-seen.eventInterval))
}

// RecordVersion records the weight version of a model that a server's answer carried.
func (v *Inventory) RecordVersion(id, model string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.observed(id)
	if seen.versions == nil {
		if v.servers[id].Versions[model] == version {
			return // The entry has the same version.
		}
		seen.versions = make(map[string]int64)
	}
	if seen.versions[model] != version {
		seen.versions[model] = version
		v.notify()
	}
}

func (v *Inventory) observed(id string) *observations {
	if v.observedByID == nil {
		v.observedByID = make(map[string]*observations)
	}
	seen, ok := v.observedByID[id]
	if !ok {
		seen = &observations{}
		v.observedByID[id] = seen
	}
	return seen
}

func (v *Inventory) now() time.Time {
	if v.Now != nil {
		return v.Now()
	}
	return time.Now()
}
