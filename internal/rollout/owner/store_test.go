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

// faultyStore is a store whose commits of stream segments fail as a test
// requests.
type faultyStore struct {
	kv.Store

	// dead makes commits, keep-alives and revocations fail, as if the node's
	// process had crashed.
	dead atomic.Bool
	mu   sync.Mutex
	// before is called before each transaction that writes a segment; its error
	// prevents the commit.
	before func(txn kv.Txn) error
	// after is called after such a transaction has been committed; its error
	// replaces the reply.
	after func(txn kv.Txn) error
}

func (s *faultyStore) setFaults(before, after func(kv.Txn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.after = before, after
}

var errProcessGone = kind.New(kind.StoreUnavailable, "the node's process has crashed")

func (s *faultyStore) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	if s.dead.Load() {
		return errProcessGone
	}
	return s.Store.RevokeLease(ctx, id)
}

func (s *faultyStore) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if s.dead.Load() {
		return 0, errProcessGone
	}
	return s.Store.KeepAlive(ctx, id)
}

func (s *faultyStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.dead.Load() {
		return kv.TxnResult{}, errProcessGone
	}
	s.mu.Lock()
	before, after := s.before, s.after
	s.mu.Unlock()
	writesSegment := slices.ContainsFunc(txn.Writes, func(w kv.Write) bool {
		return !w.Delete && strings.Contains(w.Key, "/segments/")
	})
	if writesSegment && before != nil {
		if err := before(txn); err != nil {
			return kv.TxnResult{}, err
		}
	}
	result, err := s.Store.Commit(ctx, txn)
	if writesSegment && after != nil && err == nil && result.Committed {
		if err := after(txn); err != nil {
			return kv.TxnResult{}, err
		}
	}
	return result, err
}
