// Package reward decides when the rewards of complete rollouts are asked for, and at
// which plain server. It does no I/O.
//
// The load that it answers: the items of several steps end in bursts of some hundred
// calls of some ten milliseconds, at a few plain servers that also answer people
// within a tenth of a second. A group is useful once its last reward is there, and
// servers are slow, failing or gone now and then.
package reward

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	// peopleShare is the share of a server's slots that rewards leave to people.
	peopleShare = 0.5
	// hostShare is the share of a server's slots that the rewards of one host use,
	// since it hears of those of other hosts up to a second late.
	hostShare = 1.0 / 3
	// defaultHedge is after how long a second server is asked if the route has no
	// objective.
	defaultHedge = 200 * time.Millisecond
	// maxTries is how many servers work on one reward at a time.
	maxTries = 2
	// pauseFirst and pauseMax bound the pause after the second failure of a call.
	pauseFirst = 100 * time.Millisecond
	pauseMax   = time.Second
)

// Call is the reward request of one item whose text is complete, with what its owner
// keeps of it. The exported fields are set before it is added to a queue.
type Call[T any] struct {
	// Complete is when the text was complete.
	Complete time.Time
	// Left returns the number of unfinished items of the item's group.
	Left func() int
	// Of is the owner's own part.
	Of T

	// failures counts the answers that say that the run failed.
	failures int
	// notBefore is when the call may have its next try.
	notBefore time.Time
	// pause is that after the next failure.
	pause time.Duration
	// started is when its newest try was started.
	started time.Time
	// tried are the servers that had the call since each of them had it last.
	tried map[string]struct{}
	// used are all servers that ever had the call.
	used map[string]struct{}
	// working are the servers that have it now.
	working map[string]struct{}
}

// Target is where a call goes under the configuration in force.
type Target struct {
	// Attempts is after how many failed runs the reward can't be had.
	Attempts int
	// Objective is the time within which people get an answer; zero if unknown.
	Objective time.Duration
	Service   string
	// Timeout bounds one try; zero if unknown.
	Timeout time.Duration
}

// Start is a try that is due.
type Start[T any] struct {
	Call   *Call[T]
	Server inventory.Candidate
	// Again is true if the server had the call before. A late second copy of its
	// answer then must not be taken for the new one.
	Again  bool
	Target Target
}

// Answer is what a try gave.
type Answer struct {
	// Err is set if no whole answer came.
	Err error
	Ran kind.Ran
	// Stamp is the server's signature of its answer; empty if it gave none.
	Stamp  string
	Status int
}

// Verdict is what becomes of a call after a try.
type Verdict int

// The verdicts.
const (
	// VerdictAgain leaves the call in the queue.
	VerdictAgain Verdict = iota
	// VerdictScored means that the stamp of the answer is the score.
	VerdictScored
	// VerdictDead means that the reward can't be had.
	VerdictDead
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictScored:
		return "scored"
	case VerdictDead:
		return "dead"
	default:
		return "again"
	}
}

// Queue holds the calls of one host that have no answer yet. It is not safe for
// concurrent use. The zero value is ready.
type Queue[T any] struct {
	// Choose returns an untried server of those that may be used.
	Choose func(candidates []inventory.Candidate, tried map[string]struct{}) (inventory.Candidate, bool)

	calls []*Call[T]
	// atServer counts the tries that are under way at each server.
	atServer map[string]int
}

// Add queues a call.
func (q *Queue[T]) Add(c *Call[T]) {
	c.tried, c.used, c.working = make(map[string]struct{}), make(map[string]struct{}), make(map[string]struct{})
	q.calls = append(q.calls, c)
}

// Remove forgets a call. Its tries are still counted until they have ended.
func (q *Queue[T]) Remove(c *Call[T]) {
	q.calls = slices.DeleteFunc(q.calls, func(other *Call[T]) bool { return other == c })
}

// Len returns the number of calls that have no answer yet.
func (q *Queue[T]) Len() int { return len(q.calls) }

// Next returns the tries that are due now: calls of groups that lack the fewest items
// go first. target returns false for a call that has no route at the moment.
func (q *Queue[T]) Next(
	now time.Time, target func(T) (Target, bool), candidatesOf func(service string) []inventory.Candidate,
) []Start[T] {
	slices.SortStableFunc(q.calls, func(a, b *Call[T]) int {
		return cmp.Or(cmp.Compare(a.Left(), b.Left()), a.Complete.Compare(b.Complete))
	})
	services := make(map[string][]inventory.Candidate)
	var starts []Start[T]
	for _, c := range q.calls {
		t, ok := target(c.Of)
		if !ok || !c.isDue(now, t) {
			continue
		}
		candidates, known := services[t.Service]
		if !known {
			candidates = candidatesOf(t.Service)
			services[t.Service] = candidates
		}
		server, ok := q.choose(c, candidates)
		if !ok {
			continue
		}
		for i := range candidates {
			if candidates[i].ID == server.ID {
				candidates[i].InFlight++
				if candidates[i].Reported >= 0 {
					candidates[i].Reported++
				}
			}
		}
		_, again := c.used[server.ID]
		starts = append(starts, Start[T]{Again: again, Call: c, Server: server, Target: t})
		q.started(c, server.ID, now)
	}
	return starts
}

// isDue reports whether the call may have another try: its first one, one after a
// failure, or a second one beside one that lasts longer than most.
func (c *Call[T]) isDue(now time.Time, t Target) bool {
	switch len(c.working) {
	case 0:
		return !now.Before(c.notBefore)
	case maxTries:
		return false
	default:
		hedge := t.Objective
		if hedge <= 0 {
			hedge = defaultHedge
		}
		return now.Sub(c.started) >= hedge
	}
}

// choose returns a server with room for a reward, one that hasn't had the call if there
// is one. A server under suspicion is taken only if all are.
func (q *Queue[T]) choose(c *Call[T], candidates []inventory.Candidate) (inventory.Candidate, bool) {
	free := slices.DeleteFunc(slices.Clone(candidates), func(s inventory.Candidate) bool {
		_, working := c.working[s.ID]
		return working
	})
	sound := slices.DeleteFunc(slices.Clone(free), func(s inventory.Candidate) bool { return s.Suspect })
	if len(sound) == 0 {
		sound = free
	}
	room := slices.DeleteFunc(slices.Clone(sound), func(s inventory.Candidate) bool { return !q.hasRoom(s) })
	if server, ok := q.Choose(room, c.tried); ok {
		return server, true
	}
	untried := slices.ContainsFunc(sound, func(s inventory.Candidate) bool {
		_, tried := c.tried[s.ID]
		return !tried
	})
	if untried || len(c.working) > 0 || len(room) == 0 {
		return inventory.Candidate{}, false
	}
	clear(c.tried)
	return q.Choose(room, c.tried)
}

func (q *Queue[T]) hasRoom(s inventory.Candidate) bool {
	slots := float64(max(s.Slots, 1))
	used := float64(max(s.InFlight, s.Reported))
	return used < max(1, slots*(1-peopleShare)) && float64(q.atServer[s.ID]) < max(1, slots*hostShare)
}

func (q *Queue[T]) started(c *Call[T], server string, now time.Time) {
	if q.atServer == nil {
		q.atServer = make(map[string]int)
	}
	q.atServer[server]++
	c.started = now
	c.tried[server], c.used[server], c.working[server] = struct{}{}, struct{}{}, struct{}{}
}

// Ended takes the end of a try over. The call leaves the queue unless the verdict is
// VerdictAgain.
func (q *Queue[T]) Ended(start Start[T], answer Answer, now time.Time) Verdict {
	c, server := start.Call, start.Server.ID
	if q.atServer[server]--; q.atServer[server] == 0 {
		delete(q.atServer, server)
	}
	delete(c.working, server)
	switch {
	case answer.Err == nil && answer.Ran != kind.RanNo && answer.Status/100 == 2 && answer.Stamp != "":
		q.Remove(c)
		return VerdictScored
	case answer.Err == nil && answer.Ran != kind.RanNo && answer.Status == http.StatusInternalServerError:
		c.failures++
	}
	if c.failures >= max(start.Target.Attempts, 1) {
		q.Remove(c)
		return VerdictDead
	}
	// The first failure sends the call on at once.
	c.notBefore = now.Add(c.pause)
	c.pause = min(max(2*c.pause, pauseFirst), pauseMax)
	return VerdictAgain
}
