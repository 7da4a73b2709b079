package batchrun

import (
	"errors"
	"log/slog"

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
)

// isQuarantined reports whether the content of an item is refused now. Such an item waits
// until the end of the quarantine or of its batch.
func (br *batchRun) isQuarantined(s *itemState) bool {
	quarantine := br.runner.Quarantine
	return quarantine != nil && quarantine.Refuses(s.content)
}

// admit reports whether an item may be sent to an engine.
func (br *batchRun) admit(s *itemState) bool {
	quarantine := br.runner.Quarantine
	if quarantine == nil {
		return true
	}
	if _, err := quarantine.Admit(br.ctx, s.content); err != nil {
		br.runner.Logger.Info("item not sent to an engine", slog.String("item", s.item.ID), slog.String("batch", br.batch.ID),
			slog.Uint64("content", s.content), slog.Any("error", err))
		return false
	}
	return true
}

// reportResponse reports that an engine has answered with an event or a status.
func (br *batchRun) reportResponse(s *itemState) {
	if quarantine := br.runner.Quarantine; quarantine != nil {
		quarantine.RecordResponse(s.content)
	}
}

// reportRunWithoutEvent reports the outcome of a run that generated no event. A run with an
// event is no suspect: the items that an ending engine was generating outnumber the one that
// ended it, and each further event brings the text nearer to its end.
func (br *batchRun) reportRunWithoutEvent(s *itemState, engine inventory.Server, outcome generation.Outcome, err error) {
	switch {
	case outcome == generation.OutcomeCompleted, outcome == generation.OutcomeFailed, outcome == generation.OutcomeImpossible:
		br.reportResponse(s)
	case br.runner.CrashDetector == nil, br.ctx.Err() != nil, errors.Is(err, errSlow), errors.Is(err, errStaleVersion):
	case outcome == generation.OutcomeBroken, outcome == generation.OutcomeStalled:
		br.runner.CrashDetector.Submit(crashdetect.Incident{
			Broken: outcome == generation.OutcomeBroken, Content: s.content, RequestID: s.item.ID, Server: engine,
		})
	}
}
