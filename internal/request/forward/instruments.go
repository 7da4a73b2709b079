package forward

import (
	"context"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments are the metrics of forwarded requests. The zero value records nothing.
type instruments struct {
	requests metric.Int64Counter
	duration metric.Float64Histogram
	attempts metric.Int64Counter
	// spillovers counts the attempts for which leaving the zone was decided.
	spillovers metric.Int64Counter
}

func newInstruments(logger *slog.Logger) instruments {
	meter := otel.Meter("nutmegway/forward")
	requests, err := meter.Int64Counter("nutmegway.forward.requests",
		metric.WithDescription("Single requests of callers by outcome: answered, interrupted, or the kind of the failure."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	seconds, err := meter.Float64Histogram("nutmegway.forward.duration",
		metric.WithDescription("Time of a single request by outcome."), metric.WithUnit("s"))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	tries, err := meter.Int64Counter("nutmegway.forward.tries",
		metric.WithDescription("Tries of single requests at backend servers by outcome: answered, broken, not-run, handed-on or silent."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	spillovers, err := meter.Int64Counter("nutmegway.forward.zones",
		metric.WithDescription("Tries of single requests by where they went, home or away, and why they stayed or left."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	return instruments{requests: requests, duration: seconds, attempts: tries, spillovers: spillovers}
}

// The outcomes of requests whose caller got the head of an answer, as values of a metric label.
const (
	requestAnswered = "answered"
	// requestInterrupted is a request whose answer was broken off by the server.
	requestInterrupted = "interrupted"
)

// The outcomes of attempts, as values of a metric label.
const (
	attemptAnswered = "answered"
	// attemptBroken is an attempt whose connection failed or whose answer is invalid.
	attemptBroken = "broken"
	// attemptNotRun is an attempt that has not run the request.
	attemptNotRun = "not-run"
	// attemptRelayed is one or more attempts that another host made.
	attemptRelayed = "handed-on"
	// attemptSilent is an attempt without an answer before the request ended.
	attemptSilent = "silent"
)

func (i instruments) countAttempt(ctx context.Context, outcome string) {
	if i.attempts != nil {
		i.attempts.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
}

func (i instruments) countSpillover(ctx context.Context, reason string, leaves bool) {
	if i.spillovers == nil {
		return
	}
	zone := "home"
	if leaves {
		zone = "away"
	}
	i.spillovers.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", reason), attribute.String("zone", zone)))
}

func (i instruments) count(ctx context.Context, outcome string, took time.Duration) {
	if i.requests == nil || i.duration == nil {
		return
	}
	attributes := metric.WithAttributes(attribute.String("outcome", outcome))
	i.requests.Add(ctx, 1, attributes)
	i.duration.Record(ctx, took.Seconds(), attributes)
}
