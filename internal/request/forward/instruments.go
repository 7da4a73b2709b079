package forward

import (
	"context"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments count what became of requests. The zero value counts nothing.
type instruments struct {
	requests metric.Int64Counter
	seconds  metric.Float64Histogram
	tries    metric.Int64Counter
}

func newInstruments(logger *slog.Logger) instruments {
	meter := otel.Meter("nutmegway/forward")
	requests, err := meter.Int64Counter("nutmegway.forward.requests",
		metric.WithDescription("Single requests of callers by outcome: answered, or the kind of the failure."))
	if err != nil {
		logger.Error("metric not made", slog.Any("error", err))
	}
	seconds, err := meter.Float64Histogram("nutmegway.forward.duration",
		metric.WithDescription("Time of a single request by outcome."), metric.WithUnit("s"))
	if err != nil {
		logger.Error("metric not made", slog.Any("error", err))
	}
	tries, err := meter.Int64Counter("nutmegway.forward.tries",
		metric.WithDescription("Tries of single requests at backend servers by outcome: answered, broken, not-run or silent."))
	if err != nil {
		logger.Error("metric not made", slog.Any("error", err))
	}
	return instruments{requests: requests, seconds: seconds, tries: tries}
}

// The outcomes of tries.
const (
	tryAnswered = "answered"
	tryBroken   = "broken"
	tryNotRun   = "not-run"
	trySilent   = "silent"
)

func (i instruments) countTry(ctx context.Context, outcome string) {
	if i.tries != nil {
		i.tries.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
}

func (i instruments) count(ctx context.Context, outcome string, took time.Duration) {
	if i.requests == nil || i.seconds == nil {
		return
	}
	attributes := metric.WithAttributes(attribute.String("outcome", outcome))
	i.requests.Add(ctx, 1, attributes)
	i.seconds.Record(ctx, took.Seconds(), attributes)
}
