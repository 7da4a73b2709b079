package scaling

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/duty"
)

const (
	// decideInterval is the time between two decisions.
	decideInterval = time.Second
	// maxRounds bounds the decisions that follow each other at once because the servers of an
	// order weren't available.
	maxRounds = 3
	// reasonInterval is the time after which an unchanged decision is logged again.
	reasonInterval = 10 * time.Second
)

// Orderer sends orders to the platform.
type Orderer interface {
	// OrderServers orders servers. The errors are those of duty.Platform.
	OrderServers(ctx context.Context, term duty.Term, order duty.ServerOrder) error
}

// Controller orders the servers of the services whose configuration bounds their number,
// while this host holds the fleet's duties. The exported fields are set before Run.
type Controller struct {
	// Config returns the configuration in force; nil if there is none yet.
	Config func() *config.Config
	// Demand returns what the open batches of all hosts still need.
	Demand    func(ctx context.Context) Demand
	Inventory *inventory.Inventory
	Logger    *slog.Logger
	Orders    Orderer
	// Term returns the term in which this host holds the duties. It returns false if it doesn't.
	Term func() (duty.Term, bool)

	deciders map[string]*Decider
	lastLog  map[string]logged
	metrics  *instruments
	term     duty.Term
}

// logged is the last logged decision of a service.
type logged struct {
	at     time.Time
	reason string
}

// Run decides and orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.metrics = newInstruments(c.Logger)
	for wait.For(ctx, decideInterval) {
		c.reconcile(ctx)
	}
	return nil
}

// reconcile decides for each service. What an earlier term has observed is dropped: another
// host may have held the duties in between. While the term can't be told, nothing is dropped,
// since nobody else has held the duties if it is the same one afterwards.
func (c *Controller) reconcile(ctx context.Context) {
	term, ok := c.Term()
	cfg := c.Config()
	if !ok || cfg == nil {
		return
	}
	if term != c.term || c.deciders == nil {
		c.term, c.deciders, c.lastLog = term, make(map[string]*Decider), make(map[string]logged)
	}
	services := scaled(cfg)
	if len(services) == 0 {
		return
	}
	demand := c.Demand(ctx)
	for _, service := range services {
		d, ok := c.deciders[service.Name]
		if !ok {
			d = &Decider{Service: service.Name}
			c.deciders[service.Name] = d
		}
		c.orderServers(ctx, term, d, service, demand)
	}
}

// scaled returns the services whose number of servers is decided, sorted by name. Their
// servers run nothing but items of batches, since only the demand of batches is known.
func scaled(cfg *config.Config) []config.Service {
	var services []config.Service
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		service := cfg.Services[name]
		if service.Scaling == nil || service.Scaling.Max <= 0 {
			continue
		}
		onlyBatches := true
		for _, route := range cfg.Routes {
			if slices.Contains(route.Services(), name) {
				onlyBatches = onlyBatches && route.Repeat == config.RepeatBatch
			}
		}
		if onlyBatches {
			services = append(services, service)
		}
	}
	return services
}

// orderServers sends the orders that are due for one service. After a refusal it decides
// again at once, so that other servers are ordered instead.
func (c *Controller) orderServers(ctx context.Context, term duty.Term, d *Decider, service config.Service, demand Demand) {
	for range maxRounds {
		decision := d.Decide(time.Now(), *service.Scaling, service.Slots, c.servers(service.Name), demand)
		c.record(ctx, service.Name, decision)
		refused := false
		for _, order := range decision.Orders {
			if current, ok := c.Term(); !ok || current != term || ctx.Err() != nil {
				return
			}
			outcome := c.send(ctx, term, order, decision)
			i := slices.IndexFunc(decision.Counts, func(n Count) bool { return n.Pool == order.Pool })
			d.Record(time.Now(), order, decision.Counts[i].servers(), outcome, *service.Scaling)
			refused = refused || outcome == OutcomeRefused
		}
		if !refused {
			return
		}
	}
}

// servers returns the servers of a service as their entries show them.
func (c *Controller) servers(service string) []Server {
	taking := make(map[string]bool)
	for _, candidate := range c.Inventory.Candidates(service) {
		taking[candidate.ID] = true
	}
	var servers []Server
	for _, s := range c.Inventory.All() {
		if s.Service == service {
			servers = append(servers, Server{Pool: Pool{Zone: s.Zone, Spot: s.Spot}, Leaving: s.Draining || !taking[s.ID]})
		}
	}
	return servers
}

// send sends one order and returns its outcome.
func (c *Controller) send(ctx context.Context, term duty.Term, order Order, decision Decision) Outcome {
	began := time.Now()
	err := c.Orders.OrderServers(ctx, term, duty.ServerOrder{Service: order.Service, Zone: order.Zone, Servers: order.Servers, Spot: order.Spot})
	outcome := outcomeOf(err)
	c.metrics.recordOrder(ctx, order, outcome)
	c.Logger.LogAttrs(ctx, slog.LevelInfo, "servers ordered", slog.String("service", order.Service), slog.String("zone", order.Zone),
		slog.Bool("spot", order.Spot), slog.Int("servers", order.Servers), slog.String("reason", decision.Reason),
		slog.String("outcome", string(outcome)), slog.Int64("fence", term.Fence), slog.Duration("after", time.Since(began)), slog.Any("error", err))
	return outcome
}

// outcomeOf returns the outcome of an order.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeAccepted
	case kind.Is(err, kind.Conflict):
		return OutcomeRefused
	case kind.Is(err, kind.NotOwner), kind.Is(err, kind.Unavailable), kind.Is(err, kind.Overloaded), kind.Is(err, kind.BadRequest):
		return OutcomeNotSent
	}
	return OutcomeUnknown
}

// record logs a decision if it has orders or its reason is new, and sets the metrics.
func (c *Controller) record(ctx context.Context, service string, decision Decision) {
	c.metrics.recordDecision(ctx, service, decision)
	last := c.lastLog[service]
	if len(decision.Orders) == 0 && last.reason == decision.Reason && time.Since(last.at) < reasonInterval {
		return
	}
	c.lastLog[service] = logged{at: time.Now(), reason: decision.Reason}
	c.Logger.LogAttrs(ctx, slog.LevelInfo, "number of servers decided", slog.String("service", service),
		slog.String("reason", decision.Reason), slog.Int("orders", len(decision.Orders)), slog.Int("guaranteed", Guaranteed(decision.Counts)),
		slog.Int("needed", decision.Least), slog.Int("wanted", decision.Want), slog.Int("kept", decision.Keep), slog.Float64("slots-queued", decision.Need.Queued),
		slog.Float64("slots-promised", decision.Need.Promised), slog.Float64("slots-peak", decision.Need.Peak),
		slog.Int("items-waiting", decision.Need.Waiting), slog.Duration("run-time", decision.Need.RunTime), slog.Bool("settled", decision.Need.Settled), slog.String("servers", describe(decision.Counts)))
}
