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
	// reconcileInterval is the time between two plans while the inventory does
	// not change.
	reconcileInterval = 250 * time.Millisecond
	// loadTimeSmoothing is the weight of a new load in the moving average of load times.
	loadTimeSmoothing = 0.25
	// maxPermitAge is how old a permit may be when its order is sent. The store
	// answers within this time even when it is 90 times slower than usual.
	maxPermitAge = 500 * time.Millisecond
	// maxOrderDelay is the longest time from a permit to the arrival of its order:
	// the order is sent within maxPermitAge and is in transit for at most 0.8 s.
	// It is added to the spacing between the orders of two hosts.
	maxOrderDelay = maxPermitAge + 800*time.Millisecond
	// unknownOutcomeTimeout is how long after an order with a lost reply the status
	// of the engine is queried.
	unknownOutcomeTimeout = time.Second
)

// Verdict is an engine's reply to a load order. An empty verdict means that the
// reply was lost.
type Verdict string

// The verdicts.
const (
	// VerdictAccepted means that the engine accepted the order and loads the version.
	VerdictAccepted Verdict = "accepted"
	// VerdictHolds means that the engine holds the version already.
	VerdictHolds Verdict = "holds"
	// VerdictRefused means that the engine did not accept the order, since
	// another load is in progress or its count of accepted orders is not the
	// expected one.
	VerdictRefused Verdict = "refused"
)

// Status is the status of an engine as it reports it.
type Status struct {
	// Busy is true while the engine loads a version.
	Busy bool
	// KVTokens is the number of tokens that the engine's memory holds; zero if it doesn't say.
	KVTokens int
	// Orders is the number of orders that the engine has accepted since its start.
	Orders int64
	// Versions holds the version of each model.
	Versions map[string]int64
}

// Authority is sent with an order, so that an engine can reject those of an
// earlier owner.
type Authority struct {
	// FencingToken is higher than that of each earlier owner.
	FencingToken int64
	// Holder is the id of the host that sends the order.
	Holder string
}

// OrderRegistry records which host sends load orders to which engine. This
// keeps two hosts from sending orders to one engine at the same time.
type OrderRegistry interface {
	// Permit returns a permit for the host list that this host considers current.
	Permit(ctx context.Context) (Permit, error)
	// RecordOrders records that this host is about to send orders to the
	// engines, and returns the fencing token of the orders. It fails if the
	// host list of the permit is outdated.
	RecordOrders(ctx context.Context, permit Permit, engines []string, now time.Time) (int64, error)
	// LastOrders returns the last order of each engine.
	LastOrders(ctx context.Context) (map[string]LastOrder, error)
}

// Engines is a client of the model engines.
type Engines interface {
	// Load orders an engine to load a version. When the order arrives, even if
	// late, the engine accepts it only if it has accepted exactly expected
	// orders since its start. If err is not nil and the verdict is empty, the
	// outcome is unknown.
	Load(ctx context.Context, order Order, authority Authority, expected int64) (Verdict, error)
	// Status queries the status of an engine.
	Status(ctx context.Context, server inventory.Server) (Status, error)
}

// Controller sends load orders to the engines that this host owns: those for
// which it ranks first among the live controller hosts. Each order is recorded
// in the registry before it is sent. The order is not sent if recording fails,
// which it does if a host was added to the host list that made this host the
// owner, or if this host is no longer listed. The store revision of the record
// is the fencing token. A new owner of an engine reads which host recorded the
// last order to it. If that was another host a short time ago, the new owner
// waits for the spacing. So after the loss of a host only the engines that it
// owned get no orders, for about the spacing. The exported fields are set
// before Run.
type Controller struct {
	Config    func() *config.Config
	Engines   Engines
	Inventory *inventory.Inventory
	Logger    *slog.Logger
	// Now is the clock; nil means time.Now.
	Now      func() time.Time
	Registry OrderRegistry
	// Self is the id of this host.
	Self string
	// Spacing is the least time between orders of two hosts to the same engine.
	Spacing time.Duration

	mu           sync.Mutex
	orderCounter metric.Int64Counter
	// idle is true while this host is not a controller host.
	idle bool
	// loadTime is the moving average of the time from an order to the end of its load.
	loadTime       time.Duration
	newestVersions map[string]int64
	engines        map[string]*engineState
	ownership      ownership
}

// target is a version that an engine is to load.
type target struct {
	model   string
	version int64
}

// engineState is the state of the last order to one engine and of the next one.
type engineState struct {
	// accepted is true if the engine has accepted the last order, or has
	// answered a status query after it.
	accepted bool
	// target is what the next order loads, and targetSince the time since when
	// that order has been due.
	target      target
	targetSince time.Time
	// countKnown is false until the engine has reported orderCount, and again
	// after an order whose reply was lost has been carried out.
	countKnown   bool
	orderedModel string
	// orderCount is the number of orders that the engine has accepted since its
	// start.
	orderCount int64
	// pending is true while the engine may be carrying out the last order.
	pending bool
	// orderedAt is when the last order was sent, and queryAt when the engine is to be
	// asked about its outcome, if nothing else has shown it by then.
	orderedAt, queryAt time.Time
	// startedAt is the start of the engine process to which this state applies.
	startedAt      int64
	orderedVersion int64
}

// SetNewestVersion sets the newest version of a model. Lower versions than the
// present one are ignored.
func (c *Controller) SetNewestVersion(model string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newestVersions == nil {
		c.newestVersions = make(map[string]int64)
	}
	if version > c.newestVersions[model] {
		c.newestVersions[model] = version
		c.Logger.Info("newest version of model changed", slog.String("model", model), slog.Int64("version", version))
	}
}

// SetHosts sets the list of live hosts as this host has received it.
func (c *Controller) SetHosts(hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setHostsLocked(hosts)
}

// setHostsLocked sets the list of live hosts. If this host is not a controller
// host according to the list, its state of the engines is dropped. It then has
// to read their last orders again before it can send them orders. The caller
// holds c.mu.
func (c *Controller) setHostsLocked(hosts []string) {
	c.ownership.controllers = controllerHosts(hosts)
	c.idle = len(hosts) > 0 && !slices.Contains(c.ownership.controllers, c.Self)
	if c.idle {
		c.ownership.engines = nil
		clear(c.engines)
	}
}

// Run sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.engines = make(map[string]*engineState)
	c.orderCounter = newOrderCounter(c.Logger)
	c.ownership.self, c.ownership.spacing = c.Self, c.Spacing+maxOrderDelay
	c.mu.Unlock()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := c.Inventory.Changed()
		c.reconcile(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
			// Changes that follow each other closely are handled together.
			wait.For(ctx, reconcileInterval/10)
		case <-ticker.C:
		}
	}
	return nil
}

// reconcile sends the orders that are due, and queries the engines for which the
// outcome of the last order or the count of orders is unknown.
func (c *Controller) reconcile(ctx context.Context) {
	cfg := c.Config()
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	if cfg == nil || idle {
		return
	}
	var orders []Order
	var unresolved []inventory.Server
	for _, service := range cfg.Services {
		if len(service.Models) > 0 {
			due, unknown := c.dueOrders(service, c.now())
			orders, unresolved = append(orders, due...), append(unresolved, unknown...)
		}
	}
	c.readMissingLastOrders(ctx)
	permitRequestedAt := elapsed.Now(c.Now)
	orders, fencingToken := c.permittedOrders(ctx, orders)
	group, groupCtx := errgroup.WithContext(ctx)
	for _, order := range orders {
		group.Go(func() error {
			c.sendOrder(groupCtx, order, fencingToken, permitRequestedAt)
			return nil
		})
	}
	for _, server := range unresolved {
		group.Go(func() error {
			c.queryEngine(groupCtx, server)
			return nil
		})
	}
	_ = group.Wait()
}

// readMissingLastOrders reads the last orders of the engines that this host
// owns and whose last order it has not read since it became the owner.
func (c *Controller) readMissingLastOrders(ctx context.Context) {
	c.mu.Lock()
	var unread []string
	for id := range c.engines {
		if c.ownership.updateOwner(id) {
			unread = append(unread, id)
		}
	}
	c.mu.Unlock()
	if len(unread) == 0 {
		return
	}
	permit, err := c.Registry.Permit(ctx)
	if err != nil {
		c.Logger.LogAttrs(ctx, slog.LevelInfo, "could not read host list before reading last orders", slog.Any("error", err))
	}
	c.readLastOrders(ctx, unread, permit.Epoch())
}

// readLastOrders reads the last orders of the engines ids. epoch is the epoch
// of the host list that was read before them.
func (c *Controller) readLastOrders(ctx context.Context, ids []string, epoch int64) {
	lastOrders, err := c.Registry.LastOrders(ctx)
	if err != nil {
		c.Logger.LogAttrs(ctx, slog.LevelWarn, "could not read last orders of engines", slog.Any("error", err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, id := range ids {
		last, found := lastOrders[id]
		c.ownership.setLastOrder(id, last, found, now, epoch)
		engine, ok := c.ownership.engines[id]
		if !ok {
			continue // This host is no longer a controller host.
		}
		c.Logger.LogAttrs(ctx, slog.LevelInfo, "engine is now ordered by this host", slog.String("server", id),
			slog.String("last-host", last.Host), slog.Int64("epoch", epoch),
			slog.Duration("orders-in", engine.orderableFrom.Sub(now)))
	}
}

// permittedOrders records those of the orders that this host may send now. It
// returns them and their fencing token.
func (c *Controller) permittedOrders(ctx context.Context, orders []Order) ([]Order, int64) {
	if len(orders) == 0 {
		return nil, 0
	}
	permit, err := c.Registry.Permit(ctx)
	if err != nil {
		c.Logger.LogAttrs(ctx, slog.LevelWarn, "load orders not sent: could not read host list",
			slog.Int("orders", len(orders)), slog.Any("error", err))
		return nil, 0
	}
	c.refreshLastOrders(ctx, permit, orders)
	c.mu.Lock()
	var permitted []Order
	var engines []string
	for _, order := range orders {
		c.ownership.updateOwner(order.Server.ID)
		if c.ownership.mayOrder(order.Server.ID, c.now()) {
			permitted = append(permitted, order)
			engines = append(engines, order.Server.ID)
		}
	}
	c.mu.Unlock()
	if len(engines) == 0 {
		return nil, 0
	}
	fencingToken, err := c.Registry.RecordOrders(ctx, permit, engines, c.now())
	if err != nil {
		c.Logger.LogAttrs(ctx, slog.LevelWarn, "load orders not sent: could not record them",
			slog.Any("engines", engines), slog.Any("error", err))
		return nil, 0
	}
	return permitted, fencingToken
}

// refreshLastOrders sets the host list to that of the permit. It reads the last
// orders of those engines again whose last order was read under another epoch
// of the host list.
func (c *Controller) refreshLastOrders(ctx context.Context, permit Permit, orders []Order) {
	c.mu.Lock()
	c.setHostsLocked(permit.Hosts)
	var stale []string
	for _, order := range orders {
		c.ownership.updateOwner(order.Server.ID)
		if c.ownership.isStale(order.Server.ID, permit.Epoch()) {
			stale = append(stale, order.Server.ID)
		}
	}
	c.mu.Unlock()
	if len(stale) > 0 {
		c.readLastOrders(ctx, stale, permit.Epoch())
	}
}

func (c *Controller) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

// dueOrders returns the orders of one service that are due, and the engines to query.
func (c *Controller) dueOrders(service config.Service, now time.Time) (orders []Order, unresolved []inventory.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	servers, busy, unresolved := c.updateEngines(service, now)
	for rank, order := range Plan(servers, service.Models, c.newestVersions, busy) {
		state := c.engines[order.Server.ID]
		if due := (target{order.Model, order.Version}); state.target != due {
			state.target, state.targetSince = due, now
		}
		switch {
		case !c.ownership.mayOrder(order.Server.ID, now) || now.Sub(state.targetSince) < OrderDelay(rank, len(servers)):
		case state.countKnown:
			orders = append(orders, order)
		default:
			unresolved = append(unresolved, order.Server)
		}
	}
	return orders, unresolved
}

// updateEngines detects which orders have been carried out. It returns the engines of
// the service, those that may be loading, and those for which the outcome of the order
// is to be queried. The caller holds c.mu.
func (c *Controller) updateEngines(
	service config.Service, now time.Time,
) (servers []inventory.Server, busy map[string]bool, unresolved []inventory.Server) {
	busy = make(map[string]bool)
	for _, candidate := range c.Inventory.Candidates(service.Name) {
		server := candidate.Server
		server.Versions = candidate.Versions
		servers = append(servers, server)
		state := c.engines[server.ID]
		if state == nil || state.startedAt != server.Started {
			state = &engineState{startedAt: server.Started}
			c.engines[server.ID] = state
		}
		if state.pending && server.Versions[state.orderedModel] >= state.orderedVersion {
			state.pending = false
			// If the reply was lost, the engine may hold the version for another
			// reason, so its count of orders is unknown.
			state.countKnown = state.countKnown && state.accepted
			c.Logger.Info("engine holds the ordered version", slog.String("server", server.ID), slog.String("model", state.orderedModel),
				slog.Int64("version", state.orderedVersion), slog.Duration("after", now.Sub(state.orderedAt)))
		}
		if !state.pending {
			continue
		}
		busy[server.ID] = true
		if !now.Before(state.queryAt) {
			unresolved = append(unresolved, server)
		}
	}
	return servers, busy, unresolved
}

// sendOrder sends one order, unless its permit was requested more than maxPermitAge
// ago: this process may have been paused or its call delayed, and another host may
// own the engine by now.
func (c *Controller) sendOrder(ctx context.Context, order Order, fencingToken int64, permitRequestedAt elapsed.Mark) {
	if age := permitRequestedAt.Since(c.Now); age > maxPermitAge {
		c.Logger.LogAttrs(ctx, slog.LevelWarn, "load order not sent: its permit has expired", slog.String("server", order.Server.ID),
			slog.String("model", order.Model), slog.Int64("fence", fencingToken), slog.Duration("age", age))
		return
	}
	c.mu.Lock()
	state := c.engines[order.Server.ID]
	if state == nil {
		// Another host owns the engine by now.
		c.mu.Unlock()
		return
	}
	now := c.now()
	state.accepted, state.orderedModel, state.pending, state.orderedVersion = false, order.Model, true, order.Version
	state.orderedAt, state.queryAt = now, now.Add(unknownOutcomeTimeout)
	expected := state.orderCount
	c.mu.Unlock()
	verdict, err := c.Engines.Load(ctx, order, Authority{FencingToken: fencingToken, Holder: c.Self}, expected)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch verdict {
	case VerdictAccepted:
		state.accepted, state.orderCount = true, expected+1
		state.queryAt = state.orderedAt.Add(c.expectedLoadTime())
	case VerdictHolds:
		state.pending = false
		c.Inventory.RecordVersion(order.Server.ID, order.Model, order.Version)
	case VerdictRefused:
		state.queryAt = c.now()
	}
	if c.orderCounter != nil {
		c.orderCounter.Add(ctx, 1, metric.WithAttributes(attribute.String("verdict", string(verdict))))
	}
	c.Logger.LogAttrs(ctx, slog.LevelInfo, "load order sent", slog.String("server", order.Server.ID),
		slog.String("model", order.Model), slog.Int64("version", order.Version), slog.Int64("expected", expected),
		slog.Int64("fence", fencingToken), slog.String("verdict", string(verdict)), slog.Any("error", err))
}

// queryEngine queries the status of an engine and updates its state from it.
func (c *Controller) queryEngine(ctx context.Context, server inventory.Server) {
	status, err := c.Engines.Status(ctx, server)
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.engines[server.ID]
	if state == nil {
		return // Another host owns the engine by now.
	}
	if err != nil {
		state.queryAt = c.now().Add(unknownOutcomeTimeout)
		c.Logger.LogAttrs(ctx, slog.LevelInfo, "could not read engine status", slog.String("server", server.ID), slog.Any("error", err))
		return
	}
	state.countKnown, state.orderCount = true, status.Orders
	if state.pending && state.accepted && !status.Busy && status.Versions[state.orderedModel] >= state.orderedVersion {
		c.observeLoadTime(c.now().Sub(state.orderedAt))
	}
	state.pending, state.accepted, state.queryAt = status.Busy, true, c.now().Add(reconcileInterval)
	for model, version := range status.Versions {
		c.Inventory.RecordVersion(server.ID, model, version)
	}
	c.Inventory.RecordMemory(server.ID, status.KVTokens)
	c.Logger.LogAttrs(ctx, slog.LevelInfo, "engine status read", slog.String("server", server.ID),
		slog.Bool("busy", status.Busy), slog.Int64("orders", status.Orders), slog.Int("kv-tokens", status.KVTokens), slog.Any("versions", status.Versions))
}

// expectedLoadTime returns how long a load is expected to take. The caller holds c.mu.
func (c *Controller) expectedLoadTime() time.Duration {
	if c.loadTime == 0 {
		return loadDuration
	}
	return c.loadTime
}

// observeLoadTime records the time from an order to the end of its load, as a query has
// found it. The caller holds c.mu.
func (c *Controller) observeLoadTime(took time.Duration) {
	expected := c.expectedLoadTime()
	c.loadTime = expected + time.Duration(loadTimeSmoothing*float64(min(took, 2*expected)-expected))
}

func newOrderCounter(logger *slog.Logger) metric.Int64Counter {
	counter, err := otel.Meter("nutmegway/loading").Int64Counter("nutmegway.loading.orders",
		metric.WithDescription("Orders to model engines by verdict; an empty one is an answer that was lost."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
		return nil
	}
	return counter
}
