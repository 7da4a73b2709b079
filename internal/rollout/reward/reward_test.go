package reward_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/rollout/reward"
)

var (
	epoch  = time.Unix(1000, 0)
	scored = reward.Answer{Ran: kind.RanYes, Stamp: "stamp", Status: http.StatusOK}
	failed = reward.Answer{Ran: kind.RanYes, Stamp: "stamp", Status: http.StatusInternalServerError}
	broken = reward.Answer{Err: errors.New("reset"), Ran: kind.RanUnknown}
	full   = reward.Answer{Ran: kind.RanNo, Status: http.StatusServiceUnavailable}
)

func newQueue() *reward.Queue[string] {
	return &reward.Queue[string]{Choose: forward.Chooser{Self: "h", Zone: "z"}.Choose}
}

func servers(n int) []inventory.Candidate {
	var list []inventory.Candidate
	for i := range n {
		list = append(list, inventory.Candidate{
			Reported: -1, Server: inventory.Server{ID: fmt.Sprintf("s%d", i), Service: "s", Slots: 6, Zone: "z"},
		})
	}
	return list
}

func target(string) (reward.Target, bool) {
	return reward.Target{Attempts: 3, Objective: 150 * time.Millisecond, Service: "s"}, true
}

func fixed(list []inventory.Candidate) func(string) []inventory.Candidate {
	return func(string) []inventory.Candidate { return slices.Clone(list) }
}

func add(q *reward.Queue[string], name string) {
	q.Add(&reward.Call[string]{Complete: epoch, Left: func() int { return 1 }, Of: name})
}

// TestVerdicts is the table of what the answers to one call mean, in turn.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		answers []reward.Answer
		want    reward.Verdict
	}{
		"scored":                        {[]reward.Answer{scored}, reward.VerdictScored},
		"reset, then scored":            {[]reward.Answer{broken, scored}, reward.VerdictScored},
		"two failures":                  {[]reward.Answer{failed, failed}, reward.VerdictAgain},
		"as many failures as allowed":   {[]reward.Answer{failed, failed, failed}, reward.VerdictDead},
		"other troubles are no failure": {[]reward.Answer{broken, full, broken, full, broken}, reward.VerdictAgain},
		"a 2xx without signature":       {[]reward.Answer{{Ran: kind.RanYes, Status: http.StatusOK}}, reward.VerdictAgain},
		"not found":                     {[]reward.Answer{{Ran: kind.RanYes, Stamp: "x", Status: http.StatusNotFound}}, reward.VerdictAgain},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue()
			add(q, "a")
			now := epoch
			var verdict reward.Verdict
			for _, answer := range c.answers {
				now = now.Add(time.Minute)
				starts := q.Next(now, target, fixed(servers(4)))
				is.Equal(len(starts), 1)
				verdict = q.Ended(starts[0], answer, now)
			}
			is.Equal(verdict, c.want)
			is.Equal(q.Len() == 0, c.want != reward.VerdictAgain)
		})
	}
}

func TestASlowServerIsHedged(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	add(q, "a")
	first := q.Next(epoch, target, fixed(servers(4)))
	is.Equal(len(first), 1)
	is.Equal(len(q.Next(epoch.Add(100*time.Millisecond), target, fixed(servers(4)))), 0) // it may still answer in time
	second := q.Next(epoch.Add(160*time.Millisecond), target, fixed(servers(4)))
	is.Equal(len(second), 1)
	is.True(second[0].Server.ID != first[0].Server.ID)
	is.Equal(len(q.Next(epoch.Add(time.Minute), target, fixed(servers(4)))), 0) // never three at a time
	is.Equal(q.Ended(second[0], scored, epoch.Add(200*time.Millisecond)), reward.VerdictScored)
}

// TestASecondCallToAServerIsTold lets the only server fail the call once: a late
// second copy of its first answer would otherwise pass for the next one.
func TestASecondCallToAServerIsTold(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	add(q, "a")
	first := q.Next(epoch, target, fixed(servers(1)))
	is.True(!first[0].Again)
	q.Ended(first[0], broken, epoch)
	second := q.Next(epoch.Add(time.Second), target, fixed(servers(1)))
	is.True(second[0].Again)
}

func TestACallWaitsForItsRoute(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	add(q, "a")
	none := func(string) (reward.Target, bool) { return reward.Target{}, false }
	is.Equal(len(q.Next(epoch, none, fixed(servers(4)))), 0)
	is.Equal(len(q.Next(epoch, target, fixed(servers(4)))), 1)
}

func TestSuspectsOnlyIfAllAre(t *testing.T) {
	is := is.New(t)
	list := servers(2)
	list[0].Suspect = true
	for range 4 {
		q := newQueue()
		add(q, "a")
		is.Equal(q.Next(epoch, target, fixed(list))[0].Server.ID, "s1")
	}
	list[1].Suspect = true
	q := newQueue()
	add(q, "a")
	is.Equal(len(q.Next(epoch, target, fixed(list))), 1)
}

// TestPeopleKeepTheirSlots has a burst of rewards at servers that tell what they have.
func TestPeopleKeepTheirSlots(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for n := range 200 {
		add(q, strconv.Itoa(n))
	}
	list := servers(3)
	list[0].Reported, list[1].Reported = 3, 2
	counts := map[string]int{}
	for _, start := range q.Next(epoch, target, fixed(list)) {
		counts[start.Server.ID]++
	}
	is.Equal(counts, map[string]int{"s1": 1, "s2": 2}) // half of six slots, and a third for one host
}

// burst plays the ends of one step: 12 groups of 8 items end at the same moment, at
// four servers of which one is five times slower. It returns when each group had all
// its rewards.
func burst(t *testing.T, rank func(group, left int) int) []time.Duration {
	t.Helper()
	const groups, size, work = 12, 8, 30 * time.Millisecond
	left := make([]int, groups)
	q := newQueue()
	for i := range groups * size {
		group := i % groups
		left[group]++
		q.Add(&reward.Call[string]{Complete: epoch, Left: func() int { return rank(group, left[group]) }, Of: strconv.Itoa(group)})
	}
	type running struct {
		start reward.Start[string]
		ends  time.Time
	}
	var tries []running
	whole := make([]time.Duration, groups)
	list := servers(4)
	for now := epoch; q.Len() > 0; now = now.Add(time.Millisecond) {
		if now.Sub(epoch) > time.Minute {
			t.Fatal("rewards are missing after a minute")
		}
		kept := tries[:0]
		for _, try := range tries {
			if now.Before(try.ends) {
				kept = append(kept, try)
				continue
			}
			for i := range list {
				if list[i].ID == try.start.Server.ID {
					list[i].InFlight--
				}
			}
			var group int
			_, _ = fmt.Sscan(try.start.Call.Of, &group)
			before := q.Len()
			if q.Ended(try.start, scored, now) == reward.VerdictScored && q.Len() < before {
				if left[group]--; left[group] == 0 {
					whole[group] = now.Sub(epoch)
				}
			}
		}
		tries = kept
		for _, start := range q.Next(now, target, fixed(list)) {
			for i := range list {
				if list[i].ID == start.Server.ID {
					list[i].InFlight++
				}
			}
			took := work
			if start.Server.ID == "s0" {
				took *= 5
			}
			tries = append(tries, running{start: start, ends: now.Add(took)})
		}
	}
	return whole
}

// TestGroupsNearestToWholeGoFirst compares the order with the plain one by arrival:
// trainers go on once nine of ten groups are whole, and each group that is whole
// earlier can be read earlier.
func TestGroupsNearestToWholeGoFirst(t *testing.T) {
	is := is.New(t)
	mean := func(whole []time.Duration) time.Duration {
		var sum time.Duration
		for _, w := range whole {
			sum += w
		}
		return sum / time.Duration(len(whole))
	}
	nearest := mean(burst(t, func(_, left int) int { return left }))
	arrival := mean(burst(t, func(int, int) int { return 0 }))
	t.Logf("groups whole after %s on average, %s by arrival", nearest, arrival)
	is.True(4*nearest < 3*arrival)
}
