package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// leaseSlot is the time for which records share one lease of the store. The
// lease ends them together, so that no one has to delete them.
const leaseSlot = time.Minute

// leases holds the current lease of each retention time.
type leases struct {
	mu     sync.Mutex
	byKeep map[time.Duration]slot
}

type slot struct {
	id    kv.LeaseID
	until time.Time
}

// get returns a lease that keeps a key for at least keep.
func (l *leases) get(ctx context.Context, store kv.Store, keep time.Duration) (kv.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if s, ok := l.byKeep[keep]; ok && now.Before(s.until) {
		return s.id, nil
	}
	id, err := store.GrantLease(ctx, keep+leaseSlot)
	if err != nil {
		return 0, err
	}
	if l.byKeep == nil {
		l.byKeep = make(map[time.Duration]slot)
	}
	for other, s := range l.byKeep {
		if now.After(s.until) {
			delete(l.byKeep, other)
		}
	}
	l.byKeep[keep] = slot{id: id, until: now.Add(leaseSlot)}
	return id, nil
}

// forget drops the leases of a transaction that named one which has ended.
func (l *leases) forget(txn kv.Txn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for keep, s := range l.byKeep {
		for _, write := range txn.Writes {
			if write.Lease == s.id {
				delete(l.byKeep, keep)
				break
			}
		}
	}
}
