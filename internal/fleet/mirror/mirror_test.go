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

// recorder notes what a mirror told.
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

func TestMirrorFollowsThroughAnOutage(t *testing.T) {
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

// TestDroppedHistory is what a watch hears of that waits while the store drops
// its history: nothing before the end of its wait. A short wait of one mirror is
// enough for all.
func TestDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		deaf := &deafStore{Store: &kvmemory.Store{}}
		put(t, deaf, "p/1", "a")
		put(t, deaf, "q/1", "a")
		rp, rq := &recorder{}, &recorder{}
		shared := new(mirror.Compaction)
		stop := start(t,
			&mirror.Mirror{Compaction: shared, OnChange: rp.onChange, Prefix: "p/", Store: deaf, Wait: time.Second},
			&mirror.Mirror{Compaction: shared, OnChange: rq.onChange, Prefix: "q/", Store: deaf, Wait: time.Hour},
		)
		defer stop()
		synctest.Wait()
		deaf.setDeaf(true)
		put(t, deaf, "p/1", "b")
		put(t, deaf, "q/1", "b")
		store := deaf.Store
		store.Compact()
		deaf.setDeaf(false)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(rp.get("p/1"), "b")
		is.Equal(rq.get("q/1"), "b")
	})
}

// deafStore is a store whose waiting watches hear nothing of what happens while
// it is deaf, until they ask again.
type deafStore struct {
	*kvmemory.Store

	mu   sync.Mutex
	deaf bool
}

func (s *deafStore) setDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

func (s *deafStore) Watch(ctx context.Context, prefix string, revision int64) (kv.Watcher, error) {
	w, err := s.Store.Watch(ctx, prefix, revision)
	return &deafWatcher{Watcher: w, store: s}, err
}

type deafWatcher struct {
	kv.Watcher

	store *deafStore
}

func (w *deafWatcher) Next(ctx context.Context) (kv.Batch, error) {
	batch, err := w.Watcher.Next(ctx)
	w.store.mu.Lock()
	deaf := w.store.deaf
	w.store.mu.Unlock()
	if deaf && ctx.Err() == nil {
		<-ctx.Done() // the wait goes on to its end
		return kv.Batch{}, kv.ErrCompacted
	}
	return batch, err
}

// source follows another mirror.
type source struct {
	err    error
	mirror *mirror.Mirror
}

func (s *source) Follow(ctx context.Context, _ string, revision int64) (mirror.News, bool, error) {
	if s.err != nil {
		return mirror.News{}, true, s.err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	news, ok := s.mirror.Since(ctx, revision, 3*time.Second)
	if !ok {
		return mirror.News{}, true, errors.New("behind")
	}
	return news, true, nil
}

// TestFollowerSeesWhatTheReaderSees changes, deletes and overflows the kept
// events.
func TestFollowerSeesWhatTheReaderSees(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := &kvmemory.Store{}, &recorder{}
		reader := &mirror.Mirror{Prefix: "p/", Store: store, Wait: 2 * time.Second}
		follower := &mirror.Mirror{OnChange: r.onChange, Prefix: "p/", Source: &source{mirror: reader}, Store: store}
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

// TestFollowerAsksItselfWhenItsReaderFails has a reader that is never reached.
func TestFollowerAsksItselfWhenItsReaderFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := &kvmemory.Store{}, &recorder{}
		follower := &mirror.Mirror{
			OnChange: r.onChange, Prefix: "p/", Source: &source{err: errors.New("not reached")}, Store: store, Wait: time.Second,
		}
		stop := start(t, follower)
		defer stop()
		put(t, store, "p/1", "a")
		time.Sleep(2 * time.Second)
		is.Equal(r.get("p/1"), "a")
	})
}

// oldList gives what a store held before some changes.
type oldList struct {
	entries  []kv.Entry
	revision int64
}

func (o oldList) ListOld(context.Context, string) ([]kv.Entry, int64, error) {
	return o.entries, o.revision, nil
}

// lost is a host that doesn't answer for a minute and then not at all.
type lost struct{}

func (lost) Follow(ctx context.Context, _ string, _ int64) (mirror.News, bool, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Minute):
	}
	return mirror.News{}, true, errors.New("no answer")
}

// TestOldListIsCaughtUp begins with a list that lacks a change, a new key and a
// removal.
func TestOldListIsCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		put(t, store, "a/changed", "1")
		put(t, store, "a/gone", "1")
		var old oldList
		old.entries, old.revision, _ = store.ListOld(t.Context(), "a/")
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
		stop := start(t, &mirror.Mirror{Old: old, Prefix: "a/", Settle: time.Hour, Source: lost{}, Store: store, OnChange: func(c mirror.Change) {
			if first.Events == nil {
				first = c
			}
			r.onChange(c)
		}})
		defer stop()
		synctest.Wait()
		is.Equal(len(first.Events), 2)    // the old list is used
		is.Equal(r.get("a/changed"), "2") // and caught up with at once, as after the loss of all hosts
		is.Equal(r.get("a/new"), "1")
		is.Equal(r.get("a/gone"), "")
		is.Equal(lists, 0)
		store.Compact()
		put(t, store, "a/new", "2")
		time.Sleep(2 * time.Minute)
		is.Equal(r.get("a/new"), "2")
	})
}

// TestOldListWithoutRevisionIsNotUsed begins with a service that knows nothing:
// after the pause the store is listed.
func TestOldListWithoutRevisionIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &kvmemory.Store{}
		put(t, store, "a/x", "1")
		r := &recorder{}
		stop := start(t, &mirror.Mirror{Old: oldList{}, OnChange: r.onChange, Prefix: "a/", Settle: time.Second, Store: store})
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		is.New(t).Equal(r.get("a/x"), "1")
	})
}

// TestFollowersOfAHostThatStarts asks a host for news before it has listed: the
// question waits for the list.
func TestFollowersOfAHostThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		put(t, store, "a/x", "1")
		m := &mirror.Mirror{Old: oldList{}, Prefix: "a/", Settle: time.Second, Store: store}
		stop := start(t, m)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, ok := m.Since(ctx, 0, time.Second)
		is.True(!ok) // nothing is known yet
		ctx, cancel = context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		news, ok := m.Since(ctx, 0, time.Second)
		is.True(ok)
		is.True(news.Reset)
		is.Equal(len(news.Events), 1)
		is.Equal(time.Since(began), 500*time.Millisecond)
	})
}

// neighbour is another host that can be followed once hosts are known.
type neighbour struct{ known func() bool }

func (n neighbour) Follow(ctx context.Context, _ string, revision int64) (mirror.News, bool, error) {
	if !n.known() {
		return mirror.News{}, false, nil
	}
	if revision > 0 {
		<-ctx.Done() // There is no more news.
	}
	return mirror.News{Reset: revision == 0, Revision: revision + 1}, true, nil
}

// TestFirstListWaitsForTheHosts starts a host with a whole fleet: once it knows the
// other hosts it follows them and never lists the servers itself.
func TestFirstListWaitsForTheHosts(t *testing.T) {
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
			After: live, Logger: slog.New(slog.DiscardHandler), Old: nothingOld{}, Prefix: "servers/", Settle: 100 * time.Millisecond,
			Source: neighbour{known: func() bool { return hosts.get("hosts/a") != "" }}, Store: counted,
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

type countedLists struct {
	*kvmemory.Store

	count func(prefix string)
}

func (c countedLists) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	c.count(prefix)
	return c.Store.List(ctx, prefix)
}

type nothingOld struct{}

func (nothingOld) ListOld(context.Context, string) ([]kv.Entry, int64, error) { return nil, 0, nil }
