package weight

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
)

var tracer = otel.Tracer("nutmegway/weight")

const (
	// DefaultLoadsPerSecond is the default bound on the rate at which the servers
	// of one service load versions from the weight store: 2,200 servers load one
	// within 9 s.
	DefaultLoadsPerSecond = 250
	// serversPerShard is the largest average number of servers in a shard.
	serversPerShard = 64
	// claimInterval is the time between two attempts to acquire shard leases.
	claimInterval = time.Second
	// resyncInterval is the time between two reads of the server list.
	resyncInterval = 500 * time.Millisecond
	// refreshInterval is the time between two reads of the weight store.
	refreshInterval = 5 * time.Second
	// callTimeout bounds each call of an engine.
	callTimeout = time.Second
)

// Lease is the exclusive right to send orders to the servers of a shard.
type Lease struct {
	// FencingToken is higher than that of all earlier holders of the lease.
	FencingToken int64
	// Context is cancelled when the lease ends.
	Context context.Context //nolint:containedctx // Its lifetime is that of the lease.
	// ValidUntil returns the time until which the lease is known to be held.
	ValidUntil func() time.Time
}

// Distributor orders the engines to load the newest versions. The servers of a
// service are divided into shards. Only the host that holds the lease on a
// shard sends orders to its servers, and each order has the fencing token of
// the lease. The exported fields are set before Run.
type Distributor struct {
	// AcquireLease acquires the lease named key. It fails with kind not-owner if
	// another host holds the lease.
	AcquireLease func(ctx context.Context, key string) (Lease, error)
	Documents    document.View
	// Engine returns the client for the engine at an address.
	Engine func(address string) engine.Engine
	// LoadsPerSecond bounds the rate of loads of one service; zero means
	// DefaultLoadsPerSecond.
	LoadsPerSecond float64
	Logger         *slog.Logger
	Members        member.View
	Now            func() time.Time
	Registry       *VersionRegistry
	Servers        server.View
	Store          kv.Store

	mu sync.Mutex
	// running holds the shards that runShard is running for, by a key of the
	// form service/shard.
	running map[string]bool
}

// Run acquires leases on shards and sends orders to their servers until ctx
// ends.
func (d *Distributor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for ctx.Err() == nil {
			d.claimShards(ctx, group)
			sleep(ctx, claimInterval)
		}
		return nil
	})
	return group.Wait()
}

// claimShards starts runShard for the shards for which this host ranks first or
// second among the members. The host that acquires the lease first keeps it;
// the other one tries again every claimInterval and takes over when the lease
// ends.
func (d *Distributor) claimShards(ctx context.Context, group *errgroup.Group) {
	nodes := d.Members.Nodes()
	ids := make([]string, len(nodes))
	for i, node := range nodes {
		ids[i] = node.ID
	}
	self := d.Members.Self().ID
	for _, accepted := range d.Documents.Documents() {
		service := accepted.Document.Service
		if service.Kind != document.KindModelEngine {
			continue
		}
		for shard := range ShardCount(len(d.Servers.Servers(service.Name))) {
			key := fmt.Sprintf("%s/%d", service.Name, shard)
			ranked := rendezvous.Rank("weights/"+key, ids)
			if rank := slices.Index(ranked, self); rank < 0 || rank > 1 || !d.startShard(key) {
				continue
			}
			group.Go(func() error {
				defer d.endShard(key)
				d.runShard(ctx, service.Name, shard)
				return nil
			})
		}
	}
}

// startShard reports whether the shard was not running yet, and marks it as running.
func (d *Distributor) startShard(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[key] {
		return false
	}
	if d.running == nil {
		d.running = make(map[string]bool)
	}
	d.running[key] = true
	return true
}

func (d *Distributor) endShard(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, key)
}

// ShardCount returns the number of shards of a service with the given number of
// servers. It is a power of two, so that it seldom changes as the service
// grows. When it doubles, each server stays in its shard or moves to one new
// shard.
func ShardCount(servers int) int {
	shards := 1
	for shards*serversPerShard < servers {
		shards *= 2
	}
	return shards
}

// ShardOf returns the shard of the server id.
func ShardOf(id string, shards int) int {
	return int(xxh3.HashString(id) % uint64(shards))
}

// runShard acquires the lease on a shard and sends orders to its servers until
// the lease ends. It returns at once if another host holds the lease.
func (d *Distributor) runShard(ctx context.Context, service string, shard int) {
	lease, err := d.AcquireLease(ctx, fmt.Sprintf("nutmegway/leases/weights/%s/%d", service, shard))
	if err != nil {
		if !kind.Is(err, kind.NotOwner) {
			d.Logger.DebugContext(ctx, "could not acquire lease on service shard",
				slog.String("service", service), slog.Any("error", err))
		}
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(lease.Context, cancel)
	defer stop()
	if err := d.Registry.Follow(ctx, service); err != nil {
		return
	}
	if accepted, _ := d.Documents.Document(service); !accepted.Document.Weights.FencingEnforced {
		// An engine that ignores fencing tokens must not be ordered to load a
		// higher version while an order of the last holder may still arrive.
		sleep(ctx, orderTTL)
	}
	d.Logger.InfoContext(ctx, "acquired lease on service shard", slog.String("service", service),
		slog.Int("shard", shard), slog.Int64("fence", lease.FencingToken))
	s := &shardDistributor{
		parent: d, lease: lease, service: service, shard: shard,
		planner: SwapPlanner{
			FencingToken: lease.FencingToken,
			Random:       rand.New(rand.NewPCG(uint64(lease.FencingToken), uint64(shard))),
		},
		cancels: map[string]context.CancelFunc{},
	}
	if err := s.run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		d.Logger.WarnContext(ctx, "stopped ordering servers of service shard",
			slog.String("service", service), slog.Any("error", err))
	}
}

// shardDistributor sends orders to the servers of one shard.
type shardDistributor struct {
	parent  *Distributor
	lease   Lease
	service string
	shard   int

	mu sync.Mutex
	// excluded holds the ids of the excluded servers as last written to the
	// store.
	excluded []string
	planner  SwapPlanner
	// cancels holds the function that stops runServer for each server.
	cancels map[string]context.CancelFunc
}

func (s *shardDistributor) run(ctx context.Context) error {
	if err := s.restoreExcluded(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.refreshVersions(ctx) })
	group.Go(func() error {
		for ctx.Err() == nil {
			s.syncServers(ctx, group)
			if err := s.publishExcluded(ctx); err != nil {
				s.parent.Logger.WarnContext(ctx, "could not publish excluded servers",
					slog.String("service", s.service), slog.Any("error", err))
			}
			sleep(ctx, resyncInterval)
		}
		return ctx.Err()
	})
	return group.Wait()
}

// refreshVersions reads the weight store every refreshInterval, to find
// versions that were not published through an entry host.
func (s *shardDistributor) refreshVersions(ctx context.Context) error {
	for ctx.Err() == nil {
		s.parent.Registry.Refresh(ctx, s.service)
		sleep(ctx, refreshInterval)
	}
	return nil
}

// syncServers starts runServer for each new server of the shard and stops it for the
// servers that have left.
func (s *shardDistributor) syncServers(ctx context.Context, group *errgroup.Group) {
	accepted, _ := s.parent.Documents.Document(s.service)
	all := s.parent.Servers.Servers(s.service)
	shards := ShardCount(len(all))
	inShard := map[string]server.Server{}
	var ids []string
	for _, backend := range all {
		if !backend.Leaving && ShardOf(backend.ID, shards) == s.shard {
			inShard[backend.ID] = backend
			ids = append(ids, backend.ID)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.CapacityFloor = accepted.Document.Weights.CapacityFloor
	s.planner.SetServers(ids)
	s.updateLoadLimit(len(ids), len(all))
	for id, cancel := range s.cancels {
		if _, ok := inShard[id]; !ok {
			cancel()
			delete(s.cancels, id)
		}
	}
	for id, backend := range inShard {
		if _, ok := s.cancels[id]; ok {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		s.cancels[id] = cancel
		group.Go(func() error {
			s.runServer(taskCtx, backend)
			return nil
		})
	}
}

// updateLoadLimit sets the load rate of the shard. The shard's share of the
// service's rate is its share of the service's servers. The caller holds s.mu.
func (s *shardDistributor) updateLoadLimit(inShard, inService int) {
	total := s.parent.LoadsPerSecond
	if total == 0 {
		total = DefaultLoadsPerSecond
	}
	limit := rate.Limit(total * float64(max(inShard, 1)) / float64(max(inService, 1)))
	if s.planner.LoadLimiter == nil {
		s.planner.LoadLimiter = rate.NewLimiter(limit, max(1, int(float64(limit)/10)))
	}
	s.planner.LoadLimiter.SetLimit(limit)
}

// runServer polls the status of one server and sends it orders until ctx ends.
func (s *shardDistributor) runServer(ctx context.Context, backend server.Server) {
	client := s.parent.Engine(backend.Address)
	for ctx.Err() == nil {
		s.updateServer(ctx, backend, client)
		s.mu.Lock()
		interval := s.planner.PollInterval(backend.ID)
		s.mu.Unlock()
		s.waitForChange(ctx, interval)
	}
}

// waitForChange waits until a newer version is published, but no longer than d.
func (s *shardDistributor) waitForChange(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.parent.Registry.Changed(s.service):
	}
}

// updateServer reads the status of one server and sends it the orders that are due.
func (s *shardDistributor) updateServer(ctx context.Context, backend server.Server, client engine.Engine) {
	status, err := readStatus(ctx, client)
	now := s.parent.Now()
	s.mu.Lock()
	s.planner.Target = max(s.planner.Target, s.parent.Registry.Published(s.service).Number)
	if err != nil {
		s.planner.HandleUnreachable(backend.ID)
	} else {
		s.planner.HandleStatus(now, backend.ID, status)
	}
	s.mu.Unlock()
	if err != nil {
		return
	}
	s.orderMissing(ctx, backend, client, status)
	s.orderVersion(ctx, backend, client)
}

func readStatus(ctx context.Context, client engine.Engine) (engine.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.Status(ctx)
}

// orderVersion orders the server to load the newest version if that is due.
func (s *shardDistributor) orderVersion(ctx context.Context, backend server.Server, client engine.Engine) {
	until := s.lease.ValidUntil()
	now := s.parent.Now()
	if !now.Before(until) {
		return
	}
	s.mu.Lock()
	order, ok := s.planner.NextOrder(now, until, backend.ID)
	s.mu.Unlock()
	if !ok {
		return
	}
	order.Model = s.parent.Registry.Model(s.service)
	outcome := s.send(ctx, backend, client, order)
	s.mu.Lock()
	s.planner.HandleOutcome(s.parent.Now(), backend.ID, outcome)
	s.mu.Unlock()
}

func (s *shardDistributor) send(ctx context.Context, backend server.Server, client engine.Engine, order engine.Order) Outcome {
	ctx, span := tracer.Start(ctx, "weight.order")
	defer span.End()
	span.SetAttributes(attribute.String("server", backend.ID), attribute.Int64("version", order.Version))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := client.Order(ctx, order)
	if err == nil {
		return OutcomeAccepted
	}
	s.parent.Logger.InfoContext(ctx, "engine did not accept order", slog.String("server", backend.ID),
		slog.Int64("version", order.Version), slog.Any("error", err))
	if kind.Of(err).Ran == kind.RanNo {
		return OutcomeRefused
	}
	return OutcomeUnknown
}

// orderMissing orders the server to take on the model, role and adapters of the
// service's document that it lacks.
func (s *shardDistributor) orderMissing(ctx context.Context, backend server.Server, client engine.Engine, status engine.Status) {
	accepted, ok := s.parent.Documents.Document(s.service)
	if !ok {
		return
	}
	now := s.parent.Now()
	until := s.lease.ValidUntil()
	if !now.Before(until) {
		return
	}
	deadline := now.Add(orderTTL)
	if until.Before(deadline) {
		deadline = until
	}
	for _, order := range MissingOrders(accepted.Document.Weights, status) {
		order.Deadline, order.Fence = deadline, s.lease.FencingToken
		order.ID = fmt.Sprintf("%s-%s-%d-%d", backend.ID, order.Kind, s.lease.FencingToken, now.UnixNano())
		s.send(ctx, backend, client, order)
	}
}

// MissingOrders returns the orders that a server with the given status needs to reach
// the wanted model, role and adapters.
func MissingOrders(wanted document.Weights, status engine.Status) []engine.Order {
	var orders []engine.Order
	if wanted.Model != "" && wanted.Model != status.Model {
		orders = append(orders, engine.Order{Kind: engine.OrderLoadModel, Model: wanted.Model})
	}
	if wanted.Role != "" && wanted.Role != status.Role {
		orders = append(orders, engine.Order{Kind: engine.OrderSetRole, Role: wanted.Role})
	}
	for _, adapter := range wanted.Adapters {
		if !slices.Contains(status.Adapters, adapter) {
			orders = append(orders, engine.Order{Adapter: adapter, Kind: engine.OrderLoadAdapter, Model: wanted.Model})
		}
	}
	return orders
}
