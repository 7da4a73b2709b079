package scaling

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments records decisions and orders. Nil records nothing.
type instruments struct {
	orders  metric.Int64Counter
	present metric.Int64Gauge
	wanted  metric.Int64Gauge
}

func newInstruments(logger *slog.Logger) *instruments {
	meter := otel.Meter("nutmegway/scaling")
	orders, err := meter.Int64Counter("nutmegway.scaling.orders",
		metric.WithDescription("Orders of servers by service, zone, kind and outcome."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
		return nil
	}
	present, err := meter.Int64Gauge("nutmegway.scaling.servers",
		metric.WithDescription("Servers of a service by zone, kind and state, as the holder of the duties counts them."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
		return nil
	}
	wanted, err := meter.Int64Gauge("nutmegway.scaling.servers.wanted",
		metric.WithDescription("Servers that a service needs after the loss of a zone's spot servers."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
		return nil
	}
	return &instruments{orders: orders, present: present, wanted: wanted}
}

func (m *instruments) recordOrder(ctx context.Context, order Order, outcome Outcome) {
	if m == nil {
		return
	}
	m.orders.Add(ctx, 1, metric.WithAttributes(attribute.String("service", order.Service), attribute.String("zone", order.Zone),
		attribute.Bool("spot", order.Spot), attribute.String("outcome", string(outcome))))
}

func (m *instruments) recordDecision(ctx context.Context, service string, decision Decision) {
	if m == nil {
		return
	}
	m.wanted.Record(ctx, int64(decision.Want), metric.WithAttributes(attribute.String("service", service)))
	for _, c := range decision.Counts {
		pool := []attribute.KeyValue{attribute.String("service", service), attribute.String("zone", c.Zone), attribute.Bool("spot", c.Spot)}
		m.present.Record(ctx, int64(c.Serving), metric.WithAttributes(append(pool, attribute.String("state", "serving"))...))
		m.present.Record(ctx, int64(c.Coming), metric.WithAttributes(append(pool, attribute.String("state", "ordered"))...))
	}
}

// describe returns the servers by pool in a short form.
func describe(counts []Count) string {
	parts := make([]string, 0, len(counts))
	for _, c := range counts {
		part := c.Zone
		if c.Spot {
			part += "/spot"
		}
		part += fmt.Sprintf("=%d", c.Serving)
		if c.Coming > 0 {
			part += fmt.Sprintf("+%d", c.Coming)
		}
		if c.Refused {
			part += "!"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " ")
}
