package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
)

// waitForVersion waits until all engines serve version number or a later one.
func (f *fixture) waitForVersion(ctx context.Context, number int64) error {
	for {
		behind := 0
		for _, e := range f.engines {
			if e.Status().Version < number {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// verifySwaps verifies that no engine swapped to an older version. It may only be
// used if no engine was restarted.
func (f *fixture) verifySwaps(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for _, e := range f.engines {
		var last int64
		for _, swap := range e.GroundTruth().Swaps {
			is.True(swap.Version > last)
			last = swap.Version
		}
	}
}

func TestSwapFailsOnThreeOfTenEngines(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 10, func(_ int, e *standinengine.Engine) {
		e.SwapTime = 200 * time.Millisecond
		e.PauseOnSwap = true
	})
	for _, i := range []int{1, 4, 7} {
		f.engines[i].Inject(standinengine.Fault{Kind: standinengine.FaultSwapPartway})
	}
	tr := f.trainer("trainer-a")
	groups := makeGroups(10, 60)
	for i, g := range groups {
		is.NoErr(tr.post(ctx, "groups", g))
		if i == 3 {
			is.NoErr(tr.post(ctx, "versions", map[string]int64{"version": 2}))
		}
	}
	// A server whose swap failed is excluded until a load succeeds.
	excluded := func() (n int) {
		for _, s := range f.servers {
			if !f.nodes[0].exclusions.Eligible(service, s.ID) {
				n++
			}
		}
		return n
	}
	for excluded() == 0 {
		is.NoErr(sleep(ctx, 5*time.Millisecond))
	}
	is.NoErr(f.waitForVersion(ctx, 2))
	for excluded() > 0 {
		is.NoErr(sleep(ctx, 5*time.Millisecond))
	}
	is.NoErr(tr.readUntil(ctx, 40))
	tr.verify(t, groups)
	f.verifySwaps(t)
}

func TestEngineRestartedWithOldWeightsIsReloaded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 3, nil)
	tr := f.trainer("trainer-a")
	is.NoErr(tr.post(ctx, "versions", map[string]int64{"version": 2}))
	is.NoErr(f.waitForVersion(ctx, 2))
	f.engines[0].Crash()
	f.engines[0].Restart()
	// The restart is asynchronous. The second swap shows that the engine has
	// loaded the weights again after it.
	for len(f.engines[0].GroundTruth().Swaps) < 2 {
		is.NoErr(sleep(ctx, 20*time.Millisecond))
	}
	is.NoErr(f.waitForVersion(ctx, 2))
	for _, n := range f.nodes {
		for !n.exclusions.Eligible(service, "engine-00") {
			is.NoErr(sleep(ctx, 20*time.Millisecond))
		}
	}
}

func TestVersionsPublishedFasterThanLoadedAreSkipped(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 4, func(_ int, e *standinengine.Engine) { e.SwapTime = 300 * time.Millisecond })
	tr := f.trainer("trainer-a")
	groups := makeGroups(8, 60)
	for i, g := range groups {
		is.NoErr(tr.post(ctx, "versions", map[string]int64{"version": int64(i + 2)}))
		is.NoErr(tr.post(ctx, "groups", g))
		is.NoErr(sleep(ctx, 60*time.Millisecond))
	}
	is.NoErr(f.waitForVersion(ctx, 9))
	is.NoErr(tr.readUntil(ctx, 32))
	tr.verify(t, groups)
	f.verifySwaps(t)
	for _, e := range f.engines {
		is.True(len(e.GroundTruth().Swaps) < 8) // some versions were skipped
	}
}

// TestDistributorWithoutLeaseSendsNoOrders makes the distributor lose its lease while it
// still runs and reaches the engines. It must not send them orders with its old
// fencing token.
func TestDistributorWithoutLeaseSendsNoOrders(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 4, 3, nil)
	tr := f.trainer("trainer-a")
	is.NoErr(tr.post(ctx, "versions", map[string]int64{"version": 2}))
	is.NoErr(f.waitForVersion(ctx, 2))
	formerHolder := f.leaseHolder(ctx, "weights/"+service+"/0")
	formerHolder.store.dead.Store(true) // its lease renewals fail from here on
	for f.leaseHolder(ctx, "weights/"+service+"/0") == formerHolder {
		is.NoErr(sleep(ctx, 20*time.Millisecond))
	}
	formerHolder.dead.Store(true) // the trainer uses the other nodes
	is.NoErr(tr.post(ctx, "versions", map[string]int64{"version": 3}))
	is.NoErr(f.waitForVersion(ctx, 3))
	formerHolder.store.dead.Store(false)
	is.NoErr(sleep(ctx, claimTTL))
	for _, e := range f.engines {
		for _, order := range e.GroundTruth().Orders {
			is.True(!order.Stale)
		}
	}
	f.verifySwaps(t)
}
