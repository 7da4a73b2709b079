package batchrun

import (
	"errors"
	"log/slog"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	// rejectionBackoff is how long an engine that refused an item gets no further items.
	rejectionBackoff = 150 * time.Millisecond
	// soundFor is how long an engine counts as sound after an event. It is shorter than the
	// time after which a silent run counts as stalled.
	soundFor = 500 * time.Millisecond
	// maxUnprovenShare is the share of a service's engines from which on no further one backs off
	// for all batches while it isn't certain that the engine is at fault.
	maxUnprovenShare = 1.0 / 3
)

// failedRuns returns the number of runs without an event since the last event, not counting those
// that engines refused.
func (s *itemState) failedRuns() int { return s.eventless - s.refused }

// keepsFailing reports whether the last runs of the item failed.
func (s *itemState) keepsFailing() bool { return s.failedRuns() >= failingRuns }

// run is a run of an item that has ended.
type run struct {
	began   time.Time
	err     error
	outcome generation.Outcome
	// responded is set if the engine answered with an event.
	responded bool
}

// isItemFault reports whether the run ended because of its text, which may be the same on every
// engine.
func (r run) isItemFault() bool {
	return errors.Is(r.err, generation.ErrStreamTooLong) || errors.Is(r.err, generation.ErrOutOfOrder)
}

// isSuspect reports whether items of the batch, rather than engines, seem to be at fault: engines
// other than the given one have turned down the item since its last event, or the whole batch,
// which no engine has answered yet. The caller holds the runner's mutex.
func (br *batchRun) isSuspect(s *itemState, engine string) bool {
	return hasOther(s.turnedDownBy, engine) || !br.answered && hasOther(br.turnedDownBy, engine)
}

// hasOther reports whether engines has one beside the given one.
func hasOther(engines map[string]bool, engine string) bool {
	return len(engines) > 1 || len(engines) == 1 && !engines[engine]
}

// mayBlameEngine reports whether an engine may back off for all batches after a run that the item
// may have failed as well. The caller holds the runner's mutex.
func (br *batchRun) mayBlameEngine(s *itemState, engine inventory.Candidate) bool {
	return !br.isSuspect(s, engine.ID) && br.runner.Inventory.BackingOffShare(engine.Service) < maxUnprovenShare
}

// recordBlame backs off the engine of an unsuccessful run. The engine backs off for all batches
// unless the item seems to be the cause: then it backs off for the batch only, until another
// engine has answered the item. The caller holds the runner's mutex.
func (br *batchRun) recordBlame(s *itemState, engine inventory.Candidate, r run) {
	inv, now := br.runner.Inventory, time.Now()
	mayBlame := br.mayBlameEngine(s, engine)
	switch r.outcome {
	case generation.OutcomeUnreachable:
		inv.RecordFailure(engine.ID)
	case generation.OutcomeNotRun:
		if errors.Is(r.err, plain.ErrNotAdmitted) {
			inv.BackOff(engine.ID, kind.Of(r.err).RetryAfter)
			return
		}
		s.eventless++
		s.refused++
		br.recordTurnedDown(s, engine.ID)
		br.backoff.Refused(engine.ID, r.began, now)
		if mayBlame {
			inv.BackOff(engine.ID, rejectionBackoff)
		}
	case generation.OutcomeBroken, generation.OutcomeStalled, generation.OutcomeFailed:
		if errors.Is(r.err, errSlow) || errors.Is(r.err, errStaleVersion) {
			return
		}
		if !r.responded {
			s.eventless++
		}
		if r.responded && !r.isItemFault() {
			inv.RecordFailure(engine.ID)
			return
		}
		br.recordTurnedDown(s, engine.ID)
		s.failedOn[engine.ID] = true
		br.backoff.Failed(engine.ID, r.began, now)
		if mayBlame && !inv.AnsweredSince(engine.ID, now.Add(-soundFor)) {
			inv.RecordFailure(engine.ID)
		}
	case generation.OutcomeUnsendable:
		s.unsendable = true
	case generation.OutcomeCompleted, generation.OutcomeImpossible, generation.OutcomeStopped:
	}
}

// recordTurnedDown records that an engine has refused an item or failed on it.
func (br *batchRun) recordTurnedDown(s *itemState, engine string) {
	if s.turnedDownBy == nil {
		s.turnedDownBy, s.failedOn = make(map[string]bool), make(map[string]bool)
	}
	s.turnedDownBy[engine], br.turnedDownBy[engine] = true, true
}

// recordProgress records that an engine has answered the item with an event. The engines on which
// the item failed before are then at fault and back off for all batches. The caller holds the
// runner's mutex.
func (br *batchRun) recordProgress(s *itemState, engine string) {
	br.answered = true
	s.eventless, s.refused = 0, 0
	br.backoff.Answered(engine)
	for failed := range s.failedOn {
		if failed == engine {
			continue
		}
		wait := br.runner.Inventory.RecordFailure(failed)
		br.runner.Logger.Info("engine backs off: another one runs an item that it failed", slog.String("item", s.item.ID),
			slog.String("batch", br.batch.ID), slog.String("server", failed), slog.String("answered-by", engine), slog.Duration("wait", wait))
	}
	clear(s.turnedDownBy)
	clear(s.failedOn)
}
