package lease

import (
	"context"
	"errors"
	"time"

	"github.com/looplab/fsm"
)

// State is the state of a holder with respect to its lease.
type State string

// The states of a holder.
const (
	// StateAcquiring means that the holder tries to acquire the lease.
	StateAcquiring State = "acquiring"
	// StateDoubtful means that the deadline has passed, but the store has not
	// reported the end of the lease. The holder must not act. If a renewal succeeds,
	// the state returns to StateHeld.
	StateDoubtful State = "doubtful"
	// StateFree means that the holder has no lease and does not try to acquire one:
	// it was not started or has stopped.
	StateFree State = "free"
	// StateHeld means that the holder has the lease and may act until the deadline.
	StateHeld State = "held"
	// StateLost means that the store has reported the end of the lease.
	StateLost State = "lost"
)

const (
	eventAcquire = "acquire"
	eventConfirm = "confirm"
	eventDoubt   = "doubt"
	eventEnd     = "end"
	eventGrant   = "grant"
	eventRelease = "release"
)

func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(string(StateFree), fsm.Events{
		{Name: eventAcquire, Src: []string{string(StateFree), string(StateLost)}, Dst: string(StateAcquiring)},
		{Name: eventConfirm, Src: []string{string(StateDoubtful), string(StateHeld)}, Dst: string(StateHeld)},
		{Name: eventDoubt, Src: []string{string(StateHeld)}, Dst: string(StateDoubtful)},
		{Name: eventEnd, Src: []string{string(StateDoubtful), string(StateHeld)}, Dst: string(StateLost)},
		{Name: eventGrant, Src: []string{string(StateAcquiring)}, Dst: string(StateHeld)},
		{
			Name: eventRelease,
			Src: []string{
				string(StateAcquiring), string(StateDoubtful), string(StateFree), string(StateHeld), string(StateLost),
			},
			Dst: string(StateFree),
		},
	}, fsm.Callbacks{})
}

// Lifecycle determines from the times of calls and replies whether a holder may
// act, that is, use the rights of the lease. It does no I/O and is not safe for
// concurrent use.
type Lifecycle struct {
	// Margin is the time from the deadline, after which the holder must not act, to
	// the earliest possible end of the lease.
	Margin time.Duration

	deadline     time.Time
	fencingToken int64
	machine      *fsm.FSM
}

// Acquire records that the holder starts trying to acquire the lease.
func (l *Lifecycle) Acquire() { l.event(eventAcquire) }

// Granted records that the lease was acquired with a fencing token. sent is when
// the call that last extended the lease by ttl was sent. If the deadline has
// already passed, the lease is doubtful immediately.
func (l *Lifecycle) Granted(sent, now time.Time, ttl time.Duration, fencingToken int64) {
	l.event(eventGrant)
	l.fencingToken = fencingToken
	l.deadline = sent.Add(ttl - l.Margin)
	l.Advance(now)
}

// Renewed records the reply to a renewal that was sent at sent. ttl is the time to
// live in the reply; zero means that the lease has ended.
func (l *Lifecycle) Renewed(sent, now time.Time, ttl time.Duration) {
	if ttl <= 0 {
		l.event(eventEnd)
		return
	}
	// A reply that arrives out of order must not shorten the lease.
	if deadline := sent.Add(ttl - l.Margin); deadline.After(l.deadline) {
		l.deadline = deadline
	}
	if beforeOnBothClocks(now, l.deadline) {
		l.event(eventConfirm)
	}
	l.Advance(now)
}

// Released records that the holder has released the lease.
func (l *Lifecycle) Released() { l.event(eventRelease) }

// Advance changes the state from held to doubtful if the deadline has passed.
func (l *Lifecycle) Advance(now time.Time) {
	if l.State() == StateHeld && !beforeOnBothClocks(now, l.deadline) {
		l.event(eventDoubt)
	}
}

// State returns the state as of the last event.
func (l *Lifecycle) State() State {
	if l.machine == nil {
		l.machine = newStateMachine()
	}
	return State(l.machine.Current())
}

// Held returns the fencing token, the deadline, and whether the holder may
// act at now.
func (l *Lifecycle) Held(now time.Time) (fencingToken int64, deadline time.Time, ok bool) {
	ok = l.State() == StateHeld && beforeOnBothClocks(now, l.deadline)
	return l.fencingToken, l.deadline, ok
}

// beforeOnBothClocks reports whether now is before deadline by the monotonic
// clock and by the wall clock. The monotonic clock alone does not suffice because
// it stops while a machine is suspended.
func beforeOnBothClocks(now, deadline time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

func (l *Lifecycle) event(name string) {
	if l.machine == nil {
		l.machine = newStateMachine()
	}
	err := l.machine.Event(context.Background(), name)
	var noTransition fsm.NoTransitionError
	if err != nil && !errors.As(err, &noTransition) {
		// Events that do not apply in the current state are ignored, such as a
		// reply to a renewal that arrives after the lease was released.
		return
	}
}
