// Package admission implements admission control for model engines: it decides which
// request an engine runs next. Each engine has one Queue. An engine runs requests in
// order of arrival, so the Queue limits how many it has at the same time and orders
// the others.
//
// A Queue does no I/O and reads no clock: the same calls with the same times give the
// same decisions.
package admission

import (
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

const (
	// maxCheckWaitRatio is the largest ratio of a check's predicted wait to its
	// predicted run time. If another check waits already, a check that would wait longer
	// is refused at once, unless the wait is at most negligibleWait, which no caller
	// notices.
	maxCheckWaitRatio = 0.2
	negligibleWait    = 50 * time.Millisecond
	// checkReservationPeriod is how long after a check slots stay reserved for the next
	// ones.
	checkReservationPeriod = 30 * time.Second
	// maxCreditRollouts bounds the rollout credit. It covers at most this many rollouts
	// of the same cost as the next one.
	maxCreditRollouts = 8
	// defaultQueueLimit applies when the settings contain no limit.
	defaultQueueLimit = 256
	// defaultTokens is the expected number of tokens of an answer until one has been
	// observed.
	defaultTokens = 128
	// reservedSlotDivisor determines the slots that are reserved for checks: the limit
	// divided by it.
	reservedSlotDivisor = 8
	// maxRolloutFloor keeps floor / (1 - floor) finite.
	maxRolloutFloor = 0.99
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller
	// gets.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Settings are the admission settings from the configuration document of a service.
type Settings struct {
	// QueueLimit is the number of requests that may wait; zero means the default.
	QueueLimit int
	// RolloutFloor is the fraction of the tokens that rollouts get while checks wait.
	RolloutFloor float64
	// Shares maps a share to its weight. Shares that it does not contain have weight 1.
	Shares map[string]float64
	// SlotLimit bounds the number of requests in flight; zero means no bound.
	SlotLimit int
}

// Item is one request for a slot of the engine.
type Item struct {
	// Isolated marks a request during which the engine must run no other.
	Isolated bool
	Class    dispatch.Class
	Deadline time.Time
	// Retry marks the retry of a request whose earlier attempt failed. Push refuses it
	// only if it cannot meet its deadline, because a refusal loses the work of the
	// earlier attempt.
	Retry bool
	// Share is the team or trainer to which the tokens are charged.
	Share string
	// Tokens is the expected cost of the request in generated tokens; zero means unknown.
	Tokens int

	id uint64
}

// running is a request that was sent to the engine and has not ended.
type running struct {
	Item
	startedAt time.Time
}

// Refusal is a waiting request that was removed from the queue. It did not run.
type Refusal struct {
	Err *kind.Error
	ID  uint64
}

// Decision lists the requests to refuse and to start now.
type Decision struct {
	Refused []Refusal
	// Start lists the requests to send to the engine.
	Start []uint64
}

// Summary describes the state of a queue to the hosts that choose between engines.
type Summary struct {
	InFlight int
	Limit    int
	Queued   int
	// TokensPerSecond is the generation rate of one request; zero means unknown.
	TokensPerSecond float64
	// Wait is the predicted wait of a check that arrives now.
	Wait time.Duration
}

// Queue holds the requests that wait for one engine. The zero value is ready to use.
// It is not safe for concurrent use.
type Queue struct {
	Settings Settings

	// isolated holds the waiting requests that must run alone, oldest first. While it is
	// not empty, no other request starts.
	isolated []Item
	checks   fairQueue
	// rolloutCredit is the number of tokens that rollouts may take before the next check.
	rolloutCredit float64
	estimate      estimator
	inFlight      map[uint64]running
	lastCheck     time.Time
	limit         ConcurrencyLimit
	nextID        uint64
	// latestRetryAt is the latest time to retry that a refused caller was given.
	latestRetryAt time.Time
	rollouts      fairQueue
}

// Push adds a request and returns its id. It refuses a request that cannot meet its
// deadline and a check that would wait too long. When the queue is full, it evicts a
// waiting request, which the Decision lists, or refuses the new one if evict finds none.
func (q *Queue) Push(now time.Time, item Item) (uint64, Decision, *kind.Error) {
	q.limit.Max = q.Settings.SlotLimit
	if item.Tokens <= 0 {
		item.Tokens = q.estimate.typicalTokens()
	}
	if item.Class == dispatch.ClassCheck {
		q.lastCheck = now
	}
	wait, service := q.predictWait(now, item), q.estimate.serviceTime(item.Tokens)
	if !item.Deadline.IsZero() && now.Add(wait+service).After(item.Deadline) {
		return 0, Decision{}, q.refuse(now, kind.DeadlineUnmet, service)
	}
	if item.Class == dispatch.ClassCheck && !item.Isolated && !item.Retry && q.checkWaitsTooLong(wait, service) {
		return 0, Decision{}, q.refuse(now, kind.Overloaded, service)
	}
	var decision Decision
	if q.queued() >= q.queueLimit() && !item.Retry {
		victim, ok := q.evict(item)
		if !ok {
			return 0, Decision{}, q.refuse(now, kind.Overloaded, service)
		}
		decision.Refused = append(decision.Refused, Refusal{
			Err: q.refuse(now, kind.Overloaded, q.estimate.serviceTime(victim.Tokens)), ID: victim.id,
		})
	}
	q.nextID++
	item.id = q.nextID
	q.enqueue(item)
	return item.id, decision, nil
}

func (q *Queue) enqueue(item Item) {
	q.checks.weights, q.rollouts.weights = q.Settings.Shares, q.Settings.Shares
	switch {
	case item.Isolated:
		q.isolated = append(q.isolated, item)
	case item.Class == dispatch.ClassCheck:
		q.checks.push(item)
	default:
		q.rollouts.push(item)
	}
}

// Next returns the requests that start now and those that can no longer meet their
// deadline. It does not check the deadlines of requests that must run alone. Callers call
// it after each Push, Cancel, Done and ObserveLoad.
func (q *Queue) Next(now time.Time) Decision {
	var decision Decision
	missesDeadline := func(item Item) bool {
		return !item.Deadline.IsZero() && now.Add(q.estimate.serviceTime(item.Tokens)).After(item.Deadline)
	}
	for _, item := range append(q.checks.removeIf(missesDeadline), q.rollouts.removeIf(missesDeadline)...) {
		decision.Refused = append(decision.Refused, Refusal{Err: q.refuse(now, kind.DeadlineUnmet, 0), ID: item.id})
	}
	for {
		item, ok := q.dequeue(now)
		if !ok {
			return decision
		}
		if q.inFlight == nil {
			q.inFlight = make(map[uint64]running)
		}
		q.inFlight[item.id] = running{Item: item, startedAt: now}
		decision.Start = append(decision.Start, item.id)
	}
}

// dequeue removes and returns the request that gets the next slot, if there is a free
// slot and a request for it. Requests that must run alone go before all others. Checks go
// before rollouts unless the rollout credit covers the next rollout. While no check waits,
// rollouts leave the reserved slots free.
func (q *Queue) dequeue(now time.Time) (Item, bool) {
	if len(q.isolated) > 0 {
		return q.dequeueIsolated()
	}
	free := q.limit.Value(now) - len(q.inFlight)
	if free <= 0 || q.isolatedRunning() {
		return Item{}, false
	}
	rollout, hasRollout := q.rollouts.peek()
	switch {
	case q.checks.count > 0 && (!hasRollout || q.rolloutCredit < float64(rollout.Tokens)):
		item, ok := q.checks.pop()
		if hasRollout {
			q.addRolloutCredit(item.Tokens, rollout.Tokens)
		}
		return item, ok
	case hasRollout && (q.checks.count > 0 || free > q.reservedSlots(now)):
		item, ok := q.rollouts.pop()
		q.rolloutCredit = max(0, q.rolloutCredit-float64(item.Tokens))
		return item, ok
	default:
		return Item{}, false
	}
}

// dequeueIsolated removes and returns the next request that must run alone, once the engine
// runs no other.
func (q *Queue) dequeueIsolated() (Item, bool) {
	if len(q.inFlight) > 0 {
		return Item{}, false
	}
	item := q.isolated[0]
	q.isolated = slices.Delete(q.isolated, 0, 1)
	return item, true
}

// isolatedRunning reports whether a request that must run alone is in flight.
func (q *Queue) isolatedRunning() bool {
	for _, item := range q.inFlight {
		if item.Isolated {
			return true
		}
	}
	return false
}

// addRolloutCredit adds the tokens that the floor grants to rollouts when a check of
// checkTokens starts before them. rolloutTokens is the cost of the next rollout, which
// bounds the credit.
func (q *Queue) addRolloutCredit(checkTokens, rolloutTokens int) {
	floor := q.rolloutFloor()
	q.rolloutCredit += float64(checkTokens) * floor / (1 - floor)
	q.rolloutCredit = min(q.rolloutCredit, maxCreditRollouts*float64(rolloutTokens))
}

// reservedSlots returns the number of slots that rollouts leave free for checks.
func (q *Queue) reservedSlots(now time.Time) int {
	if q.lastCheck.IsZero() || now.Sub(q.lastCheck) > checkReservationPeriod {
		return 0
	}
	limit := q.limit.Value(now)
	if limit == 1 {
		return 0
	}
	return max(1, limit/reservedSlotDivisor)
}

// Cancel removes a waiting request whose caller no longer waits for it.
func (q *Queue) Cancel(id uint64) {
	if q.checks.remove(id) || q.rollouts.remove(id) {
		return
	}
	q.isolated = slices.DeleteFunc(q.isolated, func(item Item) bool { return item.id == id })
}

// Drain removes all waiting requests, because the engine is down, and returns their ids.
func (q *Queue) Drain() []uint64 {
	all := func(Item) bool { return true }
	items := append(q.checks.removeIf(all), q.rollouts.removeIf(all)...)
	items = append(items, q.isolated...)
	q.isolated = nil
	ids := make([]uint64, len(items))
	for i, item := range items {
		ids[i] = item.id
	}
	return ids
}

// Done frees the slot of a request that has ended.
func (q *Queue) Done(id uint64, outcome Outcome) {
	item, ok := q.inFlight[id]
	if !ok {
		return
	}
	if !item.Isolated {
		q.limit.Observe(outcome, len(q.inFlight))
	}
	delete(q.inFlight, id)
	q.estimate.observe(outcome)
	difference := outcome.Tokens + outcome.PrefillTokens - item.Tokens
	if item.Class == dispatch.ClassCheck {
		q.checks.adjustCharge(item.Share, difference)
		return
	}
	q.rollouts.adjustCharge(item.Share, difference)
}

// ObserveLoad records a load report of the engine. Such reports lag behind the requests
// that the queue has started.
func (q *Queue) ObserveLoad(now time.Time, load engine.Load) {
	q.limit.ObserveLoad(now, load, len(q.inFlight))
}

// InFlight returns the number of requests that were started and have not ended.
func (q *Queue) InFlight() int { return len(q.inFlight) }

// Summary returns the state of the queue at now.
func (q *Queue) Summary(now time.Time) Summary {
	s := Summary{
		InFlight: len(q.inFlight),
		Limit:    q.limit.Value(now),
		Queued:   q.queued(),
		Wait:     q.predictWait(now, Item{Class: dispatch.ClassCheck}),
	}
	if len(q.isolated) > 0 || q.isolatedRunning() {
		s.Limit = 1
	}
	if q.estimate.perToken > 0 {
		s.TokensPerSecond = float64(time.Second) / float64(q.estimate.perToken)
	}
	return s
}

func (q *Queue) queued() int { return q.checks.count + q.rollouts.count + len(q.isolated) }

func (q *Queue) queueLimit() int {
	if q.Settings.QueueLimit > 0 {
		return q.Settings.QueueLimit
	}
	return defaultQueueLimit
}

// evict makes room for item: it removes and returns the newest request of the share with
// the longest backlog. It evicts a rollout if one waits. Otherwise it evicts a check, but
// only for another check. It returns false if nothing can be evicted or if that share is
// item's own, except that a check may evict a rollout of its own share.
func (q *Queue) evict(item Item) (Item, bool) {
	class := &q.rollouts
	if class.count == 0 && item.Class == dispatch.ClassCheck {
		class = &q.checks
	}
	longest := class.longestBacklog()
	if longest == nil {
		return Item{}, false
	}
	ownShare := longest.share == item.Share
	if ownShare && (item.Class == dispatch.ClassRollout || class == &q.checks) {
		return Item{}, false
	}
	return class.dropNewest(longest), true
}

// predictWait predicts how long item waits for a slot. The requests ahead of item take
// the slots that become free first.
func (q *Queue) predictWait(now time.Time, item Item) time.Duration {
	limit := q.limit.Value(now)
	if len(q.inFlight) < limit && q.queued() == 0 {
		return 0
	}
	ahead := q.checks.count + len(q.isolated) + q.rolloutsAhead(item)
	releases := q.predictSlotReleases(now, limit)
	if ahead < len(releases) {
		return releases[ahead]
	}
	rounds := ahead / len(releases)
	return releases[ahead%len(releases)] + q.estimate.serviceTime(rounds*q.estimate.typicalTokens())
}

// rolloutsAhead predicts how many waiting rollouts start before item: all of them before
// a rollout, and as many as the floor grants before a check.
func (q *Queue) rolloutsAhead(item Item) int {
	rollout, ok := q.rollouts.peek()
	if !ok || item.Class == dispatch.ClassRollout {
		return q.rollouts.count
	}
	floor := q.rolloutFloor()
	credit := q.rolloutCredit + float64(q.checks.waitingTokens())*floor/(1-floor)
	return min(q.rollouts.count, int(credit/float64(rollout.Tokens)))
}

// predictSlotReleases predicts the time from now until each of limit slots is free,
// shortest first.
func (q *Queue) predictSlotReleases(now time.Time, limit int) []time.Duration {
	releases := make([]time.Duration, 0, max(limit, len(q.inFlight)))
	for _, r := range q.inFlight {
		releases = append(releases, max(0, r.startedAt.Add(q.estimate.serviceTime(r.Tokens)).Sub(now)))
	}
	for len(releases) < limit {
		releases = append(releases, 0)
	}
	slices.Sort(releases)
	return releases[max(0, len(releases)-limit):]
}

// rolloutFloor returns the configured floor, bounded to [0, maxRolloutFloor].
func (q *Queue) rolloutFloor() float64 { return min(max(q.Settings.RolloutFloor, 0), maxRolloutFloor) }

// checkWaitsTooLong reports whether a check is refused for its predicted wait. It returns
// false if no other check waits, whatever the prediction is.
func (q *Queue) checkWaitsTooLong(wait, service time.Duration) bool {
	return q.checks.count > 0 && wait > negligibleWait && float64(wait) > maxCheckWaitRatio*float64(service)
}

// refuse returns the error for a request that does not run. Each refused caller gets a
// later time to retry, spaced by the rate at which slots become free, so that callers that
// are refused together do not retry together.
func (q *Queue) refuse(now time.Time, k kind.Kind, service time.Duration) *kind.Error {
	earliest := now.Add(q.predictWait(now, Item{Class: dispatch.ClassRollout}))
	if q.latestRetryAt.Before(earliest) {
		q.latestRetryAt = earliest
	}
	q.latestRetryAt = q.latestRetryAt.Add(service / time.Duration(q.limit.Value(now)))
	retryAfter := min(max(q.latestRetryAt.Sub(now), minRetryAfter), maxRetryAfter)
	if latest := now.Add(maxRetryAfter); q.latestRetryAt.After(latest) {
		q.latestRetryAt = latest
	}
	return kind.New(k, "%s", refusalMessage(k)).WithRan(kind.RanNo).WithRetryAfter(retryAfter)
}

func refusalMessage(k kind.Kind) string {
	if k == kind.DeadlineUnmet {
		return "the request cannot finish before its deadline"
	}
	return "the queue of the backend server is full, or the wait would be too long"
}
