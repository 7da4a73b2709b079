package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// leaseSharingPeriod is how long a lease is used for new records. Records expire with
// their shared lease and need not be deleted one by one.
const leaseSharingPeriod = time.Minute

// leaseCache holds the current lease for each retention time.
type leaseCache struct {
	mu          sync.Mutex
	byRetention map[time.Duration]sharedLease
}

type sharedLease struct {
	id          kv.LeaseID
	sharedUntil time.Time
}

// get returns a lease that lasts at least as long as the retention.
func (l *leaseCache) get(ctx context.Context, store kv.Store, retention time.Duration) (kv.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if s, ok := l.byRetention[retention]; ok && now.Before(s.sharedUntil) {
		return s.id, nil
	}
	id, err := store.GrantLease(ctx, retention+leaseSharingPeriod)
	if err != nil {
		return 0, err
	}
	if l.byRetention == nil {
		l.byRetention = make(map[time.Duration]sharedLease)
	}
	for other, s := range l.byRetention {
		if now.After(s.sharedUntil) {
			delete(l.byRetention, other)
		}
	}
	l.byRetention[retention] = sharedLease{id: id, sharedUntil: now.Add(leaseSharingPeriod)}
	return id, nil
}

// forget removes the leases of a transaction that failed because one of them had
// expired.
func (l *leaseCache) forget(txn kv.Txn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for retention, s := range l.byRetention {
		for _, write := range txn.Writes {
			if write.Lease == s.id {
				delete(l.byRetention, retention)
				break
			}
		}
	}
}
