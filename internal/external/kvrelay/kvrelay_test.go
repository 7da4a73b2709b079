package kvrelay_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay/kvrelaypb"
)

// stub is a store with one key whose calls fail with err if it is set.
type stub struct {
	kv.RangeStore

	calls atomic.Int64
	err   atomic.Pointer[kind.Error]
}

func (s *stub) fail() error {
	s.calls.Add(1)
	if err := s.err.Load(); err != nil {
		return err
	}
	return nil
}

func (s *stub) Get(_ context.Context, key string) (kv.Entry, error) {
	return kv.Entry{Key: key, ModRevision: 7, Value: []byte("value")}, s.fail()
}

func (s *stub) Commit(context.Context, kv.Txn) (kv.TxnResult, error) {
	return kv.TxnResult{Current: []kv.Entry{{Key: "a", ModRevision: 7}}, Revision: 8}, s.fail()
}

func (s *stub) Watch(_ context.Context, _ string, revision int64) (kv.Watcher, error) {
	return stubWatcher{s, revision}, nil
}

type stubWatcher struct {
	*stub

	revision int64
}

func (stubWatcher) Close() {}

func (w stubWatcher) Next(context.Context) (kv.Batch, error) {
	if err := w.fail(); err != nil {
		return kv.Batch{}, err
	}
	if w.revision < 5 {
		return kv.Batch{}, kv.ErrCompacted
	}
	return kv.Batch{Events: []kv.Event{{Entry: kv.Entry{Key: "a", ModRevision: w.revision + 1}}}, Revision: w.revision + 1}, nil
}

// peers is a kvrelay.Peers with a single other host, which conn leads to.
type peers struct{ conn *grpc.ClientConn }

func (peers) Addresses() []string { return []string{"peer"} }

func (p peers) Relay(_ string, call func(kvrelaypb.RelayClient) error) error {
	return call(kvrelaypb.NewRelayClient(p.conn))
}

// newPair returns a relay store and the stubs that stand for the service: own receives
// the direct calls of the store, and other the calls that it relays through another
// host.
func newPair(t *testing.T) (store *kvrelay.Store, own, other *stub) {
	t.Helper()
	own, other = &stub{}, &stub{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	kvrelay.Register(server, &kvrelay.Store{Direct: other, Logger: slog.New(slog.DiscardHandler)})
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		server.Stop()
		_ = group.Wait()
	})
	return &kvrelay.Store{Direct: own, Logger: slog.New(slog.DiscardHandler), Peers: peers{conn}}, own, other
}

func TestRelay(t *testing.T) {
	refused := kind.New(kind.StoreUnavailable, "refused")
	lost := kind.New(kind.StoreWriteUnknown, "lost").WithRan(kind.RanUnknown)
	cases := map[string]struct {
		own, other         *kind.Error
		wantKind           kind.Kind
		wantOwn, wantOther int64
	}{
		"direct call succeeds":                        {wantOwn: 1},
		"service refuses this host":                   {own: refused, wantOwn: 1, wantOther: 1},
		"service refuses both hosts":                  {own: refused, other: refused, wantKind: kind.StoreUnavailable, wantOwn: 1, wantOther: 1},
		"direct write without reply is not repeated":  {own: lost, wantKind: kind.StoreWriteUnknown, wantOwn: 1},
		"relayed write without reply is not repeated": {own: refused, other: lost, wantKind: kind.StoreWriteUnknown, wantOwn: 1, wantOther: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store, own, other := newPair(t)
			own.err.Store(c.own)
			other.err.Store(c.other)
			result, err := store.Commit(t.Context(), kv.Txn{})
			if c.wantKind == "" {
				is.NoErr(err)
				is.Equal(result, kv.TxnResult{Current: []kv.Entry{{Key: "a", ModRevision: 7}}, Revision: 8})
			} else {
				is.True(kind.Is(err, c.wantKind))
			}
			is.Equal(own.calls.Load(), c.wantOwn)
			is.Equal(other.calls.Load(), c.wantOther)
		})
	}
}

func TestFailedServiceIsNotCalledDuringRetryDelay(t *testing.T) {
	is := is.New(t)
	store, own, other := newPair(t)
	own.err.Store(kind.New(kind.StoreUnavailable, "refused"))
	for range 5 {
		entry, err := store.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(entry.Value, []byte("value"))
	}
	is.Equal(own.calls.Load(), int64(1))
	is.Equal(other.calls.Load(), int64(5))
}

// TestRelayedCallsAddNoServiceCallsInOutage checks that, while the service is
// unavailable to all hosts, each host calls it once within the retry delay, however many
// calls the others relay to it.
func TestRelayedCallsAddNoServiceCallsInOutage(t *testing.T) {
	is := is.New(t)
	store, own, other := newPair(t)
	own.err.Store(kind.New(kind.StoreUnavailable, "refused"))
	other.err.Store(kind.New(kind.StoreUnavailable, "refused"))
	for range 10 {
		_, err := store.Get(t.Context(), "a")
		is.True(kind.Is(err, kind.StoreUnavailable)) // reads can be retried
		_, err = store.Commit(t.Context(), kv.Txn{})
		is.True(kind.Is(err, kind.StoreUnavailable)) // so can writes that were refused
	}
	is.Equal(own.calls.Load(), int64(1))
	is.Equal(other.calls.Load(), int64(1))
}

func TestRelayedWatch(t *testing.T) {
	is := is.New(t)
	store, own, _ := newPair(t)
	own.err.Store(kind.New(kind.StoreUnavailable, "refused"))
	watcher, err := store.Watch(t.Context(), "a", 5)
	is.NoErr(err)
	for want := int64(6); want < 9; want++ {
		batch, err := watcher.Next(t.Context())
		is.NoErr(err)
		is.Equal(batch.Revision, want) // the watch continues after the last revision
	}
	old, err := store.Watch(t.Context(), "a", 1)
	is.NoErr(err)
	_, err = old.Next(t.Context())
	is.Equal(err, kv.ErrCompacted)
}

// silentStub answers no watch before the context ends.
type silentStub struct {
	kv.RangeStore

	watches atomic.Int64
}

func (s *silentStub) Watch(context.Context, string, int64) (kv.Watcher, error) {
	return silentWatcher{s}, nil
}

type silentWatcher struct{ stub *silentStub }

func (silentWatcher) Close() {}

func (w silentWatcher) Next(ctx context.Context) (kv.Batch, error) {
	w.stub.watches.Add(1)
	<-ctx.Done()
	return kv.Batch{}, ctx.Err()
}

// TestWatchWithoutAnswerIsRelayed guards against hosts that stay behind because the store
// answers none of their watches (CONFIG): the end of such a watch at its own deadline was
// taken for a cancellation by the caller, and the next one waited for the store again.
func TestWatchWithoutAnswerIsRelayed(t *testing.T) {
	cases := map[string]struct {
		timeout     time.Duration
		cancelled   bool
		wantRelayed bool
	}{
		"no answer until the deadline": {timeout: time.Second, wantRelayed: true},
		"deadline soon after the call": {timeout: 50 * time.Millisecond},
		"cancelled by the caller":      {timeout: time.Second, cancelled: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store, _, other := newPair(t)
			silent := &silentStub{}
			store.Direct = silent
			watcher, err := store.Watch(t.Context(), "a", 5)
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			if c.cancelled {
				time.AfterFunc(c.timeout-100*time.Millisecond, cancel)
			}
			_, err = watcher.Next(ctx)
			is.True(err != nil)
			ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			batch, err := watcher.Next(ctx)
			is.Equal(err == nil, c.wantRelayed)
			is.Equal(batch.Revision == 6, c.wantRelayed)
			is.Equal(other.calls.Load() == 1, c.wantRelayed)
			is.Equal(silent.watches.Load() == 1, c.wantRelayed)
		})
	}
}
