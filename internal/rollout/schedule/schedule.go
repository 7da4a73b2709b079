// Package schedule decides which samples of a trainer to start, which to resume on
// a second engine and which attempts to cancel. It does no I/O: a policy is a pure
// function of the state that it is given.
package schedule

import (
	"time"

	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

// Attempt is one running generation of a sample.
type Attempt struct {
	ID string
	// LastChunkAt is when tokens last arrived; zero before the first.
	LastChunkAt time.Time
	// OldestVersion is the lowest weight version among its tokens; zero is none.
	OldestVersion int64
	// ResumedTokens is the number of tokens that it took over from another attempt.
	ResumedTokens int
	Server        string
	// FirstChunkAt is when the first tokens arrived.
	FirstChunkAt time.Time
	StartedAt    time.Time
	// Tokens is the number of tokens so far.
	Tokens int
}

// Sample is an unfinished sample.
type Sample struct {
	Attempts []Attempt
	Index    int
	// NotBefore is the earliest time of the next start; it is set by the back-off
	// after a failure.
	NotBefore time.Time
}

// Group is an accepted order with unfinished samples.
type Group struct {
	Order sample.Group
	// Lengths holds the lengths in tokens of the finished samples.
	Lengths []int
	// Samples holds the unfinished samples, sorted by index.
	Samples []Sample
	// Sequence is the position of the group in the order of acceptance.
	Sequence int64
}

// CostWeights are the weights that the service document gives to the idle time of
// trainers and to the staleness of samples.
type CostWeights struct {
	IdleWeight      float64
	StalenessWeight float64
}

// IdleShare returns the share of the idle weight in the sum of both, from 0 to 1.
// It is one half if neither weight is set.
func (w CostWeights) IdleShare() float64 {
	sum := w.IdleWeight + w.StalenessWeight
	if sum <= 0 {
		return 1.0 / 2
	}
	return w.IdleWeight / sum
}

// State is the input of a policy.
type State struct {
	// Engines is the number of backend servers of the service.
	Engines int
	Groups  []Group
	// MeanTokens is the moving average of the length in tokens of the trainer's
	// finished samples; zero is unknown.
	MeanTokens float64
	Now        time.Time
	// SurplusSamples is the maximum number of spare samples per group.
	SurplusSamples int
	// Published is the newest version of the service's weights.
	Published int64
	// PublishedAt is when Published became known.
	PublishedAt time.Time
	// MeanPublishInterval is the mean interval between versions; zero is unknown.
	MeanPublishInterval time.Duration
	// StepSize is the number of samples in the trainer's last complete burst of
	// orders, which is taken to be one training step; zero is unknown.
	StepSize int
	// TokenRate is the moving average of the tokens per second of one attempt;
	// zero is unknown.
	TokenRate float64
	// Unread is the number of finished samples that the trainer has not read.
	Unread      int
	CostWeights CostWeights
	// Window is the maximum number of concurrent attempts.
	Window int
}

// Start describes an attempt to start.
type Start struct {
	// Exclude is the id of a backend server that must not run the attempt;
	// empty if there is none.
	Exclude string
	// ExpectedTokens is the predicted length in tokens; zero is unknown.
	ExpectedTokens int
	Key            sample.Key
	// MinVersion is the oldest weight version that may run the attempt.
	MinVersion int64
	// ResumeFrom is the id of the attempt whose tokens the new attempt
	// continues; empty if it starts from the prompt.
	ResumeFrom string
	// Spare is the number, from 1 on, of a spare sample that can replace the
	// sample Key; zero is the sample itself.
	Spare int
}

// Decision is the output of a policy.
type Decision struct {
	// Cancel holds the ids of the attempts to cancel.
	Cancel []string
	// Starts holds the attempts to start, in order.
	Starts []Start
	// WakeAt is the next time at which the decision may change without an
	// event; zero if there is none.
	WakeAt time.Time
}

// Policy decides which attempts to start and to cancel.
type Policy interface {
	Decide(state State) Decision
}

// countAttempts returns the number of running attempts.
func countAttempts(state State) int {
	var n int
	for _, group := range state.Groups {
		for _, s := range group.Samples {
			n += len(s.Attempts)
		}
	}
	return n
}

// FIFO is a policy that starts samples in the order of acceptance. It does not
// resume stalled or slow samples and cancels no attempts. It is the baseline in
// benchmarks.
type FIFO struct{}

var _ Policy = FIFO{}

// Decide implements [Policy]. It fills the window in the order of acceptance.
func (FIFO) Decide(state State) Decision {
	free := state.Window - countAttempts(state)
	var decision Decision
	for _, group := range state.Groups {
		for _, s := range group.Samples {
			if free <= 0 {
				return decision
			}
			if len(s.Attempts) > 0 {
				continue
			}
			if s.NotBefore.After(state.Now) {
				decision.wakeBy(s.NotBefore)
				continue
			}
			decision.Starts = append(decision.Starts, Start{
				Key:        sample.Key{Group: group.Order.ID, Index: s.Index},
				MinVersion: state.Published - group.Order.StalenessBound,
			})
			free--
		}
	}
	return decision
}

// wakeBy brings WakeAt forward to at if it is unset or later.
func (d *Decision) wakeBy(at time.Time) {
	if d.WakeAt.IsZero() || at.Before(d.WakeAt) {
		d.WakeAt = at
	}
}
