package lease_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/lease"
	standin "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

const ttl = 5 * time.Second

// ledger checks that one holder acts at a time and that each new one has a
// higher fencing number.
type ledger struct {
	mu      sync.Mutex
	acting  int
	clash   bool
	fence   int64
	periods int
}

func (l *ledger) own(ctx context.Context, grant lease.Grant) error {
	l.mu.Lock()
	l.clash = l.clash || l.acting > 0 || grant.Fence < l.fence
	l.acting++
	l.fence = grant.Fence
	l.periods++
	l.mu.Unlock()
	<-ctx.Done()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acting--
	return nil
}

func newHolder(id string, store kv.Store, own func(context.Context, lease.Grant) error) *lease.Holder {
	return &lease.Holder{ID: id, Logger: slog.New(slog.DiscardHandler), Name: "job", Own: own, Store: store, TTL: ttl}
}

func TestOneHolderActsAtATime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		loss := rapid.Float64Range(0, 0.4).Draw(r, "loss")
		var book ledger
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(seed, loss)
			random := rand.New(rand.NewPCG(seed, 100))
			group, ctx := errgroup.WithContext(t.Context())
			ctx, cancel := context.WithCancel(ctx)
			for i, id := range []string{"a", "b", "c"} {
				life := rand.New(rand.NewPCG(seed, uint64(i)))
				group.Go(func() error {
					for ctx.Err() == nil {
						runCtx, stop := context.WithTimeout(ctx, time.Duration(10+life.IntN(40))*time.Second)
						if err := newHolder(id, store, book.own).Run(runCtx); err != nil {
							stop()
							return err
						}
						stop()
					}
					return nil
				})
			}
			for range 10 {
				time.Sleep(time.Duration(random.IntN(20)) * time.Second)
				store.setDown(random.IntN(3) == 0)
			}
			store.setDown(false)
			time.Sleep(time.Minute)
			cancel()
			is.New(t).NoErr(group.Wait())
		})
		if book.clash || book.periods == 0 {
			r.Fatalf("clash=%v periods=%d", book.clash, book.periods)
		}
	})
}

func TestHolderStopsInAnOutageAndStartsAgainWithAHigherFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore(1, 0)
		holder := newHolder("a", store, nil)
		group, ctx := errgroup.WithContext(t.Context())
		ctx, cancel := context.WithCancel(ctx)
		group.Go(func() error { return holder.Run(ctx) })
		time.Sleep(2 * ttl)
		store.setDown(true)
		// A reply that is on its way still extends the lease.
		time.Sleep(time.Second)
		first, deadline, ok := holder.Held()
		is.True(ok)
		is.True(holder.Valid(deadline.Add(-1)))
		is.True(!holder.Valid(deadline))

		time.Sleep(time.Until(deadline))
		is.Equal(holder.State(), lease.StateDoubtful)
		time.Sleep(ttl)
		store.setDown(false)
		time.Sleep(3 * ttl)
		second, _, ok := holder.Held()
		is.True(ok)
		is.True(second > first)
		cancel()
		is.NoErr(group.Wait())
		is.Equal(holder.State(), lease.StateFree)
		is.Equal(store.entry.ModRevision, int64(0))
	})
}

func TestTakeoverThroughTheService(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{}
	is.NoErr(server.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx) })
	client := &etcd.Store{Endpoints: []string{server.Address()}}
	defer func() {
		cancel()
		is.NoErr(group.Wait())
		is.NoErr(client.Close())
	}()
	fences := make(chan int64)
	own := func(ctx context.Context, grant lease.Grant) error {
		select {
		case fences <- grant.Fence:
		case <-ctx.Done():
		}
		return nil
	}
	for _, id := range []string{"a", "b"} {
		holder := newHolder(id, client, own)
		holder.TTL = time.Second
		group.Go(func() error { return holder.Run(ctx) })
	}
	first := <-fences
	entry, err := client.Get(ctx, "nutmegway/leases/job")
	is.NoErr(err)
	is.Equal(entry.CreateRevision, first)
	server.EndLease(int64(entry.Lease))
	is.True(<-fences > first)
}

// TestLifecycleNeverOutlivesTheLease draws times for calls, effects and
// replies. Whatever they are, a holder that may act has a lease that the
// service has not ended.
func TestLifecycleNeverOutlivesTheLease(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := lease.Lifecycle{Margin: ttl / 4}
		now := time.Unix(0, 0)
		var expires time.Time
		wait := func() time.Duration { return time.Duration(rapid.Int64Range(0, int64(2*ttl)).Draw(r, "wait")) }
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			sent := now
			effect := sent.Add(wait())
			now = effect.Add(wait())
			switch state := l.State(); {
			case state == lease.StateFree || state == lease.StateLost:
				l.Acquire()
			case state == lease.StateAcquiring:
				expires = effect.Add(ttl)
				l.Granted(sent, now, ttl, 1)
			case !effect.Before(expires):
				l.Renewed(sent, now, 0)
			case rapid.Bool().Draw(r, "lost"):
				expires = effect.Add(ttl)
				l.Tick(now)
			default:
				expires = effect.Add(ttl)
				l.Renewed(sent, now, ttl)
			}
			now = now.Add(wait())
			if _, _, ok := l.Held(now); ok && !now.Before(expires) {
				r.Fatalf("held at %s, ended at %s", now, expires)
			}
		}
	})
}
