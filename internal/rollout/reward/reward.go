// Package reward decides when the rewards of complete rollouts are requested and from
// which plain server. It does no I/O.
//
// It is designed for this load: the items of several steps end in bursts of some
// hundred calls. Each call takes some ten milliseconds at one of a few plain servers,
// which also answer interactive requests within a tenth of a second. A group is useful
// only once its last reward has arrived. Now and then servers are slow, fail or
// disappear.
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
	// interactiveShare is the share of a server's slots that is reserved for
	// interactive requests.
	interactiveShare = 0.5
	// hostShare bounds the share of a server's slots that the reward requests
	// of one host use. The bound is needed because a host learns of the
	// requests of other hosts up to a second late.
	hostShare = 1.0 / 3
	// defaultHedgeDelay is how long an attempt takes before a hedged one is started at a
	// second server, for routes without a latency objective.
	defaultHedgeDelay = 200 * time.Millisecond
	// maxConcurrentAttempts bounds the attempts of one call that run at the same time.
	maxConcurrentAttempts = 2
	// initialBackoff is the back-off after the second failed attempt of a call. It
	// doubles with each further one up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// failingAttempts is the number of attempts in a row without an answer after which a call
	// goes after others: the servers may be sound and the call at fault.
	failingAttempts = 3
)

// Call is the reward request of one item whose text is complete, with the data that the
// user of the queue attaches to it. The exported fields are set before it is added to a
// queue.
type Call[T any] struct {
	// CompletedAt is when the text was complete.
	CompletedAt time.Time
	// Unfinished returns the number of unfinished items of the item's group.
	Unfinished func() int
	// Data identifies the call to the user of the queue. Next passes it to its
	// target function.
	Data T

	// failures counts the answers that report a failed run, and unanswered the attempts in a row
	// without an answer.
	failures, unanswered int
	// notBefore is the earliest time for the next attempt while none is in flight.
	notBefore time.Time
	// backoff is the back-off after the next failed attempt.
	backoff time.Duration
	// lastStart is when the latest attempt started.
	lastStart time.Time
	// triedThisRound holds the servers that have had an attempt in the current round. A
	// new round begins when no untried server is left.
	triedThisRound map[string]struct{}
	// everTried holds the servers that have ever had an attempt.
	everTried map[string]struct{}
	// inFlight holds the servers that have an attempt now.
	inFlight map[string]struct{}
}

// Target is the service that a call goes to and the limits of the call, both
// from the current configuration.
type Target struct {
	// MaxFailures is the number of failed runs after which the call fails for good; less
	// than one means one.
	MaxFailures int
	// LatencySLO is the time within which interactive requests are to be answered.
	// It is also the delay before a hedged attempt; zero means defaultHedgeDelay.
	LatencySLO time.Duration
	Service    string
	// Timeout bounds one attempt; zero if unknown.
	Timeout time.Duration
}

// Attempt is one attempt of a call at a server.
type Attempt[T any] struct {
	Call   *Call[T]
	Server inventory.Candidate
	// Repeat is true if the server has had an earlier attempt of the call. A late
	// duplicate of its earlier answer must then not be taken for the new answer.
	Repeat bool
	Target Target
}

// Answer is the outcome of an attempt.
type Answer struct {
	// Err is set if no complete answer arrived.
	Err error
	Ran kind.Ran
	// Signature is the server's signature of its answer; empty if the answer has none.
	Signature string
	Status    int
}

// Verdict is the state of a call after an attempt.
type Verdict int

// The verdicts.
const (
	// VerdictRetry means that the call stays in the queue for another attempt.
	VerdictRetry Verdict = iota
	// VerdictScored means that the signature of the answer is the score.
	VerdictScored
	// VerdictFailed means that the call has failed for good and the item gets no score.
	VerdictFailed
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictScored:
		return "scored"
	case VerdictFailed:
		return "dead"
	default:
		return "again"
	}
}

// Queue holds the calls of one host that have no answer yet. It is not safe for
// concurrent use. The zero value is ready.
type Queue[T any] struct {
	// Choose returns one of the candidates that isn't in tried; false if there is none.
	Choose func(candidates []inventory.Candidate, tried map[string]struct{}) (inventory.Candidate, bool)

	calls []*Call[T]
	// inFlight counts the attempts in flight at each server.
	inFlight map[string]int
}

// Add queues a call.
func (q *Queue[T]) Add(c *Call[T]) {
	c.triedThisRound, c.everTried, c.inFlight = make(map[string]struct{}), make(map[string]struct{}), make(map[string]struct{})
	q.calls = append(q.calls, c)
}

// Remove removes a call. Its attempts in flight still count until Finish is called for
// them.
func (q *Queue[T]) Remove(c *Call[T]) {
	q.calls = slices.DeleteFunc(q.calls, func(other *Call[T]) bool { return other == c })
}

// Len returns the number of calls that have no answer yet.
func (q *Queue[T]) Len() int { return len(q.calls) }

// Next returns the attempts to start now. Calls that servers leave unanswered again and again go
// last. Of the others, calls of the groups with the fewest unfinished items go first, then those
// whose text was complete first. target returns false for a
// call that has no route at the moment.
func (q *Queue[T]) Next(
	now time.Time, target func(T) (Target, bool), candidatesOf func(service string) []inventory.Candidate,
) []Attempt[T] {
	slices.SortStableFunc(q.calls, func(a, b *Call[T]) int {
		return cmp.Or(cmp.Compare(a.keepsFailing(), b.keepsFailing()), cmp.Compare(a.Unfinished(), b.Unfinished()), a.CompletedAt.Compare(b.CompletedAt))
	})
	services := make(map[string][]inventory.Candidate)
	var attempts []Attempt[T]
	for _, c := range q.calls {
		t, ok := target(c.Data)
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
				if candidates[i].ReportedRequests >= 0 {
					candidates[i].ReportedRequests++
				}
			}
		}
		_, repeat := c.everTried[server.ID]
		attempts = append(attempts, Attempt[T]{Repeat: repeat, Call: c, Server: server, Target: t})
		q.recordStart(c, server.ID, now)
	}
	return attempts
}

// InFlight returns the number of attempts of the call that are in flight.
func (c *Call[T]) InFlight() int { return len(c.inFlight) }

// keepsFailing returns 1 for a call that several attempts in a row have left unanswered, else 0.
func (c *Call[T]) keepsFailing() int {
	if c.unanswered >= failingAttempts {
		return 1
	}
	return 0
}

// isDue reports whether another attempt of the call may start now. That is the
// first attempt, a retry after the back-off, or a hedged attempt if the attempt
// in flight has taken longer than the hedge delay.
func (c *Call[T]) isDue(now time.Time, t Target) bool {
	switch len(c.inFlight) {
	case 0:
		return !now.Before(c.notBefore)
	case maxConcurrentAttempts:
		return false
	default:
		hedgeDelay := t.LatencySLO
		if hedgeDelay <= 0 {
			hedgeDelay = defaultHedgeDelay
		}
		return now.Sub(c.lastStart) >= hedgeDelay
	}
}

// choose returns a server with capacity for the call that has had no attempt in the
// current round. If untried servers exist but lack capacity, it returns false and the
// call waits for them. Servers that are backing off are used only if all servers without
// an attempt in flight are backing off.
func (q *Queue[T]) choose(c *Call[T], candidates []inventory.Candidate) (inventory.Candidate, bool) {
	available := slices.DeleteFunc(slices.Clone(candidates), func(s inventory.Candidate) bool {
		_, inFlight := c.inFlight[s.ID]
		return inFlight
	})
	eligible := slices.DeleteFunc(slices.Clone(available), func(s inventory.Candidate) bool { return s.IsAvoidedByRequests() })
	if len(eligible) == 0 {
		eligible = available
	}
	withCapacity := slices.DeleteFunc(slices.Clone(eligible), func(s inventory.Candidate) bool { return !q.hasCapacity(s) })
	if server, ok := q.Choose(withCapacity, c.triedThisRound); ok {
		return server, true
	}
	untried := slices.ContainsFunc(eligible, func(s inventory.Candidate) bool {
		_, tried := c.triedThisRound[s.ID]
		return !tried
	})
	if untried || len(c.inFlight) > 0 || len(withCapacity) == 0 {
		return inventory.Candidate{}, false
	}
	clear(c.triedThisRound)
	return q.Choose(withCapacity, c.triedThisRound)
}

// hasCapacity reports whether the server may take a further reward, given the shares for
// interactive requests and for this host. An idle server always has capacity for one.
func (q *Queue[T]) hasCapacity(s inventory.Candidate) bool {
	slots := float64(max(s.Slots, 1))
	used := float64(max(s.InFlight, s.ReportedRequests))
	return used < max(1, slots*(1-interactiveShare)) && float64(q.inFlight[s.ID]) < max(1, slots*hostShare)
}

// recordStart records the start of an attempt of the call at a server.
func (q *Queue[T]) recordStart(c *Call[T], server string, now time.Time) {
	if q.inFlight == nil {
		q.inFlight = make(map[string]int)
	}
	q.inFlight[server]++
	c.lastStart = now
	c.triedThisRound[server], c.everTried[server], c.inFlight[server] = struct{}{}, struct{}{}, struct{}{}
}

// Finish records the outcome of an attempt. The call leaves the queue unless the verdict
// is VerdictRetry.
func (q *Queue[T]) Finish(attempt Attempt[T], answer Answer, now time.Time) Verdict {
	c, server := attempt.Call, attempt.Server.ID
	if q.inFlight[server]--; q.inFlight[server] == 0 {
		delete(q.inFlight, server)
	}
	delete(c.inFlight, server)
	switch {
	case answer.Err == nil:
		c.unanswered = 0
	case answer.Ran != kind.RanNo:
		c.unanswered++
	}
	switch {
	case answer.Err == nil && answer.Ran != kind.RanNo && answer.Status/100 == 2 && answer.Signature != "":
		q.Remove(c)
		return VerdictScored
	case answer.Err == nil && answer.Ran != kind.RanNo && answer.Status == http.StatusInternalServerError:
		c.failures++
	}
	if c.failures >= max(attempt.Target.MaxFailures, 1) {
		q.Remove(c)
		return VerdictFailed
	}
	// The back-off is zero after the first failed attempt, which is retried at once.
	c.notBefore = now.Add(c.backoff)
	c.backoff = min(max(2*c.backoff, initialBackoff), maxBackoff)
	return VerdictRetry
}
