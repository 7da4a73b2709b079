package lease_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// fakeStore is an in-memory kv.Store for a single key. Leases expire by time.Now,
// which is virtual in a synctest bubble. Each call takes a random time, and replies
// are lost at random after the call has taken effect.
type fakeStore struct {
	kv.Store

	replyLossRate float64
	random        *rand.Rand

	mu        sync.Mutex
	down      bool
	entry     kv.Entry
	expires   map[kv.LeaseID]time.Time
	lastLease kv.LeaseID
	revision  int64
	ttl       time.Duration
}

func newFakeStore(seed uint64, replyLossRate float64) *fakeStore {
	return &fakeStore{
		expires:       map[kv.LeaseID]time.Time{},
		replyLossRate: replyLossRate,
		random:        rand.New(rand.NewPCG(seed, seed)),
	}
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// call runs effect between two random delays.
func (f *fakeStore) call(effect func()) error {
	f.mu.Lock()
	requestDelay, replyDelay := f.randomDelay(), f.randomDelay()
	f.mu.Unlock()
	time.Sleep(requestDelay)
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return kind.New(kind.StoreUnavailable, "fake store is down")
	}
	if f.entry.Lease != 0 && !time.Now().Before(f.expires[f.entry.Lease]) {
		f.entry = kv.Entry{}
	}
	effect()
	lost := f.random.Float64() < f.replyLossRate
	f.mu.Unlock()
	time.Sleep(replyDelay)
	if lost {
		return kind.New(kind.StoreWriteUnknown, "fake store lost the reply")
	}
	return nil
}

func (f *fakeStore) randomDelay() time.Duration {
	return time.Duration(f.random.IntN(300)) * time.Millisecond
}

func (f *fakeStore) Get(context.Context, string) (entry kv.Entry, err error) {
	err = f.call(func() { entry = f.entry })
	return entry, err
}

func (f *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (id kv.LeaseID, err error) {
	err = f.call(func() {
		f.lastLease++
		id, f.ttl = f.lastLease, ttl
		f.expires[id] = time.Now().Add(ttl)
	})
	return id, err
}

func (f *fakeStore) Commit(_ context.Context, txn kv.Txn) (result kv.TxnResult, err error) {
	err = f.call(func() {
		write := txn.Writes[0]
		if f.entry.ModRevision != 0 || !time.Now().Before(f.expires[write.Lease]) {
			result = kv.TxnResult{Current: []kv.Entry{f.entry}, Revision: f.revision}
			return
		}
		f.revision++
		f.entry = kv.Entry{
			CreateRevision: f.revision,
			Key:            write.Key,
			Lease:          write.Lease,
			ModRevision:    f.revision,
			Value:          write.Value,
		}
		result = kv.TxnResult{Committed: true, Revision: f.revision}
	})
	return result, err
}

func (f *fakeStore) KeepAlive(_ context.Context, id kv.LeaseID) (left time.Duration, err error) {
	err = f.call(func() {
		if time.Now().Before(f.expires[id]) {
			f.expires[id], left = time.Now().Add(f.ttl), f.ttl
		}
	})
	return left, err
}

func (f *fakeStore) RevokeLease(_ context.Context, id kv.LeaseID) error {
	return f.call(func() {
		delete(f.expires, id)
		if f.entry.Lease == id {
			f.entry = kv.Entry{}
		}
	})
}
