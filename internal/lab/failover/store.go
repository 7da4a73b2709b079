package failover

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// gate simulates the pause or crash of a node: while it is closed, the node's calls
// to the key-value store and to the engines wait.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
}

// wait blocks while the gate is closed. It takes no context, because a paused process
// does not notice its deadlines.
func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

// gatedStore is a key-value store whose calls wait at a gate.
type gatedStore struct {
	kv.Store
	gate *gate
}

func (s gatedStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.gate.wait()
	return s.Store.Commit(ctx, txn)
}

func (s gatedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.gate.wait()
	return s.Store.Get(ctx, key)
}

func (s gatedStore) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.gate.wait()
	return s.Store.GrantLease(ctx, ttl)
}

func (s gatedStore) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	s.gate.wait()
	return s.Store.KeepAlive(ctx, id)
}

func (s gatedStore) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	s.gate.wait()
	return s.Store.RevokeLease(ctx, id)
}
