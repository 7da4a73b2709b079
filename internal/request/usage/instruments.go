package usage

import (
	"context"
	"log/slog"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// The outcomes of windows and of the requests in them. Only requests are late.
const (
	outcomeLate     = "late"
	outcomeLost     = "lost"
	outcomeOverdue  = "overdue"
	outcomeRepeated = "repeated"
	outcomeReported = "reported"
)

// instruments are the metrics of usage. Their zero value records nothing.
type instruments struct {
	windows, requests metric.Int64Counter
}

func newInstruments(logger *slog.Logger) instruments {
	meter := otel.Meter("nutmegway/usage")
	windows, err := meter.Int64Counter("nutmegway.usage.windows",
		metric.WithDescription("Windows of usage by outcome: reported, repeated (a former holder may have reported it), overdue or lost."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
		return instruments{}
	}
	requests, err := meter.Int64Counter("nutmegway.usage.requests",
		metric.WithDescription("Requests in windows of usage by outcome: reported, repeated, overdue, lost, or late for their window."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
		return instruments{}
	}
	return instruments{requests: requests, windows: windows}
}

func (i instruments) countWindow(ctx context.Context, outcome string) {
	if i.windows != nil {
		i.windows.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
}

func (i instruments) countRequests(ctx context.Context, outcome string, n int64) {
	if i.requests != nil {
		i.requests.Add(ctx, n, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
}
