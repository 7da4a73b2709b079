package duty_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/duty"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

const spacing = 3 * time.Second

// call is one call that reached the platform.
type call struct {
	at   time.Time
	host string
	term duty.Term
}

// fleet is a few hosts that share a store. Each makes calls whenever it holds the duties.
type fleet struct {
	store kvmemory.Store
	ids   []string

	mu    sync.Mutex
	calls []call
}

// node is one host of a fleet.
type node struct {
	kv.Store

	cut, ineligible atomic.Bool
	holder          *duty.Holder
	stop            context.CancelFunc
	// callTime is how long a call takes, in nanoseconds.
	callTime atomic.Int64
}

func (n *node) unavailable() error {
	if n.cut.Load() {
		return kind.New(kind.StoreUnavailable, "cut off")
	}
	return nil
}

func (n *node) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := n.unavailable(); err != nil {
		return kv.TxnResult{}, err
	}
	return n.Store.Commit(ctx, txn)
}

func (n *node) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := n.unavailable(); err != nil {
		return 0, err
	}
	return n.Store.GrantLease(ctx, ttl)
}

func (n *node) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if err := n.unavailable(); err != nil {
		return 0, err
	}
	return n.Store.KeepAlive(ctx, id)
}

func (n *node) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	if err := n.unavailable(); err != nil {
		return err
	}
	return n.Store.RevokeLease(ctx, id)
}

// start starts a host. Its mirror is never cut.
func (f *fleet) start(ctx context.Context, group *errgroup.Group, id string) *node {
	n := &node{Store: &f.store}
	n.holder = &duty.Holder{
		Candidates: func() []string { return f.ids }, Eligible: func() bool { return !n.ineligible.Load() },
		Logger: slog.New(slog.DiscardHandler), Self: id, Spacing: spacing, Store: n,
	}
	live := &mirror.Mirror{Logger: n.holder.Logger, OnChange: n.holder.Apply, Prefix: mirror.LivePrefix, Store: &f.store}
	group.Go(func() error { return live.Run(ctx) })
	dutiesCtx, stop := context.WithCancel(ctx)
	n.stop = stop
	group.Go(func() error { return n.holder.Run(dutiesCtx) })
	group.Go(func() error {
		for wait.For(ctx, 50*time.Millisecond) {
			term, ok := n.holder.Term()
			if !ok {
				continue
			}
			_ = n.holder.Call(ctx, term, func(ctx context.Context) error {
				wait.For(ctx, time.Duration(n.callTime.Load()))
				f.mu.Lock()
				defer f.mu.Unlock()
				f.calls = append(f.calls, call{at: time.Now(), host: id, term: term})
				return nil
			})
		}
		return nil
	})
	return n
}

// broken returns how the calls break the rules for holders, or the empty string. gap is the
// least time between calls of two holders.
func (f *fleet) broken(gap time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, c := range f.calls[1:] {
		before := f.calls[i]
		switch {
		case c.term.Fence < before.term.Fence:
			return fmt.Sprintf("call %d: fence %d after %d", i+1, c.term.Fence, before.term.Fence)
		case c.host != before.host && c.term == before.term:
			return fmt.Sprintf("call %d: %s and %s have fence %d", i+1, before.host, c.host, c.term.Fence)
		case c.host != before.host && c.at.Sub(before.at) < gap:
			return fmt.Sprintf("call %d: %s follows %s after %s", i+1, c.host, before.host, c.at.Sub(before.at))
		}
	}
	return f.turns()
}

// turns returns which hosts called in turns within the spacing, or the empty string.
func (f *fleet) turns() string {
	for i, c := range f.calls {
		var other bool
		for _, before := range slices.Backward(f.calls[:i]) {
			if c.at.Sub(before.at) >= spacing {
				break
			}
			if other && before.host == c.host {
				return fmt.Sprintf("call %d: %s took turns within %s", i, c.host, c.at.Sub(before.at))
			}
			other = other || before.host != c.host
		}
	}
	return ""
}

func (f *fleet) lastCall() call {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.calls) == 0 {
		return call{}
	}
	return f.calls[len(f.calls)-1]
}

// TestOneHolderAtATime makes the holder fail in each way and checks the calls of all hosts.
func TestOneHolderAtATime(t *testing.T) {
	cases := map[string]struct {
		fail func(f *fleet, holder *node)
		// changes tells whether another host has to take the duties over.
		changes bool
		// unaware is how long the holder may go on after the store has ended its lease early.
		unaware time.Duration
	}{
		"nothing fails": {fail: func(*fleet, *node) {}},
		"leaves":        {fail: func(_ *fleet, n *node) { n.stop() }, changes: true},
		"leaves in call": {fail: func(_ *fleet, n *node) {
			n.callTime.Store(int64(400 * time.Millisecond))
			wait.For(context.Background(), 200*time.Millisecond)
			n.stop()
		}, changes: true},
		"not eligible":   {fail: func(_ *fleet, n *node) { n.ineligible.Store(true) }, changes: true},
		"cut from store": {fail: func(_ *fleet, n *node) { n.cut.Store(true) }, changes: true},
		"cut and back": {fail: func(_ *fleet, n *node) {
			n.cut.Store(true)
			wait.For(context.Background(), 5*time.Second)
			n.cut.Store(false)
		}, changes: true},
		"cut for a moment": {fail: func(_ *fleet, n *node) {
			n.cut.Store(true)
			wait.For(context.Background(), 700*time.Millisecond)
			n.cut.Store(false)
		}},
		"leases expire": {fail: func(f *fleet, _ *node) { f.store.ExpireAllLeases() }, changes: true, unaware: 2 * time.Second},
		"store down": {fail: func(f *fleet, _ *node) {
			f.store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
			wait.For(context.Background(), 8*time.Second)
			f.store.Inject(nil)
		}, changes: true},
		"claims are lost": {fail: func(f *fleet, n *node) {
			f.store.Inject(func(method string) kvmemory.Fault {
				if method == "commit" {
					return kvmemory.FaultDelayedCommit
				}
				return kvmemory.FaultNone
			})
			n.cut.Store(true)
			wait.For(context.Background(), 3500*time.Millisecond)
			f.store.CommitDelayed()
			f.store.Inject(nil)
		}, changes: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				f := &fleet{ids: []string{"a", "b", "c"}}
				nodes := make(map[string]*node)
				for _, id := range f.ids {
					nodes[id] = f.start(ctx, &group, id)
				}
				time.Sleep(6 * time.Second)
				first := f.lastCall()
				is.True(first.host != "") // the fleet has a holder
				c.fail(f, nodes[first.host])
				time.Sleep(12 * time.Second)
				last := f.lastCall()
				is.True(time.Since(last.at) < time.Second) // the duties are performed again
				if !c.changes {
					is.Equal(last.term, first.term)
				}
				if c.changes {
					is.True(last.term.Fence > first.term.Fence)
				}
				is.Equal(f.broken(spacing-c.unaware), "")
				cancel()
				_ = group.Wait()
			})
		})
	}
}

func TestTermEndsBeforeItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		f := &fleet{ids: []string{"a"}}
		n := f.start(ctx, &group, "a")
		time.Sleep(6 * time.Second)
		term, ok := n.holder.Term()
		is.True(ok)
		is.NoErr(n.holder.Check(term))
		is.True(kind.Is(n.holder.Check(duty.Term{Fence: term.Fence - 1}), kind.NotOwner)) // an earlier term
		cut := time.Now()
		n.cut.Store(true)
		for n.holder.Check(term) == nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(cut) < 2*time.Second-duty.CallTimeout+10*time.Millisecond)
		cancel()
		_ = group.Wait()
	})
}
