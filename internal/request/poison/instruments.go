package poison

import (
	"context"
	"log/slog"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// The decisions of a KVRegistry, as values of the metric's attribute.
const (
	decisionCleared   = "cleared"
	decisionRefused   = "refused"
	decisionSuspected = "suspected"
	decisionTried     = "tried"
)

// instruments holds the metrics of a KVRegistry. The zero value counts nothing.
type instruments struct {
	decisions metric.Int64Counter
}

func newInstruments(logger *slog.Logger) instruments {
	decisions, err := otel.Meter("nutmegway/poison").Int64Counter("nutmegway.poison.decisions",
		metric.WithDescription("Decisions on contents under which backend servers ended: suspected, refused, tried or cleared."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
	}
	return instruments{decisions: decisions}
}

func (i instruments) count(ctx context.Context, decision string) {
	if i.decisions != nil {
		i.decisions.Add(ctx, 1, metric.WithAttributes(attribute.String("decision", decision)))
	}
}
