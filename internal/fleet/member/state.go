package member

import (
	"context"

	"github.com/looplab/fsm"

	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

// State is the state of a node as seen by its peers. Whether a node is leaving
// is recorded separately, since a leaving node can become unreachable too.
type State string

// The states of a node.
const (
	// StateAlive nodes answer probes.
	StateAlive State = "alive"
	// StateGone nodes have terminated and do not return with this incarnation.
	StateGone State = "gone"
	// StateSuspect nodes missed a probe and can still refute the suspicion.
	StateSuspect State = "suspect"
	// StateUnreachable nodes did not refute a suspicion in time. They are kept
	// and probed periodically, since a network partition between regions cannot
	// be distinguished from a failure.
	StateUnreachable State = "unreachable"
)

// transitions lists the transitions within one incarnation, each named after
// its target state. A higher incarnation may enter any state.
var transitions = fsm.Events{
	{Name: string(StateSuspect), Src: []string{string(StateAlive)}, Dst: string(StateSuspect)},
	{Name: string(StateUnreachable), Src: []string{string(StateAlive), string(StateSuspect)}, Dst: string(StateUnreachable)},
	{Name: string(StateGone), Src: []string{string(StateAlive), string(StateSuspect), string(StateUnreachable)}, Dst: string(StateGone)},
}

// stateMachine checks the transitions of all records of a table.
type stateMachine struct{ fsm *fsm.FSM }

func newStateMachine() stateMachine {
	return stateMachine{fsm: fsm.NewFSM(string(StateAlive), transitions, nil)}
}

// canTransition reports whether a record may change from one state to the other
// within one incarnation.
func (m stateMachine) canTransition(from, to State) bool {
	m.fsm.SetState(string(from))
	return m.fsm.Event(context.Background(), string(to)) == nil
}

var stateToWire = map[State]memberpb.State{
	StateAlive:       memberpb.State_STATE_ALIVE,
	StateGone:        memberpb.State_STATE_GONE,
	StateSuspect:     memberpb.State_STATE_SUSPECT,
	StateUnreachable: memberpb.State_STATE_UNREACHABLE,
}

var stateFromWire = map[memberpb.State]State{
	memberpb.State_STATE_ALIVE:       StateAlive,
	memberpb.State_STATE_GONE:        StateGone,
	memberpb.State_STATE_SUSPECT:     StateSuspect,
	memberpb.State_STATE_UNREACHABLE: StateUnreachable,
}
