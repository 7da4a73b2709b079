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
	epoch     = time.Unix(1000, 0)
	scored    = reward.Answer{Ran: kind.RanYes, Signature: "stamp", Status: http.StatusOK}
	failed    = reward.Answer{Ran: kind.RanYes, Signature: "stamp", Status: http.StatusInternalServerError}
	connReset = reward.Answer{Err: errors.New("connection reset"), Ran: kind.RanUnknown}
	full      = reward.Answer{Ran: kind.RanNo, Status: http.StatusServiceUnavailable}
)

func newQueue() *reward.Queue[string] {
	return &reward.Queue[string]{Choose: forward.Chooser{Self: "h", Zone: "z"}.Choose}
}

func servers(n int) []inventory.Candidate {
	var list []inventory.Candidate
	for i := range n {
		list = append(list, inventory.Candidate{
			ReportedRequests: -1, Server: inventory.Server{ID: fmt.Sprintf("s%d", i), Service: "s", Slots: 6, Zone: "z"},
		})
	}
	return list
}

func target(string) (reward.Target, bool) {
	return reward.Target{MaxFailures: 3, LatencySLO: 150 * time.Millisecond, Service: "s"}, true
}

func staticCandidates(list []inventory.Candidate) func(string) []inventory.Candidate {
	return func(string) []inventory.Candidate { return slices.Clone(list) }
}

func add(q *reward.Queue[string], name string) {
	q.Add(&reward.Call[string]{CompletedAt: epoch, Unfinished: func() int { return 1 }, Data: name})
}

// TestVerdicts checks the verdict after a sequence of answers to one call.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		answers []reward.Answer
		want    reward.Verdict
	}{
		"scored":                         {[]reward.Answer{scored}, reward.VerdictScored},
		"reset, then scored":             {[]reward.Answer{connReset, scored}, reward.VerdictScored},
		"two failed runs":                {[]reward.Answer{failed, failed}, reward.VerdictRetry},
		"as many failed runs as allowed": {[]reward.Answer{failed, failed, failed}, reward.VerdictFailed},
		"other errors don't count":       {[]reward.Answer{connReset, full, connReset, full, connReset}, reward.VerdictRetry},
		"a 2xx without signature":        {[]reward.Answer{{Ran: kind.RanYes, Status: http.StatusOK}}, reward.VerdictRetry},
		"not found":                      {[]reward.Answer{{Ran: kind.RanYes, Signature: "x", Status: http.StatusNotFound}}, reward.VerdictRetry},
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
				attempts := q.Next(now, target, staticCandidates(servers(4)))
				is.Equal(len(attempts), 1)
				verdict = q.Finish(attempts[0], answer, now)
			}
			is.Equal(verdict, c.want)
			is.Equal(q.Len() == 0, c.want != reward.VerdictRetry)
		})
	}
}

func TestSlowServerIsHedged(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	add(q, "a")
	first := q.Next(epoch, target, staticCandidates(servers(4)))
	is.Equal(len(first), 1)
	is.Equal(len(q.Next(epoch.Add(100*time.Millisecond), target, staticCandidates(servers(4)))), 0) // the latency objective isn't exceeded yet
	second := q.Next(epoch.Add(160*time.Millisecond), target, staticCandidates(servers(4)))
	is.Equal(len(second), 1)
	is.True(second[0].Server.ID != first[0].Server.ID)
	is.Equal(len(q.Next(epoch.Add(time.Minute), target, staticCandidates(servers(4)))), 0) // at most two attempts at a time
	is.Equal(q.Finish(second[0], scored, epoch.Add(200*time.Millisecond)), reward.VerdictScored)
}

// TestSecondAttemptAtServerIsMarkedAsRepeat lets the first attempt fail at the
// only server. If the second attempt were not marked as a repeat, a late
// duplicate of the first answer would be taken for the second one.
func TestSecondAttemptAtServerIsMarkedAsRepeat(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	add(q, "a")
	first := q.Next(epoch, target, staticCandidates(servers(1)))
	is.True(!first[0].Repeat)
	q.Finish(first[0], connReset, epoch)
	second := q.Next(epoch.Add(time.Second), target, staticCandidates(servers(1)))
	is.True(second[0].Repeat)
}

// TestCallsWithoutAnswersGoLast guards against calls that every server leaves unanswered and that
// keep other calls from all servers. A host uses two of the six slots.
func TestCallsWithoutAnswersGoLast(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	add(q, "silent-0")
	add(q, "silent-1")
	now := epoch
	for range 3 {
		for _, attempt := range q.Next(now, target, staticCandidates(servers(1))) {
			is.Equal(q.Finish(attempt, connReset, now), reward.VerdictRetry)
		}
		now = now.Add(time.Minute)
	}
	for _, name := range []string{"a", "b", "c"} {
		q.Add(&reward.Call[string]{CompletedAt: now, Unfinished: func() int { return 9 }, Data: name})
	}
	var order []string
	for q.Len() > 2 {
		for _, attempt := range q.Next(now, target, staticCandidates(servers(1))) {
			order = append(order, attempt.Call.Data)
			q.Finish(attempt, scored, now)
		}
	}
	is.Equal(order[:3], []string{"a", "b", "c"})
}

func TestCallWaitsForRoute(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	add(q, "a")
	noRoute := func(string) (reward.Target, bool) { return reward.Target{}, false }
	is.Equal(len(q.Next(epoch, noRoute, staticCandidates(servers(4)))), 0)
	is.Equal(len(q.Next(epoch, target, staticCandidates(servers(4)))), 1)
}

func TestServersBackingOffAreLastResort(t *testing.T) {
	is := is.New(t)
	list := servers(2)
	list[0].BackingOff = true
	for range 4 {
		q := newQueue()
		add(q, "a")
		is.Equal(q.Next(epoch, target, staticCandidates(list))[0].Server.ID, "s1")
	}
	list[1].BackingOff = true
	q := newQueue()
	add(q, "a")
	is.Equal(len(q.Next(epoch, target, staticCandidates(list))), 1)
}

// TestSlotsAreLeftForInteractiveRequests sends a burst of rewards to servers of which two
// report requests in flight.
func TestSlotsAreLeftForInteractiveRequests(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for n := range 200 {
		add(q, strconv.Itoa(n))
	}
	list := servers(3)
	list[0].ReportedRequests, list[1].ReportedRequests = 3, 2
	counts := map[string]int{}
	for _, attempt := range q.Next(epoch, target, staticCandidates(list)) {
		counts[attempt.Server.ID]++
	}
	is.Equal(counts, map[string]int{"s1": 1, "s2": 2}) // at most half of six slots are used, and a third by one host
}

// simulateBurst simulates the end of one step: 12 groups of 8 items complete
// their texts at the same moment, and the rewards come from four servers of
// which one is five times slower. unfinished returns the number by which the
// queue ranks a group. simulateBurst returns how long each group took to get
// all its rewards.
func simulateBurst(t *testing.T, unfinished func(group, left int) int) []time.Duration {
	t.Helper()
	const groups, size, work = 12, 8, 30 * time.Millisecond
	left := make([]int, groups)
	q := newQueue()
	for i := range groups * size {
		group := i % groups
		left[group]++
		q.Add(&reward.Call[string]{CompletedAt: epoch, Unfinished: func() int { return unfinished(group, left[group]) }, Data: strconv.Itoa(group)})
	}
	type running struct {
		attempt reward.Attempt[string]
		ends    time.Time
	}
	var attempts []running
	completed := make([]time.Duration, groups)
	list := servers(4)
	for now := epoch; q.Len() > 0; now = now.Add(time.Millisecond) {
		if now.Sub(epoch) > time.Minute {
			t.Fatalf("%d of %d rewards are missing after a simulated minute", q.Len(), groups*size)
		}
		inFlight := attempts[:0]
		for _, a := range attempts {
			if now.Before(a.ends) {
				inFlight = append(inFlight, a)
				continue
			}
			for i := range list {
				if list[i].ID == a.attempt.Server.ID {
					list[i].InFlight--
				}
			}
			var group int
			_, _ = fmt.Sscan(a.attempt.Call.Data, &group)
			before := q.Len()
			if q.Finish(a.attempt, scored, now) == reward.VerdictScored && q.Len() < before {
				if left[group]--; left[group] == 0 {
					completed[group] = now.Sub(epoch)
				}
			}
		}
		attempts = inFlight
		for _, attempt := range q.Next(now, target, staticCandidates(list)) {
			for i := range list {
				if list[i].ID == attempt.Server.ID {
					list[i].InFlight++
				}
			}
			duration := work
			if attempt.Server.ID == "s0" {
				duration *= 5
			}
			attempts = append(attempts, running{attempt: attempt, ends: now.Add(duration)})
		}
	}
	return completed
}

// TestGroupsNearestToCompletionGoFirst compares the queue's order with first come, first
// served. The mean time to completion matters because trainers continue once nine of ten
// groups are complete and can read each group as soon as it is.
func TestGroupsNearestToCompletionGoFirst(t *testing.T) {
	is := is.New(t)
	mean := func(completed []time.Duration) time.Duration {
		var sum time.Duration
		for _, d := range completed {
			sum += d
		}
		return sum / time.Duration(len(completed))
	}
	nearest := mean(simulateBurst(t, func(_, left int) int { return left }))
	arrival := mean(simulateBurst(t, func(int, int) int { return 0 }))
	t.Logf("mean time to completion of a group: %s by unfinished items, %s by arrival", nearest, arrival)
	is.True(4*nearest < 3*arrival)
}
