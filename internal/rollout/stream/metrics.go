package stream

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// outcomeDelivered is the outcome of a position that was sent to the trainer.
// The other outcomes are the reasons why a position is void.
const outcomeDelivered = "handed-over"

// Errors are ignored: an instrument that could not be created records nothing.
var (
	meter = otel.Meter("nutmegway/stream")

	positions, _ = meter.Int64Counter("nutmegway.stream.positions",
		metric.WithDescription("Positions of trainers' streams by outcome: handed over, or why they are void."))
	staleness, _ = meter.Int64Histogram("nutmegway.stream.staleness",
		metric.WithDescription("Versions that the oldest token of a sample lies behind the newest at its first hand-over."),
		metric.WithExplicitBucketBoundaries(0, 1, 2, 3, 4, 8, 16))
)

// countDelivery records a position that is about to be delivered for the first
// time. The caller holds l.mu.
func (l *Log) countDelivery(e *entry, position int64) {
	if position < l.delivered {
		return
	}
	ctx := context.Background()
	positions.Add(ctx, 1, l.attributes(outcomeDelivered))
	staleness.Record(ctx, max(0, l.Published()-e.oldestVersion), l.attributes(outcomeDelivered))
}

// countVoid records a position that becomes void instead of being delivered.
func (l *Log) countVoid(reason string) {
	positions.Add(context.Background(), 1, l.attributes(reason))
}

func (l *Log) attributes(outcome string) metric.MeasurementOption {
	return metric.WithAttributes(
		attribute.String("outcome", outcome),
		attribute.String("service", l.Name.Service),
		attribute.String("trainer", l.Name.Trainer))
}
