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

// exclusionChecker checks that at most one holder acts at a time and that the
// fencing token never decreases.
type exclusionChecker struct {
	mu               sync.Mutex
	active           int
	violated         bool
	lastFencingToken int64
	terms            int
}

func (c *exclusionChecker) whileHeld(ctx context.Context, grant lease.Grant) error {
	c.mu.Lock()
	c.violated = c.violated || c.active > 0 || grant.FencingToken < c.lastFencingToken
	c.active++
	c.lastFencingToken = grant.FencingToken
	c.terms++
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	return nil
}

func newHolder(id string, store kv.Store, whileHeld func(context.Context, lease.Grant) error) *lease.Holder {
	return &lease.Holder{ID: id, Logger: slog.New(slog.DiscardHandler), Name: "job", WhileHeld: whileHeld, Store: store, TTL: ttl}
}

func TestAtMostOneHolderActs(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		lossRate := rapid.Float64Range(0, 0.4).Draw(r, "loss")
		var checker exclusionChecker
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(seed, lossRate)
			random := rand.New(rand.NewPCG(seed, 100))
			group, ctx := errgroup.WithContext(t.Context())
			ctx, cancel := context.WithCancel(ctx)
			for i, id := range []string{"a", "b", "c"} {
				holderRandom := rand.New(rand.NewPCG(seed, uint64(i)))
				group.Go(func() error {
					for ctx.Err() == nil {
						runCtx, stop := context.WithTimeout(ctx, time.Duration(10+holderRandom.IntN(40))*time.Second)
						if err := newHolder(id, store, checker.whileHeld).Run(runCtx); err != nil {
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
		if checker.violated || checker.terms == 0 {
			r.Fatalf("violated=%v terms=%d, want false and at least 1 term", checker.violated, checker.terms)
		}
	})
}

func TestHolderStopsInStoreOutageAndResumesWithHigherFencingToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore(1, 0)
		holder := newHolder("a", store, nil)
		group, ctx := errgroup.WithContext(t.Context())
		ctx, cancel := context.WithCancel(ctx)
		group.Go(func() error { return holder.Run(ctx) })
		time.Sleep(2 * ttl)
		store.setDown(true)
		// The reply to a renewal that is in flight may still extend the deadline.
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

func TestTakeoverThroughEtcd(t *testing.T) {
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
	fencingTokens := make(chan int64)
	whileHeld := func(ctx context.Context, grant lease.Grant) error {
		select {
		case fencingTokens <- grant.FencingToken:
		case <-ctx.Done():
		}
		return nil
	}
	for _, id := range []string{"a", "b"} {
		holder := newHolder(id, client, whileHeld)
		holder.TTL = time.Second
		group.Go(func() error { return holder.Run(ctx) })
	}
	first := <-fencingTokens
	entry, err := client.Get(ctx, "nutmegway/leases/job")
	is.NoErr(err)
	is.Equal(entry.CreateRevision, first)
	server.ExpireLease(int64(entry.Lease))
	is.True(<-fencingTokens > first)
}

// TestHeldNeverOutlivesTheLease draws random times for calls, their effects
// and their replies. A holder that may act must always have a lease that has not
// expired in the store.
func TestHeldNeverOutlivesTheLease(t *testing.T) {
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
				l.Advance(now)
			default:
				expires = effect.Add(ttl)
				l.Renewed(sent, now, ttl)
			}
			now = now.Add(wait())
			if _, _, ok := l.Held(now); ok && !now.Before(expires) {
				r.Fatalf("lease is held at %s, but expired at %s", now, expires)
			}
		}
	})
}
