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

// host is the broadcaster of one host together with its inventory of servers.
type host struct {
	*leaving.Broadcaster

	servers *inventory.Inventory
}

// withHosts runs a test with three hosts, each of which has two servers listed.
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
			broadcaster := &leaving.Broadcaster{Inventory: servers, Logger: logger, Store: store}
			live := &mirror.Mirror{Logger: logger, OnChange: broadcaster.Apply, Prefix: mirror.LivePrefix, Store: store}
			group.Go(func() error { return broadcaster.Run(ctx) })
			group.Go(func() error { return live.Run(ctx) })
			hosts = append(hosts, host{Broadcaster: broadcaster, servers: servers})
		}
		wait.For(ctx, time.Second)
		run(t, store, hosts)
		cancel()
		is.New(t).NoErr(group.Wait())
	})
}

// hostsAvoidingServer returns the number of hosts that send no new work to server a.
func hostsAvoidingServer(hosts []host) int {
	n := 0
	for _, h := range hosts {
		if h.servers.CheckAvailable("a") != nil {
			n++
		}
	}
	return n
}

func TestAllHostsAreNotified(t *testing.T) {
	withHosts(t, func(t *testing.T, store *countingStore, hosts []host) {
		t.Helper()
		is := is.New(t)
		for _, h := range hosts[:2] {
			h.ServerLeaving("a")
		}
		is.Equal(hostsAvoidingServer(hosts), 2) // immediately on the hosts that received the answer
		wait.For(t.Context(), time.Second)
		is.Equal(hostsAvoidingServer(hosts), 3)
		is.True(store.commits.Load() <= 2)
		wait.For(t.Context(), 2*time.Minute)
		is.Equal(hostsAvoidingServer(hosts), 3) // still remembered after the key has expired
		entries, _, err := store.List(t.Context(), mirror.LivePrefix)
		is.NoErr(err)
		is.Equal(len(entries), 0)
	})
}

// TestDrainingServersAreNotAnnounced lists a server as draining before it is announced.
func TestDrainingServersAreNotAnnounced(t *testing.T) {
	withHosts(t, func(t *testing.T, store *countingStore, hosts []host) {
		t.Helper()
		is := is.New(t)
		for _, h := range hosts {
			h.ServerLeaving("a")
			h.servers.Set(inventory.Server{Draining: true, ID: "a", Service: "s", Started: 1})
		}
		wait.For(t.Context(), time.Second)
		is.Equal(store.commits.Load(), int64(0))
		is.Equal(hostsAvoidingServer(hosts), 3)
	})
}

func TestAnnouncementAfterStoreOutage(t *testing.T) {
	withHosts(t, func(t *testing.T, store *countingStore, hosts []host) {
		t.Helper()
		is := is.New(t)
		store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
		hosts[0].ServerLeaving("a")
		wait.For(t.Context(), 2*time.Second)
		is.Equal(hostsAvoidingServer(hosts), 1)
		store.Inject(nil)
		wait.For(t.Context(), 3*time.Second)
		is.Equal(hostsAvoidingServer(hosts), 3)
	})
}

// TestInvalidNoticesAreIgnored writes malformed notices and one for another start of
// the server.
func TestInvalidNoticesAreIgnored(t *testing.T) {
	withHosts(t, func(t *testing.T, store *countingStore, hosts []host) {
		t.Helper()
		for _, value := range []string{"{", `{"started":0}`, `{"started":7}`} {
			store.Put(kv.Write{Key: mirror.LivePrefix + "leaving/a", Value: []byte(value)})
			wait.For(t.Context(), time.Second)
		}
		is.New(t).Equal(hostsAvoidingServer(hosts), 0)
	})
}
