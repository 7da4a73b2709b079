package mirror_test

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// recorder records the changes that a mirror reports.
type recorder struct {
	mu      sync.Mutex
	outages int
	state   map[string]string
}

func (r *recorder) onChange(c mirror.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Outage > 0 {
		r.outages++
	}
	if r.state == nil {
		r.state = make(map[string]string)
	}
	for _, e := range c.Events {
		if e.Delete {
			delete(r.state, e.Entry.Key)
			continue
		}
		r.state[e.Entry.Key] = string(e.Entry.Value)
	}
}

func (r *recorder) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state[key]
}

func put(t *testing.T, store kv.Store, key, value string) {
	t.Helper()
	if _, err := store.Commit(t.Context(), kv.Txn{Writes: []kv.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

func start(t *testing.T, mirrors ...*mirror.Mirror) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, m := range mirrors {
		m.Logger = slog.New(slog.DiscardHandler)
		group.Go(func() { _ = m.Run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func TestMirrorCatchesUpAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := &kvmemory.Store{}, &recorder{}
		put(t, store, "p/1", "a")
		put(t, store, "q/1", "other")
		stop := start(t, &mirror.Mirror{OnChange: r.onChange, Prefix: "p/", Store: store})
		defer stop()
		synctest.Wait()
		is.Equal(r.get("p/1"), "a")
		is.Equal(r.get("q/1"), "")
		store.Inject(func(method string) kvmemory.Fault {
			if method == "commit" {
				return kvmemory.FaultNone
			}
			return kvmemory.FaultRefused
		})
		put(t, store, "p/1", "b")
		store.Remove("p/none")
		time.Sleep(5 * time.Second)
		is.Equal(r.get("p/1"), "a")
		store.Inject(nil)
		time.Sleep(time.Second)
		is.Equal(r.get("p/1"), "b")
		is.Equal(r.outages, 1)
	})
}

// TestCompactionDuringWatch guards against missed changes after a compaction. A watch
// that is pending while the store compacts its history learns of it only when it times
// out. The short timeout of one mirror is enough for all mirrors.
func TestCompactionDuringWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stalled := &stalledStore{Store: &kvmemory.Store{}}
		put(t, stalled, "p/1", "a")
		put(t, stalled, "q/1", "a")
		rp, rq := &recorder{}, &recorder{}
		shared := new(mirror.CompactionSignal)
		stop := start(t,
			&mirror.Mirror{Compaction: shared, OnChange: rp.onChange, Prefix: "p/", Store: stalled, WatchTimeout: time.Second},
			&mirror.Mirror{Compaction: shared, OnChange: rq.onChange, Prefix: "q/", Store: stalled, WatchTimeout: time.Hour},
		)
		defer stop()
		synctest.Wait()
		stalled.setStalled(true)
		put(t, stalled, "p/1", "b")
		put(t, stalled, "q/1", "b")
		store := stalled.Store
		store.Compact()
		stalled.setStalled(false)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(rp.get("p/1"), "b")
		is.Equal(rq.get("q/1"), "b")
	})
}

// stalledStore is a store whose watches, while it is stalled, withhold their next
// batch until they time out and then fail with kv.ErrCompacted.
type stalledStore struct {
	*kvmemory.Store

	mu      sync.Mutex
	stalled bool
}

func (s *stalledStore) setStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = stalled
}

func (s *stalledStore) Watch(ctx context.Context, prefix string, revision int64) (kv.Watcher, error) {
	w, err := s.Store.Watch(ctx, prefix, revision)
	return &stalledWatcher{Watcher: w, store: s}, err
}

type stalledWatcher struct {
	kv.Watcher

	store *stalledStore
}

func (w *stalledWatcher) Next(ctx context.Context) (kv.Batch, error) {
	batch, err := w.Watcher.Next(ctx)
	w.store.mu.Lock()
	stalled := w.store.stalled
	w.store.mu.Unlock()
	if stalled && ctx.Err() == nil {
		<-ctx.Done() // the watch times out
		return kv.Batch{}, kv.ErrCompacted
	}
	return batch, err
}

// mirrorSource is a mirror.Source that reads another mirror in the same process.
type mirrorSource struct {
	err    error
	mirror *mirror.Mirror
}

func (s *mirrorSource) Follow(ctx context.Context, _ string, revision int64) (mirror.Update, bool, error) {
	if s.err != nil {
		return mirror.Update{}, true, s.err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	update, ok := s.mirror.Since(ctx, revision)
	if !ok {
		return mirror.Update{}, true, errors.New("behind")
	}
	return update, true, nil
}

// TestFollowerReceivesUpdatesOfReader changes and deletes keys, with more events than
// the reader keeps.
func TestFollowerReceivesUpdatesOfReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := &kvmemory.Store{}, &recorder{}
		reader := &mirror.Mirror{Prefix: "p/", Store: store, WatchTimeout: 2 * time.Second}
		follower := &mirror.Mirror{OnChange: r.onChange, Prefix: "p/", Source: &mirrorSource{mirror: reader}, Store: store}
		stop := start(t, reader, follower)
		defer stop()
		put(t, store, "p/1", "a")
		time.Sleep(3 * time.Second)
		is.Equal(r.get("p/1"), "a")
		for n := range 5000 {
			put(t, store, "p/2", strconv.Itoa(n))
		}
		store.Remove("p/1")
		time.Sleep(3 * time.Second)
		is.Equal(r.get("p/1"), "")
		is.Equal(r.get("p/2"), "4999")
	})
}

// TestFollowerFallsBackToStore has a reader that is unreachable.
func TestFollowerFallsBackToStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := &kvmemory.Store{}, &recorder{}
		follower := &mirror.Mirror{
			OnChange: r.onChange, Prefix: "p/", Source: &mirrorSource{err: errors.New("unreachable")}, Store: store, WatchTimeout: time.Second,
		}
		stop := start(t, follower)
		defer stop()
		put(t, store, "p/1", "a")
		time.Sleep(2 * time.Second)
		is.Equal(r.get("p/1"), "a")
	})
}

// staleList is a mirror.StaleLister that returns an earlier state of a store.
type staleList struct {
	entries  []kv.Entry
	revision int64
}

func (l staleList) ListStale(context.Context, string) ([]kv.Entry, int64, error) {
	return l.entries, l.revision, nil
}

// unresponsiveSource is a mirror.Source whose calls fail after a minute.
type unresponsiveSource struct{}

func (unresponsiveSource) Follow(ctx context.Context, _ string, _ int64) (mirror.Update, bool, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Minute):
	}
	return mirror.Update{}, true, errors.New("no answer")
}

// TestStaleListCatchesUp starts from a stale list that lacks a change, a new key and
// a removal.
func TestStaleListCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		put(t, store, "a/changed", "1")
		put(t, store, "a/gone", "1")
		var stale staleList
		stale.entries, stale.revision, _ = store.ListStale(t.Context(), "a/")
		put(t, store, "a/changed", "2")
		put(t, store, "a/new", "1")
		store.Remove("a/gone")
		lists := 0
		store.Inject(func(method string) kvmemory.Fault {
			if method == "list" {
				lists++
			}
			return kvmemory.FaultNone
		})
		r := &recorder{}
		var first mirror.Change
		stop := start(t, &mirror.Mirror{StaleLister: stale, Prefix: "a/", SettleDelay: time.Hour, Source: unresponsiveSource{}, Store: store, OnChange: func(c mirror.Change) {
			if first.Events == nil {
				first = c
			}
			r.onChange(c)
		}})
		defer stop()
		synctest.Wait()
		is.Equal(len(first.Events), 2)    // the stale list is used
		is.Equal(r.get("a/changed"), "2") // and brought up to date at once, although the other host does not answer
		is.Equal(r.get("a/new"), "1")
		is.Equal(r.get("a/gone"), "")
		is.Equal(lists, 0)
		store.Compact()
		put(t, store, "a/new", "2")
		time.Sleep(2 * time.Minute)
		is.Equal(r.get("a/new"), "2")
	})
}

// TestStaleListWithoutRevisionIsIgnored starts from a stale list without a revision.
// The store is listed after SettleDelay.
func TestStaleListWithoutRevisionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &kvmemory.Store{}
		put(t, store, "a/x", "1")
		r := &recorder{}
		stop := start(t, &mirror.Mirror{StaleLister: staleList{}, OnChange: r.onChange, Prefix: "a/", SettleDelay: time.Second, Store: store})
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		is.New(t).Equal(r.get("a/x"), "1")
	})
}

// TestSinceWaitsForFirstList calls Since on a host that has not listed yet. The call
// waits for the first list.
func TestSinceWaitsForFirstList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		put(t, store, "a/x", "1")
		m := &mirror.Mirror{MaxAge: time.Second, StaleLister: staleList{}, Prefix: "a/", SettleDelay: time.Second, Store: store}
		stop := start(t, m)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, ok := m.Since(ctx, 0)
		is.True(!ok) // the first list comes after 1 s
		ctx, cancel = context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		update, ok := m.Since(ctx, 0)
		is.True(ok)
		is.True(update.Reset)
		is.Equal(len(update.Events), 1)
		is.Equal(time.Since(began), 500*time.Millisecond)
	})
}

// knownHostsSource is a mirror.Source that can be followed once known returns true.
type knownHostsSource struct{ known func() bool }

func (s knownHostsSource) Follow(ctx context.Context, _ string, revision int64) (mirror.Update, bool, error) {
	if !s.known() {
		return mirror.Update{}, false, nil
	}
	if revision > 0 {
		<-ctx.Done() // no further updates
	}
	return mirror.Update{Reset: revision == 0, Revision: revision + 1}, true, nil
}

// TestFirstListWaitsForHostList starts a host together with the whole fleet. The host
// list arrives late; the host then follows the others and never lists the servers
// itself.
func TestFirstListWaitsForHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		var mu sync.Mutex
		lists := map[string]int{}
		counted := countedLists{Store: store, count: func(prefix string) {
			mu.Lock()
			defer mu.Unlock()
			lists[prefix]++
		}}
		var hosts recorder
		live := &mirror.Mirror{Logger: slog.New(slog.DiscardHandler), OnChange: hosts.onChange, Prefix: "hosts/", Store: counted}
		servers := &mirror.Mirror{
			HostsMirror: live, Logger: slog.New(slog.DiscardHandler), StaleLister: emptyStaleList{}, Prefix: "servers/", SettleDelay: 100 * time.Millisecond,
			Source: knownHostsSource{known: func() bool { return hosts.get("hosts/a") != "" }}, Store: counted,
		}
		put(t, store, "hosts/a", "a")
		stopServers := start(t, servers)
		time.Sleep(500 * time.Millisecond) // the list of hosts is late
		stopLive := start(t, live)
		time.Sleep(time.Second)
		stopLive()
		stopServers()
		is.Equal(lists, map[string]int{"hosts/": 1})
	})
}

// countedLists is a store that reports the prefix of each List call.
type countedLists struct {
	*kvmemory.Store

	count func(prefix string)
}

func (c countedLists) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	c.count(prefix)
	return c.Store.List(ctx, prefix)
}

// emptyStaleList is a mirror.StaleLister that knows no revision.
type emptyStaleList struct{}

func (emptyStaleList) ListStale(context.Context, string) ([]kv.Entry, int64, error) {
	return nil, 0, nil
}
