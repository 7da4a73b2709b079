package batchrun

import (
	"context"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/rollout/reward"
)

// instruments records the outcomes and durations of item runs and of attempts
// of reward calls. The zero value records nothing.
type instruments struct {
	rewards       metric.Int64Counter
	rewardSeconds metric.Float64Histogram
	runs          metric.Int64Counter
	runSeconds    metric.Float64Histogram
}

func newInstruments(logger *slog.Logger) instruments {
	meter := otel.Meter("nutmegway/batchrun")
	runs, err := meter.Int64Counter("nutmegway.batch.runs",
		metric.WithDescription("Runs of items at model engines by outcome."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	seconds, err := meter.Float64Histogram("nutmegway.batch.run.duration",
		metric.WithDescription("Time of a run of an item by outcome."), metric.WithUnit("s"))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	rewards, err := meter.Int64Counter("nutmegway.batch.rewards",
		metric.WithDescription("Tries of reward calls at plain servers by verdict."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	rewardSeconds, err := meter.Float64Histogram("nutmegway.batch.reward.duration",
		metric.WithDescription("Time of a try of a reward call by verdict."), metric.WithUnit("s"))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	return instruments{rewards: rewards, rewardSeconds: rewardSeconds, runs: runs, runSeconds: seconds}
}

func (i instruments) recordRun(outcome generation.Outcome, took time.Duration) {
	if i.runs == nil || i.runSeconds == nil {
		return
	}
	attributes := metric.WithAttributes(attribute.String("outcome", string(outcome)))
	i.runs.Add(context.Background(), 1, attributes)
	i.runSeconds.Record(context.Background(), took.Seconds(), attributes)
}

func (i instruments) recordReward(verdict reward.Verdict, took time.Duration) {
	if i.rewards == nil || i.rewardSeconds == nil {
		return
	}
	attributes := metric.WithAttributes(attribute.String("verdict", verdict.String()))
	i.rewards.Add(context.Background(), 1, attributes)
	i.rewardSeconds.Record(context.Background(), took.Seconds(), attributes)
}
