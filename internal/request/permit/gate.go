// Package permit keeps the request limits that backend servers name.
package permit

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
)

// Gate learns the request limits of servers from their answers. The exported fields are set
// before the first call.
type Gate struct {
	Dialect   dialect.Dialect
	Inventory *inventory.Inventory
	Logger    *slog.Logger

	once     sync.Once
	requests metric.Int64Counter

	mu sync.Mutex
	// sent counts the requests to each limited server, by purpose.
	sent map[string]map[plain.Purpose]int
}

var _ plain.Gate = (*Gate)(nil)

func (g *Gate) init() {
	g.once.Do(func() {
		requests, err := otel.Meter("nutmegway/permit").Int64Counter("nutmegway.limited.requests",
			metric.WithDescription("Requests for backend servers with a request limit, by purpose."))
		if err != nil {
			g.Logger.Error("cannot create metric", slog.Any("error", err))
		}
		g.requests = requests
		g.sent = make(map[string]map[plain.Purpose]int)
	})
}

// Admit implements plain.Gate.
func (g *Gate) Admit(ctx context.Context, server string, purpose plain.Purpose) error {
	if !g.Inventory.RequestLimitOf(server).Named {
		return nil
	}
	g.init()
	g.countSent(ctx, server, purpose)
	return nil
}

func (g *Gate) countSent(ctx context.Context, server string, purpose plain.Purpose) {
	if g.requests != nil {
		g.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("purpose", string(purpose))))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if counts, ok := g.sent[server]; ok {
		counts[purpose]++
	}
}

// Observe implements plain.Gate.
func (g *Gate) Observe(server string, header http.Header, sent time.Time) {
	perSecond, named := g.Dialect.ParseRequestLimit(header)
	limit := inventory.RequestLimit{Named: named, PerSecond: perSecond}
	before := g.Inventory.RecordRequestLimit(server, limit, sent)
	if before == limit || g.Inventory.RequestLimitOf(server) != limit {
		return
	}
	g.init()
	g.mu.Lock()
	counts := g.sent[server]
	delete(g.sent, server)
	if named {
		g.sent[server] = make(map[plain.Purpose]int)
	}
	g.mu.Unlock()
	known, _ := g.Inventory.Get(server)
	g.Logger.Info("request limit of server changed", slog.String("server", server), slog.String("service", known.Service),
		slog.Bool("named", named), slog.Float64("per-second", perSecond), slog.Bool("named-before", before.Named),
		slog.Float64("per-second-before", before.PerSecond), slog.Any("sent-under-it", counts))
}
