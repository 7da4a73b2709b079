package failover

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// gate is a node's way to the key-value service and to the engines. While it is
// closed the node is crashed or paused: its calls wait.
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

// pass waits while the gate is closed, whatever the context says: a paused
// process does not notice its deadlines.
func (g *gate) pass() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

// gatedStore is the key-value service behind a gate.
type gatedStore struct {
	kv.Store
	gate *gate
}

func (s gatedStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.gate.pass()
	return s.Store.Commit(ctx, txn)
}

func (s gatedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.gate.pass()
	return s.Store.Get(ctx, key)
}

func (s gatedStore) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.gate.pass()
	return s.Store.GrantLease(ctx, ttl)
}

func (s gatedStore) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	s.gate.pass()
	return s.Store.KeepAlive(ctx, id)
}

func (s gatedStore) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	s.gate.pass()
	return s.Store.RevokeLease(ctx, id)
}
