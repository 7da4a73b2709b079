package owner_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// faultyStore fails commits of a stream as a test asks.
type faultyStore struct {
	kv.Store

	// dead is set when the process of the store's user is gone.
	dead atomic.Bool
	mu   sync.Mutex
	// before is called with each transaction that carries a segment.
	before func(txn kv.Txn) error
	// after is called when it took effect; its error replaces the reply.
	after func(txn kv.Txn) error
}

func (s *faultyStore) set(before, after func(kv.Txn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.after = before, after
}

var errDead = kind.New(kind.StoreUnavailable, "the process is gone")

func (s *faultyStore) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	if s.dead.Load() {
		return errDead
	}
	return s.Store.RevokeLease(ctx, id)
}

func (s *faultyStore) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if s.dead.Load() {
		return 0, errDead
	}
	return s.Store.KeepAlive(ctx, id)
}

func (s *faultyStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.dead.Load() {
		return kv.TxnResult{}, errDead
	}
	s.mu.Lock()
	before, after := s.before, s.after
	s.mu.Unlock()
	segment := slices.ContainsFunc(txn.Writes, func(w kv.Write) bool {
		return !w.Delete && strings.Contains(w.Key, "/segments/")
	})
	if segment && before != nil {
		if err := before(txn); err != nil {
			return kv.TxnResult{}, err
		}
	}
	result, err := s.Store.Commit(ctx, txn)
	if segment && after != nil && err == nil && result.Committed {
		if err := after(txn); err != nil {
			return kv.TxnResult{}, err
		}
	}
	return result, err
}
