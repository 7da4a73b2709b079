package leaving_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/leaving"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// countingStore counts commits.
type countingStore struct {
	*kvmemory.Store

	commits atomic.Int64
}

func (s *countingStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.commits.Add(1)
	return s.Store.Commit(ctx, txn)
}

// host is the board of one host with what it knows of servers.
type host struct {
	*leaving.Board

	servers *inventory.Inventory
}

// withHosts runs a test with three hosts that know two servers.
func withHosts(t *testing.T, run func(t *testing.T, store *countingStore, hosts []host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store := &countingStore{Store: &kvmemory.Store{}}
		logger := slog.New(slog.DiscardHandler)
		var hosts []host
		for range 3 {
			servers := &inventory.Inventory{}
			for _, id := range []string{"a", "b"} {
				servers.Set(inventory.Server{ID: id, Service: "s", Started: 1})
			}
			board := &leaving.Board{Inventory: servers, Logger: logger, Store: store}
			live := &mirror.Mirror{Logger: logger, OnChange: board.Apply, Prefix: mirror.LivePrefix, Store: store}
			group.Go(func() error { return board.Run(ctx) })
			group.Go(func() error { return live.Run(ctx) })
			hosts = append(hosts, host{Board: board, servers: servers})
		}
		wait.For(ctx, time.Second)
		run(t, store, hosts)
		cancel()
		is.New(t).NoErr(group.Wait())
	})
}

func avoided(hosts []host) int {
	n := 0
	for _, h := range hosts {
		if h.servers.CheckAvailable("a") != nil {
			n++
		}
	}
	return n
}

func TestAllHostsHear(t *testing.T) {
	withHosts(t, func(t *testing.T, store *countingStore, hosts []host) {
		t.Helper()
		is := is.New(t)
		for _, h := range hosts[:2] {
			h.Heard("a")
		}
		is.Equal(avoided(hosts), 2) // at once where it was heard
		wait.For(t.Context(), time.Second)
		is.Equal(avoided(hosts), 3)
		is.True(store.commits.Load() <= 2)
		wait.For(t.Context(), 2*time.Minute)
		is.Equal(avoided(hosts), 3) // longer than the key
		entries, _, err := store.List(t.Context(), mirror.LivePrefix)
		is.NoErr(err)
		is.Equal(len(entries), 0)
	})
}

// TestListedServersCostNothing has a server that the platform lists as draining meanwhile.
func TestListedServersCostNothing(t *testing.T) {
	withHosts(t, func(t *testing.T, store *countingStore, hosts []host) {
		t.Helper()
		is := is.New(t)
		for _, h := range hosts {
			h.Heard("a")
			h.servers.Set(inventory.Server{Draining: true, ID: "a", Service: "s", Started: 1})
		}
		wait.For(t.Context(), time.Second)
		is.Equal(store.commits.Load(), int64(0))
		is.Equal(avoided(hosts), 3)
	})
}

func TestStoreAwayWhileAServerLeaves(t *testing.T) {
	withHosts(t, func(t *testing.T, store *countingStore, hosts []host) {
		t.Helper()
		is := is.New(t)
		store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
		hosts[0].Heard("a")
		wait.For(t.Context(), 2*time.Second)
		is.Equal(avoided(hosts), 1)
		store.Inject(nil)
		wait.For(t.Context(), 3*time.Second)
		is.Equal(avoided(hosts), 3)
	})
}

// TestWordsThatMeanNothing are bytes of another writer and of an earlier start.
func TestWordsThatMeanNothing(t *testing.T) {
	withHosts(t, func(t *testing.T, store *countingStore, hosts []host) {
		t.Helper()
		for _, value := range []string{"{", `{"started":0}`, `{"started":7}`} {
			store.Put(kv.Write{Key: mirror.LivePrefix + "leaving/a", Value: []byte(value)})
			wait.For(t.Context(), time.Second)
		}
		is.New(t).Equal(avoided(hosts), 0)
	})
}
