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
	// DefaultLoadRate is the number of loads a second of one service that the
	// weight store is asked for: 2,200 servers within 9 s.
	DefaultLoadRate = 250
	// shardSize is the number of servers that one orderer looks after.
	shardSize = 64
	// electEvery is the time between two looks at which shards are to be had.
	electEvery = time.Second
	// resyncEvery is the time between two readings of the server list.
	resyncEvery = 500 * time.Millisecond
	// refreshEvery is the time between two readings of the weight store.
	refreshEvery = 5 * time.Second
	callTimeout  = time.Second
)

// Right is the right to order the servers of a shard.
type Right struct {
	Fence int64
	// Life ends with the right.
	Life context.Context //nolint:containedctx // It is the life of the right.
	// Until returns the time until which the right is known to be held.
	Until func() time.Time
}

// Orderer brings the newest versions to the engines. Each shard of a service
// has one orderer among the hosts at a time, which holds a right with a fencing
// number. The fields are set before Run.
type Orderer struct {
	// Claim takes the right named key; an error of kind not-owner says that
	// another host has it.
	Claim     func(ctx context.Context, key string) (Right, error)
	Documents document.View
	// Engine returns the client for the engine at an address.
	Engine func(address string) engine.Engine
	// LoadRate is the number of loads a second of one service; zero is
	// DefaultLoadRate.
	LoadRate float64
	Logger   *slog.Logger
	Members  member.View
	Now      func() time.Time
	Registry *Registry
	Servers  server.View
	Store    kv.Store

	mu     sync.Mutex
	shards map[string]bool
}

// Run takes shards and orders their servers until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for ctx.Err() == nil {
			o.elect(ctx, group)
			pause(ctx, electEvery)
		}
		return nil
	})
	return group.Wait()
}

// elect takes the shards for which this host ranks first or second among the
// members; the second one finds the key taken unless the first is gone.
func (o *Orderer) elect(ctx context.Context, group *errgroup.Group) {
	nodes := o.Members.Nodes()
	ids := make([]string, len(nodes))
	for i, node := range nodes {
		ids[i] = node.ID
	}
	self := o.Members.Self().ID
	for _, accepted := range o.Documents.Documents() {
		service := accepted.Document.Service
		if service.Kind != document.KindModelEngine {
			continue
		}
		for shard := range Shards(len(o.Servers.Servers(service.Name))) {
			key := fmt.Sprintf("%s/%d", service.Name, shard)
			ranked := rendezvous.Rank("weights/"+key, ids)
			if place := slices.Index(ranked, self); place < 0 || place > 1 || !o.begin(key) {
				continue
			}
			group.Go(func() error {
				defer o.end(key)
				o.runShard(ctx, service.Name, shard)
				return nil
			})
		}
	}
}

func (o *Orderer) begin(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shards[key] {
		return false
	}
	if o.shards == nil {
		o.shards = make(map[string]bool)
	}
	o.shards[key] = true
	return true
}

func (o *Orderer) end(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.shards, key)
}

// Shards is the number of shards of a service with that many servers, a power
// of two, so that few servers change their shard when the number grows.
func Shards(servers int) int {
	shards := 1
	for shards*shardSize < servers {
		shards *= 2
	}
	return shards
}

// ShardOf is the shard of a server.
func ShardOf(id string, shards int) int {
	return int(xxh3.HashString(id) % uint64(shards))
}

// runShard orders the servers of one shard as long as this host has the right.
func (o *Orderer) runShard(ctx context.Context, service string, shard int) {
	right, err := o.Claim(ctx, fmt.Sprintf("nutmegway/leases/weights/%s/%d", service, shard))
	if err != nil {
		if !kind.Is(err, kind.NotOwner) {
			o.Logger.DebugContext(ctx, "the weights of a service cannot be taken over",
				slog.String("service", service), slog.Any("error", err))
		}
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(right.Life, cancel)
	defer stop()
	if err := o.Registry.Follow(ctx, service); err != nil {
		return
	}
	if accepted, _ := o.Documents.Document(service); !accepted.Document.Weights.FencingEnforced {
		// Engines that ignore fencing numbers must not get a higher version
		// while an order of the last holder may still arrive.
		pause(ctx, orderTTL)
	}
	o.Logger.InfoContext(ctx, "the weights of a service were taken over", slog.String("service", service),
		slog.Int("shard", shard), slog.Int64("fence", right.Fence))
	s := &shardRun{
		orderer: o, right: right, service: service, shard: shard,
		table: Table{
			Fence:  right.Fence,
			Random: rand.New(rand.NewPCG(uint64(right.Fence), uint64(shard))),
		},
		tasks: map[string]context.CancelFunc{},
	}
	if err := s.run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		o.Logger.WarnContext(ctx, "the weights of a service are given up",
			slog.String("service", service), slog.Any("error", err))
	}
}

// shardRun is the work on one shard.
type shardRun struct {
	orderer *Orderer
	right   Right
	service string
	shard   int

	mu       sync.Mutex
	excluded []string
	table    Table
	tasks    map[string]context.CancelFunc
}

func (s *shardRun) run(ctx context.Context) error {
	if err := s.adoptExcluded(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.refresh(ctx) })
	group.Go(func() error {
		for ctx.Err() == nil {
			s.resync(ctx, group)
			if err := s.publishExcluded(ctx); err != nil {
				s.orderer.Logger.WarnContext(ctx, "the excluded servers are not published",
					slog.String("service", s.service), slog.Any("error", err))
			}
			pause(ctx, resyncEvery)
		}
		return ctx.Err()
	})
	return group.Wait()
}

// refresh reads the weight store now and then, for versions that were not
// published through an entry host.
func (s *shardRun) refresh(ctx context.Context) error {
	for ctx.Err() == nil {
		s.orderer.Registry.Refresh(ctx, s.service)
		pause(ctx, refreshEvery)
	}
	return nil
}

// resync starts a task for each new server of the shard and ends those of
// servers that are gone.
func (s *shardRun) resync(ctx context.Context, group *errgroup.Group) {
	accepted, _ := s.orderer.Documents.Document(s.service)
	all := s.orderer.Servers.Servers(s.service)
	shards := Shards(len(all))
	mine := map[string]server.Server{}
	var ids []string
	for _, backend := range all {
		if !backend.Leaving && ShardOf(backend.ID, shards) == s.shard {
			mine[backend.ID] = backend
			ids = append(ids, backend.ID)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Floor = accepted.Document.Weights.CapacityFloor
	s.table.Keep(ids)
	s.fitLimit(len(ids), len(all))
	for id, cancel := range s.tasks {
		if _, ok := mine[id]; !ok {
			cancel()
			delete(s.tasks, id)
		}
	}
	for id, backend := range mine {
		if _, ok := s.tasks[id]; ok {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		s.tasks[id] = cancel
		group.Go(func() error {
			s.follow(taskCtx, backend)
			return nil
		})
	}
}

// fitLimit gives the shard its part of the service's rate. The lock is held.
func (s *shardRun) fitLimit(mine, all int) {
	total := s.orderer.LoadRate
	if total == 0 {
		total = DefaultLoadRate
	}
	limit := rate.Limit(total * float64(max(mine, 1)) / float64(max(all, 1)))
	if s.table.Limit == nil {
		s.table.Limit = rate.NewLimiter(limit, max(1, int(float64(limit)/10)))
	}
	s.table.Limit.SetLimit(limit)
}

// follow reads the status of one server and sends it orders until ctx ends.
func (s *shardRun) follow(ctx context.Context, backend server.Server) {
	client := s.orderer.Engine(backend.Address)
	for ctx.Err() == nil {
		s.step(ctx, backend, client)
		s.mu.Lock()
		wait := s.table.PollAfter(backend.ID)
		s.mu.Unlock()
		s.wait(ctx, wait)
	}
}

// wait waits for d or for a new version.
func (s *shardRun) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.orderer.Registry.Changed(s.service):
	}
}

func (s *shardRun) step(ctx context.Context, backend server.Server, client engine.Engine) {
	status, err := readStatus(ctx, client)
	now := s.orderer.Now()
	s.mu.Lock()
	s.table.Target = max(s.table.Target, s.orderer.Registry.Published(s.service).Number)
	if err != nil {
		s.table.Lost(backend.ID)
	} else {
		s.table.Report(now, backend.ID, status)
	}
	s.mu.Unlock()
	if err != nil {
		return
	}
	s.conform(ctx, backend, client, status)
	s.orderNext(ctx, backend, client)
}

func readStatus(ctx context.Context, client engine.Engine) (engine.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.Status(ctx)
}

// orderNext sends the server its next version if its turn has come.
func (s *shardRun) orderNext(ctx context.Context, backend server.Server, client engine.Engine) {
	until := s.right.Until()
	now := s.orderer.Now()
	if !now.Before(until) {
		return
	}
	s.mu.Lock()
	order, ok := s.table.Next(now, until, backend.ID)
	s.mu.Unlock()
	if !ok {
		return
	}
	order.Model = s.orderer.Registry.Model(s.service)
	outcome := s.send(ctx, backend, client, order)
	s.mu.Lock()
	s.table.Sent(s.orderer.Now(), backend.ID, outcome)
	s.mu.Unlock()
}

func (s *shardRun) send(ctx context.Context, backend server.Server, client engine.Engine, order engine.Order) Outcome {
	ctx, span := tracer.Start(ctx, "weight.order")
	defer span.End()
	span.SetAttributes(attribute.String("server", backend.ID), attribute.Int64("version", order.Version))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := client.Order(ctx, order)
	if err == nil {
		return OutcomeAccepted
	}
	s.orderer.Logger.InfoContext(ctx, "an order was not accepted", slog.String("server", backend.ID),
		slog.Int64("version", order.Version), slog.Any("error", err))
	if kind.Of(err).Ran == kind.RanNo {
		return OutcomeRefused
	}
	return OutcomeUnknown
}

// conform orders the document's model, role and adapters where the server
// lacks them.
func (s *shardRun) conform(ctx context.Context, backend server.Server, client engine.Engine, status engine.Status) {
	accepted, ok := s.orderer.Documents.Document(s.service)
	if !ok {
		return
	}
	now := s.orderer.Now()
	until := s.right.Until()
	if !now.Before(until) {
		return
	}
	deadline := now.Add(orderTTL)
	if until.Before(deadline) {
		deadline = until
	}
	for _, order := range Missing(accepted.Document.Weights, status) {
		order.Deadline, order.Fence = deadline, s.right.Fence
		order.ID = fmt.Sprintf("%s-%s-%d-%d", backend.ID, order.Kind, s.right.Fence, now.UnixNano())
		s.send(ctx, backend, client, order)
	}
}

// Missing returns the orders that bring a server with status to the wanted
// model, role and adapters.
func Missing(wanted document.Weights, status engine.Status) []engine.Order {
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
