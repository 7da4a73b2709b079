package inventory_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
)

const ms = time.Millisecond

// fakeClock is a clock that a test advances.
type fakeClock struct{ now time.Time }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newInventory(servers ...inventory.Server) (*inventory.Inventory, *fakeClock) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	v := &inventory.Inventory{Now: func() time.Time { return c.now }}
	for _, s := range servers {
		v.Set(s)
	}
	return v, c
}

func candidateIDs(candidates []inventory.Candidate) []string {
	var list []string
	for _, c := range candidates {
		list = append(list, c.ID)
	}
	return list
}

func TestCandidatesExcludeDrainingServers(t *testing.T) {
	is := is.New(t)
	v, _ := newInventory(
		inventory.Server{ID: "b", Service: "s"}, inventory.Server{ID: "a", Service: "s"},
		inventory.Server{ID: "leaving", Service: "s", Draining: true}, inventory.Server{ID: "other", Service: "o"},
	)
	is.Equal(candidateIDs(v.Candidates("s")), []string{"a", "b"})
	v.Remove("a")
	is.Equal(candidateIDs(v.Candidates("s")), []string{"b"})
	_, known := v.Get("leaving")
	is.True(known) // it still finishes its requests
}

func TestFailuresCauseBackoff(t *testing.T) {
	is := is.New(t)
	v, c := newInventory(inventory.Server{ID: "a", Service: "s"})
	backingOff := func() bool { return v.Candidates("s")[0].BackingOff }
	is.Equal(v.RecordFailure("a"), 500*ms)
	is.True(backingOff())
	c.advance(500 * ms)
	is.True(!backingOff())
	is.Equal(v.RecordFailure("a"), time.Second) // doubles with each consecutive failure
	is.Equal(v.RecordFailure("a"), 2*time.Second)
	is.Equal(v.RecordFailure("a"), 4*time.Second)
	is.Equal(v.RecordFailure("a"), 4*time.Second) // capped
	v.RecordAnswer("a", -1)
	is.True(!backingOff()) // a valid answer ends it
	is.Equal(v.RecordFailure("a"), 500*ms)
	v.RecordAnswer("a", -1)
	v.BackOff("a", 150*ms)
	is.True(backingOff())
	c.advance(150 * ms)
	is.True(!backingOff())
}

func TestReportedLoadExpires(t *testing.T) {
	is := is.New(t)
	v, c := newInventory(inventory.Server{ID: "a", Service: "s"})
	v.RequestStarted("a")
	v.RequestStarted("a")
	v.RequestFinished("a")
	is.Equal(v.Candidates("s")[0].InFlight, 1)
	is.Equal(v.Candidates("s")[0].ReportedRequests, -1) // no report yet
	v.RecordAnswer("a", 5)
	is.Equal(v.Candidates("s")[0].ReportedRequests, 5)
	c.advance(time.Second)
	is.Equal(v.Candidates("s")[0].ReportedRequests, -1) // too old
	v.RecordEventInterval("a", 40*ms)
	v.RecordEventInterval("a", 90*ms)
	is.Equal(v.Candidates("s")[0].EventInterval, 50*ms) // moves by a fifth of the difference
}

func TestRecordedVersionOverridesOlderEntry(t *testing.T) {
	is := is.New(t)
	entry := inventory.Server{ID: "a", Service: "s", Versions: map[string]int64{"m": 2, "n": 1}}
	v, _ := newInventory(entry)
	v.RecordVersion("a", "m", 3)
	is.Equal(v.Candidates("s")[0].Versions, map[string]int64{"m": 3, "n": 1})
	is.Equal(entry.Versions["m"], int64(2)) // the entry is unchanged
	entry.Versions = map[string]int64{"m": 4, "n": 1}
	v.Set(entry)
	is.Equal(v.Candidates("s")[0].Versions["m"], int64(4)) // a new entry replaces recorded versions
}

// TestRestartUnderSameIDDiscardsObservations sets the same id with a later start time.
// Failures, intervals and versions of the earlier start must not carry over.
func TestRestartUnderSameIDDiscardsObservations(t *testing.T) {
	is := is.New(t)
	v, _ := newInventory(inventory.Server{ID: "a", Service: "s", Started: 1})
	v.RecordFailure("a")
	v.RecordEventInterval("a", 40*ms)
	v.RecordVersion("a", "m", 3)
	v.Set(inventory.Server{ID: "a", Service: "s", Started: 2})
	c := v.Candidates("s")[0]
	is.True(!c.BackingOff)
	is.Equal(c.EventInterval, time.Duration(0))
	is.Equal(len(c.Versions), 0)
}

func TestChangedSignalsEachChange(t *testing.T) {
	is := is.New(t)
	v, _ := newInventory(inventory.Server{ID: "a", Service: "s"})
	signals := func(change func()) bool {
		changed := v.Changed()
		change()
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	is.True(signals(func() { v.Set(inventory.Server{ID: "b", Service: "s"}) }))
	is.True(signals(func() { v.Remove("b") }))
	v.RequestStarted("a")
	is.True(signals(func() { v.RequestFinished("a") })) // a slot is free
	is.True(!signals(func() { v.RecordAnswer("a", 1) }))
}

// BenchmarkCandidates lists the few servers of a plain service among thousands of engines,
// as each single request does.
func BenchmarkCandidates(b *testing.B) {
	v := &inventory.Inventory{}
	for i := range 2200 {
		v.Set(inventory.Server{ID: fmt.Sprintf("e%04d", i), Service: "engines", Slots: 8, Versions: map[string]int64{"m": 1}})
	}
	for i := range 5 {
		v.Set(inventory.Server{ID: fmt.Sprintf("p%d", i), Service: "plain", Slots: 6})
	}
	for b.Loop() {
		v.Candidates("plain")
	}
}

// TestServerMovesToAnotherService moves a server to another service, as happens when its
// address and id are reused, and then removes it.
func TestServerMovesToAnotherService(t *testing.T) {
	is := is.New(t)
	v := &inventory.Inventory{}
	ids := func(service string) (list []string) {
		for _, c := range v.Candidates(service) {
			list = append(list, c.ID)
		}
		return list
	}
	for _, id := range []string{"b", "a", "c"} {
		v.Set(inventory.Server{ID: id, Service: "s"})
	}
	is.Equal(ids("s"), []string{"a", "b", "c"})
	v.Set(inventory.Server{ID: "b", Service: "other"})
	is.Equal(ids("s"), []string{"a", "c"})
	is.Equal(ids("other"), []string{"b"})
	v.Remove("b")
	v.Remove("unknown")
	is.Equal(len(ids("other")), 0)
}

// TestLeaveNotices marks servers as leaving whose platform entries don't say so.
func TestLeaveNotices(t *testing.T) {
	is := is.New(t)
	v, c := newInventory(inventory.Server{ID: "a", Service: "s", Started: 1}, inventory.Server{ID: "b", Service: "s", Started: 1})
	v.DrainBound = 3 * time.Second
	is.True(v.MarkLeaving("a", 0))
	is.True(!v.MarkLeaving("a", 0)) // already known
	is.Equal(candidateIDs(v.Candidates("s")), []string{"b"})
	is.True(v.CheckAvailable("a") != nil)
	v.Remove("a")
	v.Set(inventory.Server{ID: "a", Service: "s", Started: 1})
	is.Equal(candidateIDs(v.Candidates("s")), []string{"b"}) // the notice survives the expiry of the entry
	is.True(v.MarkLeaving("b", 1))
	is.Equal(candidateIDs(v.Candidates("s")), []string{"a", "b"}) // all leave, so the work must still go to one of them until the drain bound
	c.advance(3 * time.Second)
	is.Equal(len(v.Candidates("s")), 0)
	is.True(v.CheckAvailable("b") != nil)
	v.Set(inventory.Server{ID: "b", Service: "s", Started: 2})
	is.Equal(candidateIDs(v.Candidates("s")), []string{"b"}) // a restart voids the notice
	is.True(!v.MarkLeaving("b", 1))                          // notice of an earlier start
	is.NoErr(v.CheckAvailable("b"))
}

// TestLeaveNoticesAreBounded marks many more servers as leaving than notices are kept. The
// notice of a listed server must outlive those of servers that are gone.
func TestLeaveNoticesAreBounded(t *testing.T) {
	is := is.New(t)
	v, c := newInventory(inventory.Server{ID: "a", Service: "s", Started: 1}, inventory.Server{ID: "b", Service: "s", Started: 1})
	v.MarkLeaving("a", 0)
	c.advance(2 * time.Second)
	for n := range 4095 {
		v.MarkLeaving(strconv.Itoa(n), 1)
	}
	is.Equal(candidateIDs(v.Candidates("s")), []string{"b"})
	c.advance(2 * time.Minute)
	v.MarkLeaving("gone", 1)
	is.Equal(candidateIDs(v.Candidates("s")), []string{"b"}) // notices of removed servers are deleted first
}

func TestLimitOfUnlistedServerIsNotKept(t *testing.T) {
	is := is.New(t)
	v := &inventory.Inventory{}
	limit := inventory.RequestLimit{Named: true, PerSecond: 2}
	_, changed := v.RecordRequestLimit("s", limit, time.Now())
	is.True(!changed)
	v.Set(inventory.Server{ID: "s", Started: 1})
	kept, _ := v.RequestLimitOf("s")
	is.Equal(kept, inventory.RequestLimit{})
	_, changed = v.RecordRequestLimit("s", limit, time.Now())
	is.True(changed)
	v.Set(inventory.Server{ID: "s", Started: 2}) // the server started again
	kept, _ = v.RequestLimitOf("s")
	is.Equal(kept, inventory.RequestLimit{})
}
