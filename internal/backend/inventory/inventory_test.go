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

// clock is a time that a test sets.
type clock struct{ now time.Time }

func (c *clock) after(d time.Duration) { c.now = c.now.Add(d) }

func newInventory(servers ...inventory.Server) (*inventory.Inventory, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	v := &inventory.Inventory{Now: func() time.Time { return c.now }}
	for _, s := range servers {
		v.Set(s)
	}
	return v, c
}

func ids(candidates []inventory.Candidate) []string {
	var list []string
	for _, c := range candidates {
		list = append(list, c.ID)
	}
	return list
}

func TestCandidatesTakeNewWork(t *testing.T) {
	is := is.New(t)
	v, _ := newInventory(
		inventory.Server{ID: "b", Service: "s"}, inventory.Server{ID: "a", Service: "s"},
		inventory.Server{ID: "leaving", Service: "s", Draining: true}, inventory.Server{ID: "other", Service: "o"},
	)
	is.Equal(ids(v.Candidates("s")), []string{"a", "b"})
	v.Remove("a")
	is.Equal(ids(v.Candidates("s")), []string{"b"})
	_, known := v.Get("leaving")
	is.True(known) // it still finishes what it has
}

func TestFailuresMakeSuspect(t *testing.T) {
	is := is.New(t)
	v, c := newInventory(inventory.Server{ID: "a", Service: "s"})
	suspect := func() bool { return v.Candidates("s")[0].Suspect }
	is.Equal(v.Failed("a"), 500*ms)
	is.True(suspect())
	c.after(500 * ms)
	is.True(!suspect())
	is.Equal(v.Failed("a"), time.Second) // twice as long with each in a row
	is.Equal(v.Failed("a"), 2*time.Second)
	is.Equal(v.Failed("a"), 4*time.Second)
	is.Equal(v.Failed("a"), 4*time.Second) // but never longer
	v.Answered("a", -1)
	is.True(!suspect()) // a sound answer ends it
	is.Equal(v.Failed("a"), 500*ms)
	v.Answered("a", -1)
	v.Full("a", 150*ms)
	is.True(suspect())
	c.after(150 * ms)
	is.True(!suspect())
}

func TestLoadIsCountedAndAges(t *testing.T) {
	is := is.New(t)
	v, c := newInventory(inventory.Server{ID: "a", Service: "s"})
	v.Started("a")
	v.Started("a")
	v.Finished("a")
	is.Equal(v.Candidates("s")[0].InFlight, 1)
	is.Equal(v.Candidates("s")[0].Reported, -1) // nothing was told
	v.Answered("a", 5)
	is.Equal(v.Candidates("s")[0].Reported, 5)
	c.after(time.Second)
	is.Equal(v.Candidates("s")[0].Reported, -1) // too old
	v.Paced("a", 40*ms)
	v.Paced("a", 90*ms)
	is.Equal(v.Candidates("s")[0].Pace, 50*ms) // a fifth of the way
}

func TestVersionsSeenAreNewerThanTheEntry(t *testing.T) {
	is := is.New(t)
	entry := inventory.Server{ID: "a", Service: "s", Versions: map[string]int64{"m": 2, "n": 1}}
	v, _ := newInventory(entry)
	v.SawVersion("a", "m", 3)
	is.Equal(v.Candidates("s")[0].Versions, map[string]int64{"m": 3, "n": 1})
	is.Equal(entry.Versions["m"], int64(2)) // the entry is left as it is
	entry.Versions = map[string]int64{"m": 4, "n": 1}
	v.Set(entry)
	is.Equal(v.Candidates("s")[0].Versions["m"], int64(4)) // its own word counts again
}

// TestRestartUnderTheSameID forgets what was seen of the earlier start.
func TestRestartUnderTheSameID(t *testing.T) {
	is := is.New(t)
	v, _ := newInventory(inventory.Server{ID: "a", Service: "s", Started: 1})
	v.Failed("a")
	v.Paced("a", 40*ms)
	v.SawVersion("a", "m", 3)
	v.Set(inventory.Server{ID: "a", Service: "s", Started: 2})
	c := v.Candidates("s")[0]
	is.True(!c.Suspect)
	is.Equal(c.Pace, time.Duration(0))
	is.Equal(len(c.Versions), 0)
}

func TestChangedTellsOfEachChange(t *testing.T) {
	is := is.New(t)
	v, _ := newInventory(inventory.Server{ID: "a", Service: "s"})
	told := func(change func()) bool {
		changed := v.Changed()
		change()
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	is.True(told(func() { v.Set(inventory.Server{ID: "b", Service: "s"}) }))
	is.True(told(func() { v.Remove("b") }))
	v.Started("a")
	is.True(told(func() { v.Finished("a") })) // a slot is free
	is.True(!told(func() { v.Answered("a", 1) }))
}

// BenchmarkCandidates looks for a plain server among thousands of engines, as each
// single request does.
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

// TestServersChangeTheirService sets a server to another service, as when its address
// and id come back elsewhere, and removes it.
func TestServersChangeTheirService(t *testing.T) {
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

// TestNotices has servers that say themselves that they leave.
func TestNotices(t *testing.T) {
	is := is.New(t)
	v, c := newInventory(inventory.Server{ID: "a", Service: "s", Started: 1}, inventory.Server{ID: "b", Service: "s", Started: 1})
	v.DrainBound = 3 * time.Second
	is.True(v.Leaves("a", 0))
	is.True(!v.Leaves("a", 0)) // no news
	is.Equal(ids(v.Candidates("s")), []string{"b"})
	is.True(v.Check("a") != nil)
	v.Remove("a")
	v.Set(inventory.Server{ID: "a", Service: "s", Started: 1})
	is.Equal(ids(v.Candidates("s")), []string{"b"}) // its entry lapsed and is back
	is.True(v.Leaves("b", 1))
	is.Equal(ids(v.Candidates("s")), []string{"a", "b"}) // all leave, and someone has to
	c.after(3 * time.Second)
	is.Equal(len(v.Candidates("s")), 0)
	is.True(v.Check("b") != nil)
	v.Set(inventory.Server{ID: "b", Service: "s", Started: 2})
	is.Equal(ids(v.Candidates("s")), []string{"b"}) // it has started again
	is.True(!v.Leaves("b", 1))                      // old news
	is.NoErr(v.Check("b"))
}

// TestNoticesAreBounded hears of far more servers than are kept.
func TestNoticesAreBounded(t *testing.T) {
	is := is.New(t)
	v, c := newInventory(inventory.Server{ID: "a", Service: "s", Started: 1}, inventory.Server{ID: "b", Service: "s", Started: 1})
	v.Leaves("a", 0)
	c.after(2 * time.Second)
	for n := range 4095 {
		v.Leaves(strconv.Itoa(n), 1)
	}
	is.Equal(ids(v.Candidates("s")), []string{"b"})
	c.after(2 * time.Minute)
	v.Leaves("gone", 1)
	is.Equal(ids(v.Candidates("s")), []string{"b"}) // those whose entries are gone went first
}
