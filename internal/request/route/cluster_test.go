package route_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/request/route"
	standin "github.com/nutmegway/nutmegway/internal/standin/engine"
)

const service = "reviewer"

// fleet is the state that all nodes of a test share.
type fleet struct {
	mu       sync.Mutex
	document document.Document
	nodes    []member.Node
	servers  []server.Server
}

func (f *fleet) Document(name string) (document.Accepted, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return document.Accepted{Document: f.document}, name == service
}

func (f *fleet) Documents() []document.Accepted {
	accepted, _ := f.Document(service)
	return []document.Accepted{accepted}
}

func (f *fleet) Server(id string) (server.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.servers, func(s server.Server) bool { return s.ID == id })
	if i < 0 {
		return server.Server{}, false
	}
	return f.servers[i], true
}

func (f *fleet) Servers(string) []server.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.servers)
}

// view is the fleet as one node sees it.
type view struct {
	*fleet
	self member.Node
}

func (v view) Self() member.Node { return v.self }

func (v view) Nodes() []member.Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.nodes)
}

// node is an entry host, reduced to the parts that run calls on model engines.
type node struct {
	cancel     context.CancelFunc
	dispatcher *route.Dispatcher
	grpc       *grpc.Server
	id         string
	pool       *peer.Pool
	registry   *poison.Registry
}

// cluster is a set of nodes that run calls on stand-in engines over TCP.
type cluster struct {
	t       *testing.T
	engines []*standin.Engine
	fleet   *fleet
	nodes   []*node
}

func newCluster(t *testing.T, nodes int, engines []*standin.Engine) *cluster {
	t.Helper()
	c := &cluster{t: t, engines: engines, fleet: &fleet{document: document.Document{
		Admission: document.Admission{QueueLimit: 100, RolloutFloor: 0.2},
		Poison:    document.Poison{CrashLimit: 3, QuarantineFor: time.Hour},
		Retry:     document.Retry{Budget: 0.2},
		Service:   document.Service{Kind: document.KindModelEngine, Name: service, Team: "brazos"},
	}}}
	for i, e := range engines {
		e.ID = fmt.Sprintf("engine-%02d", i)
		c.startEngine(e)
		c.fleet.servers = append(c.fleet.servers, server.Server{
			Address: e.Address, AvailabilityZone: zone(i), ID: e.ID, Service: service,
		})
	}
	for i := range nodes {
		c.startNode(i)
	}
	return c
}

func zone(i int) string { return []string{"waco-a", "temple-b", "bryan-c"}[i%3] }

func (c *cluster) startEngine(e *standin.Engine) {
	c.t.Helper()
	if err := e.Listen(); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	c.t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			c.t.Error(err)
		}
	})
}

func (c *cluster) startNode(i int) {
	c.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(c.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	self := member.Node{AvailabilityZone: zone(i), ID: fmt.Sprintf("node-%d", i), PeerAddress: listener.Addr().String()}
	c.fleet.mu.Lock()
	c.fleet.nodes = append(c.fleet.nodes, self)
	c.fleet.mu.Unlock()
	v := view{fleet: c.fleet, self: self}
	logger := slog.New(slog.NewTextHandler(testWriter{c.t}, nil))
	pool := &peer.Pool{}
	registry := &poison.Registry{Logger: logger, Members: v, Pool: pool}
	local := &owner.Owner{
		Documents: v, Engine: func(address string) engine.Engine { return engine.Client{Address: address} },
		Logger: logger, Members: v, Poison: registry, Servers: v,
	}
	client := &owner.Client{Local: local, Logger: logger, Members: v, Pool: pool, Servers: v}
	dispatcher := &route.Dispatcher{
		Documents: v, Gate: registry, Logger: logger, Members: v, Queues: client, Servers: v,
	}
	n := &node{dispatcher: dispatcher, grpc: grpc.NewServer(), id: self.ID, pool: pool, registry: registry}
	local.Register(n.grpc)
	registry.Register(n.grpc)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var group errgroup.Group
	group.Go(func() error { return n.grpc.Serve(listener) })
	for _, run := range []func(context.Context) error{registry.Run, local.Run, client.Run, dispatcher.Run} {
		group.Go(func() error { return run(ctx) })
	}
	c.nodes = append(c.nodes, n)
	c.t.Cleanup(func() {
		c.kill(n)
		_ = group.Wait() // Serve returns an error because the server was stopped.
	})
}

// kill stops a node and closes all its connections, as a crash of its process would.
func (c *cluster) kill(n *node) {
	n.cancel()
	n.grpc.Stop()
	_ = n.pool.Close() // The connections are closed even if Close fails.
}

// removeMember removes a killed node from the members.
func (c *cluster) removeMember(n *node) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.nodes = slices.DeleteFunc(c.fleet.nodes, func(m member.Node) bool { return m.ID == n.id })
}

func (c *cluster) crashes() int {
	total := 0
	for _, e := range c.engines {
		total += e.GroundTruth().Crashes
	}
	return total
}

func checkCall(id, prompt string, maxTokens int) dispatch.Call {
	return dispatch.Call{
		Class: dispatch.ClassCheck, Deadline: time.Now().Add(20 * time.Second), Service: service,
		Share: "brazos", Team: "brazos",
		Request: engine.Request{ID: id, MaxTokens: maxTokens, Prompt: prompt, Seed: 1},
	}
}

// runCall runs a call to its end and returns the text and the servers that
// produced it.
func runCall(ctx context.Context, n *node, call dispatch.Call) (text string, servers []string, err error) {
	stream, err := n.dispatcher.Dispatch(ctx, call)
	if err != nil {
		return "", nil, err
	}
	defer stream.Close() //nolint:errcheck // The answer has been read.
	var b strings.Builder
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), servers, nil
		}
		if err != nil {
			return b.String(), servers, err
		}
		if chunk.ID != call.Request.ID {
			return b.String(), servers, fmt.Errorf("got a chunk with request ID %q in the answer to %q", chunk.ID, call.Request.ID)
		}
		b.WriteString(chunk.Text)
		if !slices.Contains(servers, chunk.Server) {
			servers = append(servers, chunk.Server)
		}
	}
}

func expectedText(call dispatch.Call) string {
	text, _ := standin.ExpectedCompletion(call.Request.Prompt, call.Request.Seed, call.Request.MaxTokens)
	return text
}

// testWriter writes log lines to the test log while the test runs.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	if w.t.Context().Err() == nil {
		w.t.Log(strings.TrimSpace(string(p)))
	}
	return len(p), nil
}

func newEngines(n int, model *standin.Engine) []*standin.Engine {
	list := make([]*standin.Engine, n)
	for i := range list {
		list[i] = &standin.Engine{
			Slots: model.Slots, TokensPerSecond: model.TokensPerSecond, Version: max(1, model.Version),
			SwapTime: model.SwapTime, PauseOnSwap: model.PauseOnSwap,
		}
	}
	return list
}
