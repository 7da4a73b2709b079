package batchrun

import (
	"context"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
)

// instruments count what became of runs of items. The zero value counts nothing.
type instruments struct {
	runs    metric.Int64Counter
	seconds metric.Float64Histogram
}

func newInstruments(logger *slog.Logger) instruments {
	meter := otel.Meter("nutmegway/batchrun")
	runs, err := meter.Int64Counter("nutmegway.batch.runs",
		metric.WithDescription("Runs of items at model engines by outcome."))
	if err != nil {
		logger.Error("metric not made", slog.Any("error", err))
	}
	seconds, err := meter.Float64Histogram("nutmegway.batch.run.duration",
		metric.WithDescription("Time of a run of an item by outcome."), metric.WithUnit("s"))
	if err != nil {
		logger.Error("metric not made", slog.Any("error", err))
	}
	return instruments{runs: runs, seconds: seconds}
}

func (i instruments) count(outcome generation.Outcome, took time.Duration) {
	if i.runs == nil || i.seconds == nil {
		return
	}
	attributes := metric.WithAttributes(attribute.String("outcome", string(outcome)))
	i.runs.Add(context.Background(), 1, attributes)
	i.seconds.Record(context.Background(), took.Seconds(), attributes)
}
