package etcd_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	standin "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

// start runs a stand-in server and returns it with a client.
func start(t *testing.T) (*standin.Server, *etcd.Store) {
	t.Helper()
	is := is.New(t)
	server := &standin.Server{}
	is.NoErr(server.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx) })
	store := &etcd.Store{CallTimeout: 5 * time.Second, Endpoints: []string{server.Address()}}
	t.Cleanup(func() {
		is.NoErr(store.Close())
		cancel()
		is.NoErr(group.Wait())
	})
	return server, store
}

func create(key, value string) kv.Txn {
	return kv.Txn{
		Conditions: []kv.Condition{{Key: key}},
		Writes:     []kv.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	_, store := start(t)
	ctx := t.Context()

	created, err := store.Commit(ctx, create("a/1", "one"))
	is.NoErr(err)
	is.True(created.Committed)

	refused, err := store.Commit(ctx, create("a/1", "two"))
	is.NoErr(err)
	is.True(!refused.Committed)
	is.Equal(string(refused.Current[0].Value), "one")
	is.Equal(refused.Current[0].ModRevision, created.Revision)

	_, err = store.Commit(ctx, create("a/2", "two"))
	is.NoErr(err)
	_, err = store.Commit(ctx, create("b", "three"))
	is.NoErr(err)
	entries, revision, err := store.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(revision, created.Revision+2)

	deleted, err := store.Commit(ctx, kv.Txn{Writes: []kv.Write{{Delete: true, Key: "a/1"}}})
	is.NoErr(err)
	is.True(deleted.Committed)
	entry, err := store.Get(ctx, "a/1")
	is.NoErr(err)
	is.Equal(entry.ModRevision, int64(0))
}

func TestWatchReportsChangesAndCompaction(t *testing.T) {
	is := is.New(t)
	server, store := start(t)
	store.ProgressInterval = 20 * time.Millisecond
	ctx := t.Context()
	first, err := store.Commit(ctx, create("a/1", "one"))
	is.NoErr(err)
	second, err := store.Commit(ctx, create("a/2", "two"))
	is.NoErr(err)

	watch, err := store.Watch(ctx, "a/", first.Revision)
	is.NoErr(err)
	defer watch.Close()
	batch, err := watch.Next(ctx)
	is.NoErr(err)
	is.Equal(len(batch.Events), 1)
	is.Equal(batch.Revision, second.Revision)

	other, err := store.Commit(ctx, create("b", "three"))
	is.NoErr(err)
	for batch.Revision < other.Revision {
		batch, err = watch.Next(ctx)
		is.NoErr(err)
		is.Equal(len(batch.Events), 0)
	}

	server.Compact(second.Revision)
	_, err = store.Watch(ctx, "a/", first.Revision-1)
	if err == nil {
		late, _ := store.Watch(ctx, "a/", first.Revision-1)
		_, err = late.Next(ctx)
	}
	is.True(kind.Is(err, kind.StoreUnavailable))
}

func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	is := is.New(t)
	server, store := start(t)
	ctx := t.Context()
	id, err := store.GrantLease(ctx, 30*time.Second)
	is.NoErr(err)
	txn := create("lease", "held")
	txn.Writes[0].Lease = id
	_, err = store.Commit(ctx, txn)
	is.NoErr(err)
	remaining, err := store.KeepAlive(ctx, id)
	is.NoErr(err)
	is.Equal(remaining, 30*time.Second)

	server.ExpireLease(int64(id))
	entry, err := store.Get(ctx, "lease")
	is.NoErr(err)
	is.Equal(entry.ModRevision, int64(0))
	remaining, err = store.KeepAlive(ctx, id)
	is.NoErr(err)
	is.Equal(remaining, time.Duration(0))
	_, err = store.Commit(ctx, txn)
	is.True(kind.Is(err, kind.NotFound))
	is.NoErr(store.RevokeLease(ctx, id))
}

func TestErrorKindTellsWhetherWriteMayHaveCommitted(t *testing.T) {
	cases := map[string]struct {
		down      bool
		fault     standin.Fault
		kind      kind.Kind
		committed bool
	}{
		"down":       {down: true, kind: kind.StoreUnavailable},
		"hang":       {fault: standin.Fault{Hang: true}, kind: kind.StoreWriteUnknown},
		"lose-reply": {fault: standin.Fault{LoseReply: true}, kind: kind.StoreWriteUnknown, committed: true},
		"refuse":     {fault: standin.Fault{Refuse: true}, kind: kind.StoreUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, store := start(t)
			if c.fault.Hang {
				store.CallTimeout = 50 * time.Millisecond
			}
			server.SetDown(c.down)
			server.SetFault(standin.MethodTxn, c.fault)
			_, err := store.Commit(t.Context(), create("a", "one"))
			is.True(kind.Is(err, c.kind))

			server.SetDown(false)
			store.CallTimeout = 5 * time.Second
			var entry kv.Entry
			for range 100 {
				if entry, err = store.Get(t.Context(), "a"); err == nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			is.NoErr(err)
			is.Equal(entry.ModRevision > 0, c.committed)
		})
	}
}

func TestUnreachableEndpointIsSkipped(t *testing.T) {
	is := is.New(t)
	down, _ := start(t)
	down.SetDown(true)
	up, _ := start(t)
	store := &etcd.Store{Endpoints: []string{down.Address(), up.Address()}}
	defer func() { is.NoErr(store.Close()) }()
	result, err := store.Commit(t.Context(), create("a", "one"))
	is.NoErr(err)
	is.True(result.Committed)
	is.Equal(up.Calls()[standin.MethodTxn], int64(1))
}
