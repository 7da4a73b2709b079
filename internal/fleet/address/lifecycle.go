package address

import (
	"context"
	"sync"
	"time"

	"github.com/looplab/fsm"
)

// State is a state in the lifecycle of an entry host.
type State string

// The states of an entry host. They follow each other in the order starting,
// serving, withdrawn, draining, stopped.
const (
	// StateDraining means that the node finishes the requests in flight and takes
	// no new ones.
	StateDraining State = "draining"
	StateServing  State = "serving"
	StateStarting State = "starting"
	StateStopped  State = "stopped"
	// StateWithdrawn means that the node is no longer assigned to callers, but
	// serves those that keep an earlier assignment.
	StateWithdrawn State = "withdrawn"
)

const (
	eventAbort    = "cut"
	eventDrain    = "drain"
	eventServe    = "serve"
	eventStop     = "stop"
	eventWithdraw = "withdraw"
)

// propagationDelay is how long other entry hosts may still assign a node that has
// withdrawn. It is added to the time for which callers cache an assignment, but is
// limited to that time.
const propagationDelay = 3 * time.Second

// Lifecycle is the state machine of one entry host. It is safe for concurrent
// use.
type Lifecycle struct {
	mu sync.Mutex
	// abortedRequests is the number of requests that were in flight at an abort.
	abortedRequests int
	// deadline is the latest end of draining.
	deadline time.Time
	// drainAt is when draining may begin.
	drainAt time.Time
	// grace is how long the requests in flight may take once draining has begun.
	grace   time.Duration
	machine *fsm.FSM
}

// NewLifecycle returns a lifecycle in StateStarting.
func NewLifecycle() *Lifecycle {
	return &Lifecycle{machine: fsm.NewFSM(string(StateStarting), fsm.Events{
		{Name: eventServe, Src: []string{string(StateStarting)}, Dst: string(StateServing)},
		{Name: eventWithdraw, Src: []string{string(StateStarting), string(StateServing)}, Dst: string(StateWithdrawn)},
		{Name: eventDrain, Src: []string{string(StateWithdrawn)}, Dst: string(StateDraining)},
		{Name: eventStop, Src: []string{string(StateDraining)}, Dst: string(StateStopped)},
		{Name: eventAbort, Src: []string{string(StateStarting), string(StateServing), string(StateWithdrawn), string(StateDraining)}, Dst: string(StateStopped)},
	}, nil)}
}

// Serve moves from StateStarting to StateServing.
func (l *Lifecycle) Serve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fire(eventServe)
}

// Withdraw begins a graceful shutdown. keep is how long callers may cache an address,
// and grace is the time for requests in flight to finish after that. Withdraw returns
// the time until draining may begin.
func (l *Lifecycle) Withdraw(now time.Time, keep, grace time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fire(eventWithdraw) {
		l.drainAt, l.grace = now.Add(keep+min(propagationDelay, keep)), grace
	}
	return max(0, l.drainAt.Sub(now))
}

// Advance advances the state as far as the time now and the number of requests in
// flight allow, and returns the new state.
func (l *Lifecycle) Advance(now time.Time, inFlight int) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state() == StateWithdrawn && !now.Before(l.drainAt) {
		l.fire(eventDrain)
		l.deadline = now.Add(l.grace)
	}
	if l.state() == StateDraining {
		switch {
		case inFlight == 0:
			l.fire(eventStop)
		case now.After(l.deadline):
			l.abortedRequests = inFlight
			l.fire(eventAbort)
		}
	}
	return l.state()
}

// Abort moves to StateStopped at once and records the requests in flight as aborted.
func (l *Lifecycle) Abort(inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fire(eventAbort) {
		l.abortedRequests = inFlight
	}
}

// AbortedRequests returns the number of requests that were in flight when the node
// stopped.
func (l *Lifecycle) AbortedRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.abortedRequests
}

// State returns the current state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state()
}

// state returns the current state. l.mu is held.
func (l *Lifecycle) state() State { return State(l.machine.Current()) }

// fire triggers an event and reports whether it caused a transition. l.mu is held.
func (l *Lifecycle) fire(name string) bool {
	return l.machine.Event(context.Background(), name) == nil
}
