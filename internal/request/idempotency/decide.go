package idempotency

import (
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// DepartedGrace is how long a repeated request keeps waiting for the answer of a
// node that is no longer a member. A node that is leaving finishes its requests.
const DepartedGrace = 2 * time.Second

// HolderState is what a node knows of the holder of a record. The holder is the
// process that made the attempt.
type HolderState string

// The states of a holder.
const (
	// HolderDeparted means that the holder's node is not a member.
	HolderDeparted HolderState = "departed"
	// HolderEnded means that the attempt is no longer running: either the holder's
	// node runs a newer process, or it is this node, which runs no such attempt.
	HolderEnded HolderState = "gone"
	// HolderMember means that the holder's node is a member.
	HolderMember HolderState = "member"
)

// Action is what to do with a request whose key has a record.
type Action string

// The actions.
const (
	// ActionRefuse returns an error of Decision.Kind.
	ActionRefuse Action = "refuse"
	// ActionReplay returns the recorded answer.
	ActionReplay Action = "replay"
	// ActionTakeOver replaces the record with an intent of the new attempt.
	ActionTakeOver Action = "take-over"
	// ActionWait reads the record again later.
	ActionWait Action = "wait"
)

// DecisionInput is the input of Decide.
type DecisionInput struct {
	Deadline    time.Time
	Fingerprint string
	Holder      HolderState
	Now         time.Time
	Record      Record
	// WaitingSince is when the request began to wait for the record to change.
	WaitingSince time.Time
}

// Decision is the action to take and, for ActionRefuse, the kind of the error.
type Decision struct {
	Kind   kind.Kind
	Action Action
}

// Decide returns what to do with a request whose key has a record. It allows a new
// attempt only if no earlier attempt can have run.
func Decide(in DecisionInput) Decision {
	if in.Record.Fingerprint != in.Fingerprint {
		return Decision{Kind: kind.KeyReused, Action: ActionRefuse}
	}
	switch in.Record.State {
	case StateAnswered:
		return Decision{Action: ActionReplay}
	case StateNotRun:
		return Decision{Action: ActionTakeOver}
	case StateTooLarge:
		return Decision{Kind: kind.AnswerNotKept, Action: ActionRefuse}
	case StateIntent:
		return decideIntent(in)
	default:
		return Decision{Kind: kind.OutcomeUnknown, Action: ActionRefuse}
	}
}

// decideIntent decides to wait as long as the attempt may still be answered.
func decideIntent(in DecisionInput) Decision {
	unknown := Decision{Kind: kind.OutcomeUnknown, Action: ActionRefuse}
	switch {
	case !in.Now.Before(in.Deadline):
		return unknown
	case in.Holder == HolderEnded:
		return unknown
	case in.Holder == HolderDeparted && in.Now.Sub(in.WaitingSince) >= DepartedGrace:
		return unknown
	default:
		return Decision{Action: ActionWait}
	}
}
