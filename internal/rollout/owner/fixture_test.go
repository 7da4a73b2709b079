package owner_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/direct"
	"github.com/nutmegway/nutmegway/internal/rollout/owner"
	"github.com/nutmegway/nutmegway/internal/rollout/trainerapi"
	"github.com/nutmegway/nutmegway/internal/rollout/weight"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
	standinweights "github.com/nutmegway/nutmegway/internal/standin/weightstore"
)

const (
	claimTTL = time.Second
	service  = "reviewer"
	model    = "reviewer-model"
)

// fixture runs a key-value service, a weight store, engines and entry hosts on
// loopback addresses.
type fixture struct {
	engines []*standinengine.Engine
	kv      *standinetcd.Server
	nodes   []*node
	servers servers
	weights *standinweights.Server

	mu sync.Mutex
}

// node is one entry host. stop ends it; the others aren't notified.
type node struct {
	api     *httptest.Server
	member  member.Node
	pool    *peer.Pool
	service *owner.Service
	store   *faultyStore
	stop    context.CancelFunc
	dead    atomic.Bool

	exclusions *weight.Exclusions
}

type servers []server.Server

func (s servers) Server(id string) (server.Server, bool) {
	i := slices.IndexFunc(s, func(other server.Server) bool { return other.ID == id })
	if i < 0 {
		return server.Server{}, false
	}
	return s[i], true
}

func (s servers) Servers(string) []server.Server { return s }

type documents struct{ document document.Document }

func (d documents) Document(name string) (document.Accepted, bool) {
	return document.Accepted{Document: d.document}, name == service
}

func (d documents) Documents() []document.Accepted {
	return []document.Accepted{{Document: d.document}}
}

// members is the view that a node has of the nodes that haven't been killed.
type members struct {
	fixture *fixture
	self    *node
}

func (m members) Self() member.Node { return m.self.member }

func (m members) Nodes() []member.Node {
	m.fixture.mu.Lock()
	defer m.fixture.mu.Unlock()
	var nodes []member.Node
	for _, n := range m.fixture.nodes {
		if !n.dead.Load() {
			nodes = append(nodes, n.member)
		}
	}
	return nodes
}

func newFixture(t *testing.T, nodeCount, engineCount int, configure func(i int, e *standinengine.Engine)) *fixture {
	t.Helper()
	is := is.New(t)
	f := &fixture{kv: &standinetcd.Server{ListenAddress: "127.0.0.1:0"}, weights: &standinweights.Server{ListenAddress: "127.0.0.1:0"}}
	group, ctx := errgroup.WithContext(t.Context())
	is.NoErr(f.kv.Listen())
	is.NoErr(f.weights.Listen())
	group.Go(func() error { return f.kv.Run(ctx) })
	group.Go(func() error { return f.weights.Run(ctx) })
	is.NoErr(weightstore.Client{BaseURL: f.weights.URL()}.Publish(ctx, weightstore.Version{Model: model, Number: 1, PublishedAt: time.Now()}))
	for i := range engineCount {
		e := &standinengine.Engine{ID: fmt.Sprintf("engine-%02d", i), Model: model, Version: 1, Weights: weightstore.Client{BaseURL: f.weights.URL()}}
		if configure != nil {
			configure(i, e)
		}
		is.NoErr(e.Listen())
		group.Go(func() error { return e.Run(ctx) })
		f.engines = append(f.engines, e)
		f.servers = append(f.servers, server.Server{Address: e.Address, ID: e.ID, Service: service})
	}
	for i := range nodeCount {
		f.addNode(ctx, t, i)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
			n.api.CloseClientConnections()
			n.api.Close()
		}
	})
	return f
}

func (f *fixture) addNode(ctx context.Context, t *testing.T, i int) {
	t.Helper()
	is := is.New(t)
	ctx, stop := context.WithCancel(ctx)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	is.NoErr(err)
	logger := slog.New(slog.DiscardHandler)
	n := &node{pool: &peer.Pool{}, stop: stop, store: &faultyStore{Store: &etcd.Store{Endpoints: []string{f.kv.Address()}}}}
	n.member = member.Node{
		AvailabilityZone: fmt.Sprintf("zone-%d", i), ID: fmt.Sprintf("node-%d", i),
		Incarnation: 1, PeerAddress: listener.Addr().String(),
	}
	view := members{fixture: f, self: n}
	docs := documents{document: document.Document{
		Rollout: document.Rollout{IdleWeight: 1, StalenessWeight: 1},
		Service: document.Service{Kind: document.KindModelEngine, Name: service, Team: "utility"},
		Weights: document.Weights{CapacityFloor: 0.5, Model: model},
	}}
	registry := &weight.VersionRegistry{
		Logger: logger, Model: func(string) string { return model }, Now: time.Now,
		Store: n.store, Weights: weightstore.Client{BaseURL: f.weights.URL()},
	}
	n.service = &owner.Service{
		Claims: &owner.Claims{Logger: logger, Now: time.Now, Self: n.member, Store: n.store, TTL: claimTTL},
		Copies: &owner.Copies{Now: time.Now},
		Dispatcher: &direct.Dispatcher{
			Engine:  func(address string) backend.Engine { return backend.Client{Address: address} },
			Policy:  balance.LeastOutstanding[direct.Candidate]{Outstanding: direct.Outstanding},
			Servers: f.servers,
		},
		Documents: docs, Logger: logger, Members: view, Now: time.Now, Pool: n.pool,
		Servers: f.servers, Store: n.store, Weights: registry,
	}
	peers := grpc.NewServer()
	n.service.Register(peers)
	group, ctx := errgroup.WithContext(ctx)
	distributor := &weight.Distributor{
		AcquireLease: n.service.Claims.ClaimForDistributor, Documents: docs,
		Engine: func(address string) backend.Engine { return backend.Client{Address: address} },
		Logger: logger, Members: view, Now: time.Now, Registry: registry, Servers: f.servers, Store: n.store,
	}
	n.exclusions = &weight.Exclusions{Logger: logger, Store: n.store}
	group.Go(func() error { return registry.Run(ctx) })
	group.Go(func() error { return distributor.Run(ctx) })
	group.Go(func() error { return n.exclusions.Run(ctx) })
	group.Go(func() error { return n.service.Run(ctx) })
	group.Go(func() error { return peers.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		peers.Stop()
		return nil
	})
	n.api = httptest.NewServer((&trainerapi.Handler{Logger: logger, Owner: n.service}).Mux())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
}

// kill simulates the crash of a node: its lease isn't revoked, so its claims
// last until the lease expires.
func (f *fixture) kill(n *node) {
	n.dead.Store(true)
	n.store.dead.Store(true)
	n.stop()
	n.api.CloseClientConnections()
}

// ownerOf returns the node that owns the trainer's stream, as leaseHolder does.
func (f *fixture) ownerOf(ctx context.Context, trainerName string) *node {
	return f.leaseHolder(ctx, "rollouts/"+service+"/"+trainerName)
}

// leaseHolder waits until a node that hasn't been killed holds the lease and
// returns that node, or nil if ctx ends first.
func (f *fixture) leaseHolder(ctx context.Context, name string) *node {
	store := &etcd.Store{Endpoints: []string{f.kv.Address()}}
	defer func() { _ = store.Close() }()
	claims := &owner.Claims{Store: store}
	for ctx.Err() == nil {
		holder, ok, err := claims.HolderOf(ctx, "nutmegway/leases/"+name)
		for _, n := range f.nodes {
			if err == nil && ok && n.member.ID == holder.Node && !n.dead.Load() {
				return n
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
