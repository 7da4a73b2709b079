package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/follow"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

func hostIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("h%03d", i))
	}
	return ids
}

func readersOf(hosts []string) []string {
	var readers []string
	for _, id := range hosts {
		if follow.IsReader(id, hosts) {
			readers = append(readers, id)
		}
	}
	return readers
}

func TestReaderCountAndStability(t *testing.T) {
	cases := map[string]struct{ hosts, want int }{
		"one host": {1, 1}, "two hosts": {2, 2}, "9 hosts": {9, 2}, "73 hosts": {73, 2}, "720 hosts": {720, 18},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hosts := hostIDs(c.hosts)
			readers := readersOf(hosts)
			is.Equal(len(readers), c.want)
			if c.hosts < 9 {
				return
			}
			remaining := slices.DeleteFunc(slices.Clone(hosts), func(id string) bool { return id == readers[0] })
			is.Equal(len(intersect(readers, readersOf(remaining))), len(readers)-1) // the other readers keep their role
		})
	}
}

func intersect(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(id string) bool { return !slices.Contains(b, id) })
}

// testFleet is a host that follows readers. All readers share one mirror of the store
// and one address.
type testFleet struct {
	follower *follow.Source
	reader   *mirror.Mirror
	roster   *roster.Roster
}

const (
	prefix       = "a/"
	watchTimeout = 200 * time.Millisecond
)

func newTestFleet(t *testing.T, store kv.Store, others ...*mirror.Mirror) *testFleet {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	f := &testFleet{
		reader: &mirror.Mirror{Logger: logger, MaxAge: 2 * watchTimeout, Prefix: prefix, Store: store, WatchTimeout: watchTimeout},
		roster: &roster.Roster{Logger: logger, Store: store},
	}
	hosts := hostIDs(4)
	var change mirror.Change
	for _, id := range hosts {
		value, err := json.Marshal(roster.Host{ID: id, Incarnation: id + "-1", PeerAddress: address})
		if err != nil {
			t.Fatal(err)
		}
		change.Events = append(change.Events, kv.Event{Entry: kv.Entry{Key: roster.Prefix + id, ModRevision: 1, Value: value}})
	}
	f.roster.Apply(change)
	self := slices.DeleteFunc(slices.Clone(hosts), func(id string) bool { return follow.IsReader(id, hosts) })[0]
	pool := &peer.Pool{Options: peer.LocalDialOptions()}
	f.follower = &follow.Source{Pool: pool, Roster: f.roster, Self: self}
	server := &peer.Server{Address: address, Register: func(s *grpc.Server) { follow.Register(s, append(others, f.reader)) }}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	for _, m := range append(others, f.reader) {
		group.Go(func() error { return m.Run(ctx) })
	}
	t.Cleanup(func() {
		_ = pool.Close()
		cancel()
		_ = group.Wait()
	})
	return f
}

func put(t *testing.T, store kv.Store, key string) int64 {
	t.Helper()
	result, err := store.Commit(t.Context(), kv.Txn{Writes: []kv.Write{{Key: key, Value: []byte("v")}}})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

// follow retries until a reader answers, because the server may still be starting.
func (f *testFleet) follow(t *testing.T, revision int64) mirror.Update {
	t.Helper()
	for {
		update, ok, err := f.follower.Follow(t.Context(), prefix, revision)
		if ok && err == nil {
			return update
		}
		time.Sleep(10 * time.Millisecond) // An endless loop fails by the test timeout.
	}
}

func TestFollowerReceivesChangesFromReader(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	put(t, store, "a/x")
	f := newTestFleet(t, store)
	update := f.follow(t, 0)
	is.True(update.Reset) // revision 0 requests a full list
	is.Equal(len(update.Events), 1)
	revision := put(t, store, "a/y")
	update = f.follow(t, update.Revision)
	is.True(!update.Reset)
	is.Equal(len(update.Events), 1) // later only the changes
	is.Equal(update.Events[0].Entry.Key, "a/y")
	is.Equal(update.Events[0].Entry.ModRevision, revision)
	store.Remove("a/x")
	update = f.follow(t, update.Revision)
	is.True(update.Events[0].Delete)
}

// TestFollowerAheadOfItsReaderWaits has a host that has just read the store itself, so that
// it knows a later revision than its reader.
func TestFollowerAheadOfItsReaderWaits(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	put(t, store, "a/x")
	f := newTestFleet(t, store)
	ahead := f.follow(t, 0).Revision + 5
	update, ok, err := f.follower.Follow(t.Context(), prefix, ahead)
	is.True(ok)
	is.NoErr(err)
	is.Equal(len(update.Events), 0)
	for range 6 {
		put(t, store, "a/y")
	}
	update, ok, err = f.follower.Follow(t.Context(), prefix, ahead)
	is.True(ok)
	is.NoErr(err)
	is.Equal(len(update.Events), 1) // only the change that it doesn't know
	f.loseStore(store)
	_, ok, err = f.follower.Follow(t.Context(), prefix, ahead+100)
	is.True(ok)
	is.True(err != nil) // too old, however far ahead the host is
}

// TestReaderTooOldForOnePrefixServesAnother has readers that the store answers for one prefix
// only.
func TestReaderTooOldForOnePrefixServesAnother(t *testing.T) {
	is := is.New(t)
	store, other := &kvmemory.Store{}, &kvmemory.Store{}
	put(t, store, "a/x")
	put(t, other, "b/x")
	f := newTestFleet(t, store, &mirror.Mirror{Logger: slog.New(slog.DiscardHandler), Prefix: "b/", Store: other, WatchTimeout: watchTimeout})
	known := f.follow(t, 0).Revision
	f.loseStore(store)
	_, ok, err := f.follower.Follow(t.Context(), prefix, known)
	is.True(ok)
	is.True(err != nil)
	_, ok, _ = f.follower.Follow(t.Context(), prefix, known)
	is.True(!ok) // all readers are too old for this prefix
	update, ok, err := f.follower.Follow(t.Context(), "b/", 0)
	is.True(ok)
	is.NoErr(err)
	is.Equal(len(update.Events), 1)
	store.Inject(nil)
	put(t, store, "a/y")
	time.Sleep(time.Second)
	update, ok, err = f.follower.Follow(t.Context(), prefix, known)
	is.True(ok) // asked again soon
	is.NoErr(err)
	is.Equal(len(update.Events), 1)
}

// loseStore takes the store away from the readers until their copies are too old.
func (f *testFleet) loseStore(store *kvmemory.Store) {
	store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
	time.Sleep(watchTimeout + f.reader.MaxAge)
}

func TestFollowerFallsBackToStore(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	put(t, store, "a/x")
	f := newTestFleet(t, store)
	known := f.follow(t, 0).Revision
	_, ok, err := f.follower.Follow(t.Context(), "b/", 0)
	is.True(ok)
	is.True(err != nil) // no mirror of this prefix
	f.loseStore(store)
	_, ok, err = f.follower.Follow(t.Context(), prefix, known)
	is.True(ok)
	is.True(err != nil) // the copy of the second reader is too old
	_, ok, _ = f.follower.Follow(t.Context(), prefix, known)
	is.True(!ok) // both readers failed recently: the host reads the store itself
	reader := &follow.Source{Pool: f.follower.Pool, Roster: f.roster, Self: readersOf(hostIDs(4))[0]}
	_, ok, _ = reader.Follow(t.Context(), prefix, known)
	is.True(!ok) // a reader always reads the store itself
}
