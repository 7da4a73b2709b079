package spread_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/spread"
)

const prefix = "documents/"

var errStoreDown = errors.New("store is down")

// fakeStore is an in-memory key-value service with simulated outages.
type fakeStore struct {
	kv.Store
	mu      sync.Mutex
	calls   int
	changed chan struct{}
	// compacted is the first revision from which watches can start.
	compacted int64
	down      bool
	entries   map[string]kv.Entry
	events    []kv.Event
	revision  int64
}

func newStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{}), entries: make(map[string]kv.Entry)}
}

func (s *fakeStore) set(key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	entry := kv.Entry{Key: key, ModRevision: s.revision, Value: []byte(value)}
	s.entries[key] = entry
	s.events = append(s.events, kv.Event{Delete: value == "", Entry: entry})
	if value == "" {
		delete(s.entries, key)
	}
	s.notifyWatchers()
	return s.revision
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

func (s *fakeStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) List(context.Context, string) ([]kv.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errStoreDown
	}
	var entries []kv.Entry
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	return entries, s.revision, nil
}

func (s *fakeStore) Watch(_ context.Context, _ string, revision int64) (kv.Watcher, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return &fakeWatcher{revision: revision, store: s}, nil
}

type fakeWatcher struct {
	revision int64
	store    *fakeStore
}

func (*fakeWatcher) Close() {}

func (w *fakeWatcher) Next(ctx context.Context) (kv.Batch, error) {
	for {
		w.store.mu.Lock()
		var batch kv.Batch
		for _, event := range w.store.events {
			if event.Entry.ModRevision > w.revision {
				batch.Events = append(batch.Events, event)
			}
		}
		changed, down := w.store.changed, w.store.down || w.revision < w.store.compacted
		batch.Revision = w.store.revision
		w.store.mu.Unlock()
		if down {
			return kv.Batch{}, errStoreDown
		}
		if len(batch.Events) > 0 {
			w.revision = batch.Revision
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return kv.Batch{}, ctx.Err()
		case <-changed:
		}
	}
}

// testFleet is a set of nodes in one process that communicate over loopback.
type testFleet struct {
	t     *testing.T
	mu    sync.Mutex
	live  map[string]member.Node
	nodes map[string]*testNode
	store *fakeStore
}

// gate blocks calls to a node and the results of the node's watch while the node is
// paused.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
	g.open = nil
}

// gatedStore delays watch results for a paused node.
type gatedStore struct {
	*fakeStore
	gate *gate
}

func (s gatedStore) Watch(ctx context.Context, prefix string, revision int64) (kv.Watcher, error) {
	w, err := s.fakeStore.Watch(ctx, prefix, revision)
	return gatedWatcher{Watcher: w, gate: s.gate}, err
}

type gatedWatcher struct {
	kv.Watcher
	gate *gate
}

func (w gatedWatcher) Next(ctx context.Context) (kv.Batch, error) {
	batch, err := w.Watcher.Next(ctx)
	w.gate.wait()
	return batch, err
}

// testNode is a node that also implements spread.Members for itself.
type testNode struct {
	gate gate
	*spread.Spreader
	fleet *testFleet
	node  member.Node
	pool  *peer.Pool
	stop  func()
}

func (n *testNode) Self() member.Node { return n.node }

func (n *testNode) Nodes() []member.Node {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var nodes []member.Node
	for _, node := range n.fleet.live {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b member.Node) int { return compare(a.ID, b.ID) })
	return nodes
}

func (n *testNode) Peers() []member.Node {
	return slices.DeleteFunc(n.Nodes(), func(node member.Node) bool { return node.ID == n.node.ID })
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func newTestFleet(t *testing.T, zones, perZone int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, live: make(map[string]member.Node), nodes: make(map[string]*testNode), store: newStore()}
	for i := range zones * perZone {
		f.start(fmt.Sprintf("node-%02d", i), fmt.Sprintf("zone-%d", i%zones))
	}
	return f
}

func testConfig() spread.Config {
	config := spread.DefaultConfig()
	config.Fanout = 2
	config.ReaderPushDelay = 20 * time.Millisecond
	config.RepairPeriod = 100 * time.Millisecond
	config.StoreRetryInitial, config.StoreRetryMax = 20*time.Millisecond, 100*time.Millisecond
	return config
}

func (f *testFleet) start(id, zone string) *testNode {
	f.t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	n := &testNode{
		fleet: f,
		node:  member.Node{AvailabilityZone: zone, ID: id, PeerAddress: listener.Addr().String()},
		pool:  &peer.Pool{},
	}
	n.Spreader = &spread.Spreader{
		Config:    testConfig(),
		Documents: &spread.Documents{Decode: decode},
		Logger:    slog.New(slog.DiscardHandler),
		Members:   n,
		Peers:     n.pool,
		Prefix:    prefix,
		Store:     gatedStore{fakeStore: f.store, gate: &n.gate},
	}
	server := grpc.NewServer(grpc.UnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		n.gate.wait()
		return handle(ctx, request)
	}))
	n.Register(server)
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.t.Context()))
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { return n.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		server.Stop()
		cancel()
		_ = n.pool.Close()
		_ = group.Wait()
	})
	f.t.Cleanup(n.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live[id] = n.node
	f.nodes[id] = n
	return n
}

// crash stops a node but leaves it in the member list of the others.
func (f *testFleet) crash(id string) {
	f.nodes[id].stop()
	delete(f.nodes, id)
}

// removeMember removes a crashed node from the member list of the others.
func (f *testFleet) removeMember(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.live, id)
}

func decode(entry spread.Entry) (document.Accepted, error) {
	if string(entry.Value) == "unreadable" {
		return document.Accepted{}, errors.New("document is unreadable")
	}
	return document.Accepted{
		Document: document.Document{Service: document.Service{Name: entry.Key[len(prefix):]}},
		Revision: entry.Revision,
		Text:     string(entry.Value),
	}, nil
}

// await waits until text is in force on all nodes; "" means no document.
func (f *testFleet) await(service, text string) {
	f.t.Helper()
	for _, n := range f.nodes {
		for {
			accepted, ok := n.Documents.Document(service)
			if accepted.Text == text && ok == (text != "") {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func (f *testFleet) readers(zone string) []string {
	for _, n := range f.nodes {
		return spread.Readers(n.Nodes(), zone, 2)
	}
	return nil
}
