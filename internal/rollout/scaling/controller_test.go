package scaling_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/duty"
	"github.com/nutmegway/nutmegway/internal/rollout/scaling"
)

// platform answers orders with the error for their zone.
type platform struct {
	mu     sync.Mutex
	errs   map[string]error
	orders []duty.ServerOrder
}

func (p *platform) OrderServers(_ context.Context, _ duty.Term, order duty.ServerOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, order)
	return p.errs[order.Zone]
}

func (p *platform) sent() []duty.ServerOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]duty.ServerOrder(nil), p.orders...)
}

// controllerOf returns a controller of a service with two servers and 200 items that wait.
func controllerOf(orders *platform, scale config.Scaling, term func() (duty.Term, bool)) *scaling.Controller {
	cfg := &config.Config{
		Routes: []config.Route{{Repeat: config.RepeatBatch, Targets: []config.Target{{Service: service, Weight: 1}}}},
		Services: map[string]config.Service{
			service: {Name: service, Scaling: &scale, Slots: slots}, "fixed": {Name: "fixed", Slots: slots},
		},
	}
	servers := &inventory.Inventory{}
	for i, zone := range []string{"a", "b"} {
		servers.Set(inventory.Server{ID: strconv.Itoa(i), Service: service, Slots: slots, Zone: zone})
	}
	return &scaling.Controller{
		Config: func() *config.Config { return cfg },
		Demand: func(context.Context) scaling.Demand {
			return scaling.Demand{Complete: true, Paces: []scaling.Pace{{Busy: time.Second, Items: 1, Service: service}}, Batches: []scaling.Batch{{
				ID: "1", Items: 200, Model: "x", RunTarget: 5 * time.Second, Service: service, Unfinished: 200,
			}}}
		},
		Inventory: servers, Logger: slog.New(slog.DiscardHandler), Orders: orders, Term: term,
	}
}

func run(t *testing.T, c *scaling.Controller, length time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	is.New(t).NoErr(c.Run(ctx))
}

// TestRefusedOrders has 200 items wait and the cheaper zone without servers: the other zone
// gets the order at once.
func TestRefusedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		orders := &platform{errs: map[string]error{"b": kind.New(kind.Conflict, "none")}}
		scale := config.Scaling{Boot: time.Second, Max: 30, Min: 1, ZonePrices: map[string]float64{"a": 1, "b": 0.5}}
		run(t, controllerOf(orders, scale, func() (duty.Term, bool) { return duty.Term{Fence: 1}, true }), 1500*time.Millisecond)
		sent := orders.sent()
		is.Equal(len(sent), 2)
		is.Equal(sent[0].Zone, "b")
		is.Equal(sent[1].Zone, "a")
		is.True(sent[1].Servers > 8 && sent[1].Servers <= scale.Max)
	})
}

// TestTermEnds has the duties end between two orders of one decision, and no duties at all.
func TestTermEnds(t *testing.T) {
	for name, calls := range map[string]int{"between orders": 1, "before": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				orders := &platform{}
				scale := config.Scaling{Boot: time.Second, Max: 30, Min: 1, SpotPrice: 0.1, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1}}
				run(t, controllerOf(orders, scale, func() (duty.Term, bool) {
					return duty.Term{Fence: 1}, len(orders.sent()) < calls
				}), 5*time.Second)
				is.New(t).Equal(len(orders.sent()), calls)
			})
		})
	}
}

// TestOtherRequests has a service whose servers also run single requests, whose demand isn't
// known: none are ordered.
func TestOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		orders := &platform{}
		c := controllerOf(orders, config.Scaling{Max: 30, Min: 1}, func() (duty.Term, bool) { return duty.Term{Fence: 1}, true })
		cfg := *c.Config()
		cfg.Routes = append(cfg.Routes, config.Route{Repeat: config.RepeatIdempotent, Targets: []config.Target{{Service: service, Weight: 1}}})
		c.Config = func() *config.Config { return &cfg }
		run(t, c, 5*time.Second)
		is.New(t).Equal(len(orders.sent()), 0)
	})
}
