package loading

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/elapsed"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

const (
	// roundInterval is how often the plan is made without a change.
	roundInterval = 250 * time.Millisecond
	// loadTimeout is how long an accepted order may take before the engine is
	// asked what became of it. A load takes 0.9 s, longer when several load.
	loadTimeout = 3 * time.Second
	// permitAge is how old a permission may be when its order is sent. The store
	// answers within this time when it is slowed ninety times.
	permitAge = 500 * time.Millisecond
	// orderSlack is added to the least time between orders of two hosts: an order is
	// sent within permitAge of its permission and under way for 0.8 s at most.
	orderSlack = permitAge + 800*time.Millisecond
	// doubtTimeout is how long an engine whose answer was lost is left alone
	// before it is asked.
	doubtTimeout = time.Second
)

// Verdict is an engine's answer to an order.
type Verdict string

// The verdicts.
const (
	VerdictAccepted Verdict = "accepted"
	// VerdictHolds means that the engine has the version already.
	VerdictHolds Verdict = "holds"
	// VerdictRefused means that the engine did not take the order, since
	// another is under way or its count of orders is another one.
	VerdictRefused Verdict = "refused"
)

// Status is what an engine says of itself.
type Status struct {
	Busy     bool
	Orders   int64
	Versions map[string]int64
}

// Authority is what a giver shows with an order.
type Authority struct {
	// Fence is the fencing number, higher than that of each earlier giver.
	Fence  int64
	Holder string
}

// Register is where the right to order engines is settled between hosts.
type Register interface {
	// Permit tells which hosts are alive.
	Permit(ctx context.Context) (Permit, error)
	// Enter notes that this host orders engines and returns the fencing number
	// of the orders. It fails if the permit does not hold.
	Enter(ctx context.Context, permit Permit, engines []string, now time.Time) (int64, error)
	// Records returns the last order of each engine.
	Records(ctx context.Context) (map[string]Record, error)
}

// Engines passes orders to model engines.
type Engines interface {
	// Load orders a version. The engine takes the order only if it has accepted
	// expected orders since its start, now or when a delayed order arrives. An
	// error means that the outcome is not known.
	Load(ctx context.Context, order Order, authority Authority, expected int64) (Verdict, error)
	// Status asks an engine.
	Status(ctx context.Context, server inventory.Server) (Status, error)
}

// Giver gives orders to the engines that are this host's: those for which it
// ranks first among the living hosts. Each order is entered in the register
// before it is given, under the condition that the list of hosts still ranks
// this host first; the store's revision of the entry is the fencing number. A host that
// became first for an engine reads who ordered it last, and waits the spacing if
// that was another host a moment ago. The loss of a host leaves only its own
// engines without orders for that time. The fields are set before Run.
type Giver struct {
	Config    func() *config.Config
	Engines   Engines
	Inventory *inventory.Inventory
	Logger    *slog.Logger
	// Now is the clock; nil means time.Now.
	Now      func() time.Time
	Register Register
	// Self is the id of this host.
	Self string
	// Spacing is the least time between orders of two hosts to one engine.
	Spacing time.Duration

	mu    sync.Mutex
	given metric.Int64Counter
	// idle is set while other hosts give all orders.
	idle   bool
	named  map[string]int64
	orders map[string]*progress
	rights rights
}

// target is a version that an engine is to hold.
type target struct {
	model   string
	version int64
}

// progress is the newest order to one engine.
type progress struct {
	accepted bool
	// due is the next order, and dueSince since when it is due.
	due      target
	dueSince time.Time
	// known is true once the engine has told how many orders it has accepted.
	known bool
	model string
	// next is the number of orders that the engine has accepted.
	next int64
	// pending is true while the engine may be loading.
	pending bool
	sent    time.Time
	started int64
	version int64
}

// Named notes the newest version of a model.
func (g *Giver) Named(model string, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.named == nil {
		g.named = make(map[string]int64)
	}
	if version > g.named[model] {
		g.named[model] = version
		g.Logger.Info("version named", slog.String("model", model), slog.Int64("version", version))
	}
}

// Observe takes over the list of living hosts as this host has heard of it.
func (g *Giver) Observe(hosts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setHosts(hosts)
}

// setHosts takes over the list of living hosts. A host that gives no orders under it
// forgets what it knew of engines, so that it reads their records before it orders
// again. g.mu is held.
func (g *Giver) setHosts(hosts []string) {
	g.rights.givers = givers(hosts)
	g.idle = len(hosts) > 0 && !slices.Contains(g.rights.givers, g.Self)
	if g.idle {
		g.rights.engines = nil
		clear(g.orders)
	}
}

// Run gives orders until ctx ends.
func (g *Giver) Run(ctx context.Context) error {
	g.mu.Lock()
	g.orders = make(map[string]*progress)
	g.given = newCounter(g.Logger)
	g.rights.self, g.rights.spacing = g.Self, g.Spacing+orderSlack
	g.mu.Unlock()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := g.Inventory.Changed()
		g.round(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
			// Several changes of the same moment make one round.
			wait.For(ctx, roundInterval/10)
		case <-ticker.C:
		}
	}
	return nil
}

// round gives the orders that are due and asks the engines that are in doubt.
func (g *Giver) round(ctx context.Context) {
	c := g.Config()
	g.mu.Lock()
	idle := g.idle
	g.mu.Unlock()
	if c == nil || idle {
		return
	}
	var orders []Order
	var doubtful []inventory.Server
	for _, service := range c.Services {
		if len(service.Models) > 0 {
			due, ask := g.due(service, g.now())
			orders, doubtful = append(orders, due...), append(doubtful, ask...)
		}
	}
	g.readRecords(ctx)
	asked := elapsed.Now(g.Now)
	orders, fence := g.permitted(ctx, orders)
	group, groupCtx := errgroup.WithContext(ctx)
	for _, order := range orders {
		group.Go(func() error {
			g.give(groupCtx, order, fence, asked)
			return nil
		})
	}
	for _, server := range doubtful {
		group.Go(func() error {
			g.ask(groupCtx, server)
			return nil
		})
	}
	_ = group.Wait()
}

// readRecords reads the last orders of the engines that became this host's.
func (g *Giver) readRecords(ctx context.Context) {
	g.mu.Lock()
	var unread []string
	for id := range g.orders {
		if g.rights.rank(id) {
			unread = append(unread, id)
		}
	}
	g.mu.Unlock()
	if len(unread) == 0 {
		return
	}
	permit, err := g.Register.Permit(ctx)
	if err != nil {
		g.Logger.LogAttrs(ctx, slog.LevelInfo, "list of hosts unknown before last orders are read", slog.Any("error", err))
	}
	g.readRecordsOf(ctx, unread, permit.Epoch())
}

// readRecordsOf reads the last orders of engines under a list of hosts.
func (g *Giver) readRecordsOf(ctx context.Context, unread []string, epoch int64) {
	records, err := g.Register.Records(ctx)
	if err != nil {
		g.Logger.LogAttrs(ctx, slog.LevelWarn, "last orders not read", slog.Any("error", err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, id := range unread {
		record, found := records[id]
		g.rights.take(id, record, found, now, epoch)
		right, ok := g.rights.engines[id]
		if !ok {
			continue // This host gives no orders any more.
		}
		g.Logger.LogAttrs(ctx, slog.LevelInfo, "engine is this host's", slog.String("server", id),
			slog.String("last-host", record.Host), slog.Int64("epoch", epoch),
			slog.Duration("orders-in", right.from.Sub(now)))
	}
}

// permitted returns the orders that this host may give now, and their fencing
// number.
func (g *Giver) permitted(ctx context.Context, orders []Order) ([]Order, int64) {
	if len(orders) == 0 {
		return nil, 0
	}
	permit, err := g.Register.Permit(ctx)
	if err != nil {
		g.Logger.LogAttrs(ctx, slog.LevelWarn, "orders not given, the list of hosts is unknown",
			slog.Int("orders", len(orders)), slog.Any("error", err))
		return nil, 0
	}
	g.renew(ctx, permit, orders)
	g.mu.Lock()
	var permitted []Order
	var engines []string
	for _, order := range orders {
		g.rights.rank(order.Server.ID)
		if g.rights.may(order.Server.ID, g.now()) {
			permitted = append(permitted, order)
			engines = append(engines, order.Server.ID)
		}
	}
	g.mu.Unlock()
	if len(engines) == 0 {
		return nil, 0
	}
	fence, err := g.Register.Enter(ctx, permit, engines, g.now())
	if err != nil {
		g.Logger.LogAttrs(ctx, slog.LevelWarn, "orders not given, they could not be entered",
			slog.Any("engines", engines), slog.Any("error", err))
		return nil, 0
	}
	return permitted, fence
}

// renew reads the records of engines again that were read under another list of hosts.
func (g *Giver) renew(ctx context.Context, permit Permit, orders []Order) {
	g.mu.Lock()
	g.setHosts(permit.Hosts)
	var old []string
	for _, order := range orders {
		g.rights.rank(order.Server.ID)
		if g.rights.isOld(order.Server.ID, permit.Epoch()) {
			old = append(old, order.Server.ID)
		}
	}
	g.mu.Unlock()
	if len(old) > 0 {
		g.readRecordsOf(ctx, old, permit.Epoch())
	}
}

func (g *Giver) now() time.Time {
	if g.Now != nil {
		return g.Now()
	}
	return time.Now()
}

// due returns the orders of one service and the engines to ask.
func (g *Giver) due(service config.Service, now time.Time) (orders []Order, doubtful []inventory.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	servers, busy, doubtful := g.observe(service, now)
	for rank, order := range Plan(servers, service.Models, g.named, busy) {
		p := g.orders[order.Server.ID]
		if due := (target{order.Model, order.Version}); p.due != due {
			p.due, p.dueSince = due, now
		}
		switch {
		case !g.rights.may(order.Server.ID, now) || now.Sub(p.dueSince) < Delay(rank, len(servers)):
		case p.known:
			orders = append(orders, order)
		default:
			doubtful = append(doubtful, order.Server)
		}
	}
	return orders, doubtful
}

// observe notes which orders are carried out. It returns the engines, those
// that are loading, and those whose order is in doubt. g.mu is held.
func (g *Giver) observe(
	service config.Service, now time.Time,
) (servers []inventory.Server, busy map[string]bool, doubtful []inventory.Server) {
	busy = make(map[string]bool)
	for _, candidate := range g.Inventory.Candidates(service.Name) {
		server := candidate.Server
		server.Versions = candidate.Versions
		servers = append(servers, server)
		p := g.orders[server.ID]
		if p == nil || p.started != server.Started {
			p = &progress{started: server.Started}
			g.orders[server.ID] = p
		}
		if p.pending && server.Versions[p.model] >= p.version {
			p.pending = false
			// Without an answer it isn't known whether this order brought it there.
			p.known = p.known && p.accepted
			g.Logger.Info("engine holds version", slog.String("server", server.ID), slog.String("model", p.model),
				slog.Int64("version", p.version), slog.Duration("after", now.Sub(p.sent)))
		}
		if !p.pending {
			continue
		}
		busy[server.ID] = true
		if wait := now.Sub(p.sent); wait > loadTimeout || !p.accepted && wait > doubtTimeout {
			doubtful = append(doubtful, server)
		}
	}
	return servers, busy, doubtful
}

// give sends one order, unless its permission was asked for too long ago: this process
// may have been paused or its call delayed, and another host may order the engine now.
func (g *Giver) give(ctx context.Context, order Order, fence int64, asked elapsed.Mark) {
	if age := asked.Since(g.Now); age > permitAge {
		g.Logger.LogAttrs(ctx, slog.LevelWarn, "order not given, its permission is old", slog.String("server", order.Server.ID),
			slog.String("model", order.Model), slog.Int64("fence", fence), slog.Duration("age", age))
		return
	}
	g.mu.Lock()
	p := g.orders[order.Server.ID]
	if p == nil {
		// Another host gives the engine's orders by now.
		g.mu.Unlock()
		return
	}
	p.accepted, p.model, p.pending, p.sent, p.version = false, order.Model, true, time.Now(), order.Version
	expected := p.next
	g.mu.Unlock()
	verdict, err := g.Engines.Load(ctx, order, Authority{Fence: fence, Holder: g.Self}, expected)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch verdict {
	case VerdictAccepted:
		p.accepted, p.next = true, expected+1
	case VerdictHolds:
		p.pending = false
		g.Inventory.SawVersion(order.Server.ID, order.Model, order.Version)
	case VerdictRefused:
		// Asked at the next round.
		p.sent = p.sent.Add(-doubtTimeout)
	}
	if g.given != nil {
		g.given.Add(ctx, 1, metric.WithAttributes(attribute.String("verdict", string(verdict))))
	}
	g.Logger.LogAttrs(ctx, slog.LevelInfo, "load ordered", slog.String("server", order.Server.ID),
		slog.String("model", order.Model), slog.Int64("version", order.Version), slog.Int64("expected", expected),
		slog.Int64("fence", fence), slog.String("verdict", string(verdict)), slog.Any("error", err))
}

// ask learns from an engine what became of its order.
func (g *Giver) ask(ctx context.Context, server inventory.Server) {
	status, err := g.Engines.Status(ctx, server)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.orders[server.ID]
	if p == nil {
		return // Another host gives the engine's orders by now.
	}
	if err != nil {
		p.sent = time.Now()
		g.Logger.LogAttrs(ctx, slog.LevelInfo, "engine did not tell its state", slog.String("server", server.ID), slog.Any("error", err))
		return
	}
	p.known, p.next = true, status.Orders
	p.pending = status.Busy
	p.accepted, p.sent = true, time.Now()
	for model, version := range status.Versions {
		g.Inventory.SawVersion(server.ID, model, version)
	}
	g.Logger.LogAttrs(ctx, slog.LevelInfo, "engine told its state", slog.String("server", server.ID),
		slog.Bool("busy", status.Busy), slog.Int64("orders", status.Orders), slog.Any("versions", status.Versions))
}

func newCounter(logger *slog.Logger) metric.Int64Counter {
	counter, err := otel.Meter("nutmegway/loading").Int64Counter("nutmegway.loading.orders",
		metric.WithDescription("Orders to model engines by verdict; an empty one is an answer that was lost."))
	if err != nil {
		logger.Error("metric not made", slog.Any("error", err))
		return nil
	}
	return counter
}
