package weight

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/looplab/fsm"
	"golang.org/x/time/rate"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
)

// The states of a server. Only a server in StateServing counts towards the capacity
// floor.
const (
	// StateFailed means that the server has a lower version than expected: a load
	// ended without its version, or the server restarted with older weights.
	StateFailed = "failed"
	// StateLoading means that the server reports that it loads the ordered version.
	StateLoading = "loading"
	// StateOrdered means that the server was sent an order.
	StateOrdered = "ordered"
	// StateServing means that the server has at least the version that is
	// expected of it.
	StateServing = "serving"
	// StateUnreachable means that the status of the server could not be read.
	StateUnreachable = "unreachable"
)

// The events that change the state of a server.
const (
	eventConfirm = "confirm"
	eventFail    = "fail"
	eventLoad    = "load"
	eventLose    = "lose"
	eventOrder   = "order"
	eventRefuse  = "refuse"
)

const (
	// orderTTL is the time within which an engine must start to carry out an order.
	orderTTL = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the back-off, without jitter, before a
	// failed load is repeated.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// maxBackOffDoublings bounds the exponent of the back-off.
	maxBackOffDoublings = 6
	// busyPollInterval is the time between two reads of the status of a server
	// that does not serve the target yet, and idlePollInterval of one that
	// does.
	busyPollInterval = 100 * time.Millisecond
	idlePollInterval = 2 * time.Second
)

// Outcome is the outcome of sending an order.
type Outcome int

// The outcomes.
const (
	// OutcomeAccepted means that the engine accepted the order.
	OutcomeAccepted Outcome = iota
	// OutcomeRefused means that the order will not take effect, because the
	// engine has rejected it or was not reached.
	OutcomeRefused
	// OutcomeUnknown means that there was no reply. The order may still arrive
	// until its deadline.
	OutcomeUnknown
)

// SwapPlanner decides which version each server is ordered to load, and when.
// It does no I/O, and its callers pass the time. It is not safe for concurrent
// use.
type SwapPlanner struct {
	// FencingToken is sent with each order.
	FencingToken int64
	// CapacityFloor is the share of servers that must keep serving, from 0 to 1.
	CapacityFloor float64
	// LoadLimiter bounds the rate of loads from the weight store; nil means no bound.
	LoadLimiter *rate.Limiter
	// Random is the source of the jitter of the back-off.
	Random *rand.Rand
	// Target is the newest version. It never decreases.
	Target int64

	servers map[string]*serverSwap
}

// serverSwap is the state of the swaps of one server.
type serverSwap struct {
	// orderAccepted is true if the engine accepted the last order.
	orderAccepted bool
	// confirmed is the highest version that the server has reported while serving.
	confirmed int64
	// orderDeadline is the deadline of the last order.
	orderDeadline time.Time
	// failures is the number of failures since the last success.
	failures int
	machine  *fsm.FSM
	// retryAt is the end of the back-off.
	retryAt time.Time
	// ordered is the highest version that the server was ordered to load.
	ordered   int64
	orderedAt time.Time
	// reported is true once a status was read.
	reported bool
	// eligible is false from a failure until the server reports the expected version.
	// The server gets no requests of the service meanwhile.
	eligible bool
	// status is the last status that was read.
	status engine.Status
}

func newServerSwap() *serverSwap {
	return &serverSwap{eligible: true, machine: fsm.NewFSM(StateUnreachable, fsm.Events{
		{Name: eventConfirm, Src: []string{StateFailed, StateLoading, StateOrdered, StateUnreachable}, Dst: StateServing},
		{Name: eventFail, Src: []string{StateLoading, StateOrdered, StateServing, StateUnreachable}, Dst: StateFailed},
		{Name: eventLoad, Src: []string{StateOrdered}, Dst: StateLoading},
		{Name: eventLose, Src: []string{StateFailed, StateLoading, StateOrdered, StateServing}, Dst: StateUnreachable},
		{Name: eventOrder, Src: []string{StateFailed, StateServing}, Dst: StateOrdered},
		{Name: eventRefuse, Src: []string{StateOrdered}, Dst: StateServing},
	}, fsm.Callbacks{})}
}

// fire applies the event if the current state allows it.
func (s *serverSwap) fire(event string) {
	if s.machine.Can(event) {
		// The machine has no callbacks, so an allowed event cannot fail.
		_ = s.machine.Event(context.Background(), event)
	}
}

func (s *serverSwap) state() string { return s.machine.Current() }

// SetServers sets the servers to plan for. The state of the others is dropped.
func (p *SwapPlanner) SetServers(ids []string) {
	if p.servers == nil {
		p.servers = make(map[string]*serverSwap)
	}
	for id := range p.servers {
		if !slices.Contains(ids, id) {
			delete(p.servers, id)
		}
	}
	for _, id := range ids {
		if _, ok := p.servers[id]; !ok {
			p.servers[id] = newServerSwap()
		}
	}
}

// Exclude excludes the servers with these ids, which an earlier holder of the
// lease excluded, except those whose status was read since. A server becomes
// eligible again when it reports the target.
func (p *SwapPlanner) Exclude(ids []string) {
	for _, id := range ids {
		if s, ok := p.servers[id]; ok && !s.reported {
			s.eligible = false
			s.ordered = p.Target
		}
	}
}

// HandleStatus updates a server from its status, which was read at now.
func (p *SwapPlanner) HandleStatus(now time.Time, id string, status engine.Status) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	restarted := s.reported && !status.StartedAt.Equal(s.status.StartedAt)
	s.status = status
	if !s.reported {
		s.reported = true
		s.confirmed = status.Version
	}
	switch {
	case restarted || s.state() == StateUnreachable:
		p.checkReturned(now, s)
	case s.state() == StateOrdered || s.state() == StateLoading:
		p.checkOrdered(now, s)
	case s.state() == StateFailed:
		// A repeated report of the same failure does not extend the back-off.
		if status.Version >= max(s.confirmed, s.ordered) {
			s.confirm()
		}
	case status.Version < s.confirmed:
		p.fail(now, s)
	}
	if s.state() == StateServing {
		s.confirmed = max(s.confirmed, status.Version)
	}
}

// checkReturned checks the version of a server after a restart or a time without a
// status.
func (p *SwapPlanner) checkReturned(now time.Time, s *serverSwap) {
	expected := s.confirmed
	if !s.eligible {
		expected = max(s.confirmed, s.ordered)
	}
	if s.status.Version < expected {
		p.fail(now, s)
		return
	}
	s.confirm()
}

// confirm records that the server has the expected version.
func (s *serverSwap) confirm() {
	s.failures = 0
	s.eligible = true
	s.fire(eventConfirm)
}

// checkOrdered checks how far a server that was sent an order has carried it out.
func (p *SwapPlanner) checkOrdered(now time.Time, s *serverSwap) {
	switch {
	case s.status.Version >= s.ordered:
		s.confirm()
	case s.status.Loading == s.ordered:
		s.fire(eventLoad)
	case s.status.Loading != 0:
		// The server loads another version. The order is checked after that load.
	case s.state() == StateLoading || s.orderAccepted:
		p.fail(now, s)
	case now.After(s.orderDeadline):
		// The order did not arrive.
		p.cancelOrder(now, s)
	}
}

// fail excludes the server and starts the back-off.
func (p *SwapPlanner) fail(now time.Time, s *serverSwap) {
	s.failures++
	s.eligible = false
	s.retryAt = now.Add(p.backOff(s.failures))
	s.fire(eventFail)
}

// cancelOrder handles an order that was refused or did not arrive, and starts the
// back-off. The server returns to the state before the order.
func (p *SwapPlanner) cancelOrder(now time.Time, s *serverSwap) {
	s.failures++
	s.retryAt = now.Add(p.backOff(s.failures))
	s.fire(eventRefuse)
	if !s.eligible {
		s.fire(eventFail)
	}
}

// backOff returns the delay after the given number of failures. It doubles with each
// failure and has a jitter of up to half of it in either direction.
func (p *SwapPlanner) backOff(failures int) time.Duration {
	base := min(maxRetryDelay, minRetryDelay<<min(failures-1, maxBackOffDoublings))
	return time.Duration(float64(base) * (1.0/2 + p.Random.Float64()))
}

// HandleUnreachable updates a server whose status could not be read.
func (p *SwapPlanner) HandleUnreachable(id string) {
	if s, ok := p.servers[id]; ok {
		s.fire(eventLose)
	}
}

// NextOrder returns the order to send to the server now, if any. The order is valid
// until validUntil at the latest. Its version is never lower than one that the server
// reports or was ordered to load before.
func (p *SwapPlanner) NextOrder(now, validUntil time.Time, id string) (engine.Order, bool) {
	s, ok := p.servers[id]
	if !ok || !p.orderIsDue(now, s) {
		return engine.Order{}, false
	}
	if s.state() == StateServing && p.availableSwaps() <= 0 {
		return engine.Order{}, false
	}
	if p.LoadLimiter != nil && !p.LoadLimiter.AllowN(now, 1) {
		return engine.Order{}, false
	}
	s.ordered, s.orderedAt, s.orderAccepted = p.Target, now, false
	s.orderDeadline = now.Add(orderTTL)
	if validUntil.Before(s.orderDeadline) {
		s.orderDeadline = validUntil
	}
	s.fire(eventOrder)
	return engine.Order{
		Deadline: s.orderDeadline,
		Fence:    p.FencingToken,
		ID:       fmt.Sprintf("%s-%d-%d-%d", id, p.Target, p.FencingToken, now.UnixNano()),
		Kind:     engine.OrderLoadVersion,
		Version:  p.Target,
	}, true
}

// orderIsDue reports whether the server is to be ordered to load the target now. It
// ignores the capacity floor and the load rate.
func (p *SwapPlanner) orderIsDue(now time.Time, s *serverSwap) bool {
	switch {
	case !s.reported || s.status.Loading != 0:
		return false
	case s.state() != StateServing && s.state() != StateFailed:
		return false
	case p.Target <= s.status.Version || p.Target < s.ordered:
		return false
	case p.Target != s.ordered && now.Before(s.orderDeadline) && !s.orderAccepted:
		// An earlier order may still arrive.
		return false
	default:
		return !now.Before(s.retryAt)
	}
}

// HandleOutcome updates a server from the outcome of the last order that NextOrder
// returned for it.
func (p *SwapPlanner) HandleOutcome(now time.Time, id string, outcome Outcome) {
	s, ok := p.servers[id]
	if !ok || s.state() != StateOrdered {
		return
	}
	switch outcome {
	case OutcomeAccepted:
		s.orderAccepted = true
	case OutcomeRefused:
		// The order will not take effect, so the next one need not wait for its
		// deadline, only for the back-off.
		s.orderDeadline = time.Time{}
		p.cancelOrder(now, s)
	case OutcomeUnknown:
	}
}

// availableSwaps returns how many servers may stop serving now under the capacity floor.
func (p *SwapPlanner) availableSwaps() int {
	total := len(p.servers)
	var notServing int
	for _, s := range p.servers {
		if s.state() != StateServing {
			notServing++
		}
	}
	available := total - int(math.Ceil(p.CapacityFloor*float64(total))) - notServing
	if available < 1 && notServing == 0 {
		// One server may swap at a time even if the floor requires all of them.
		return 1
	}
	return available
}

// Excluded returns the servers that must not get requests of the service, sorted.
func (p *SwapPlanner) Excluded() []string {
	var ids []string
	for id, s := range p.servers {
		if !s.eligible {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// OutdatedServers returns the number of servers with a lower version than the target.
func (p *SwapPlanner) OutdatedServers() int {
	var outdated int
	for _, s := range p.servers {
		if s.status.Version < p.Target {
			outdated++
		}
	}
	return outdated
}

// PollInterval returns the time until the server's status is to be read again.
func (p *SwapPlanner) PollInterval(id string) time.Duration {
	s, ok := p.servers[id]
	if !ok || s.state() == StateServing && s.status.Version >= p.Target {
		return idlePollInterval
	}
	return busyPollInterval
}
