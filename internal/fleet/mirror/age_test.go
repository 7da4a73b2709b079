package mirror_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// bootClock returns a clock that follows the virtual time of the test.
func bootClock() func() boottime.Instant {
	start := time.Now()
	return func() boottime.Instant { return boottime.Instant(time.Since(start) + time.Hour) }
}

// delayedStore delivers the answers to watches late, as to a process that stands still.
type delayedStore struct {
	*silentStore

	delay atomic.Int64
}

func (s *delayedStore) Watch(ctx context.Context, prefix string, revision int64) (kv.Watcher, error) {
	watcher, err := s.silentStore.Watch(ctx, prefix, revision)
	return delayedWatcher{Watcher: watcher, store: s}, err
}

type delayedWatcher struct {
	kv.Watcher

	store *delayedStore
}

func (w delayedWatcher) Next(ctx context.Context) (kv.Batch, error) {
	batch, err := w.Watcher.Next(ctx)
	time.Sleep(time.Duration(w.store.delay.Load()))
	return batch, err
}

// TestAgeCountsFromTheCall guards against copies that a late answer makes seem young (CONFIG):
// keys that were taken away meanwhile would stay in force.
func TestAgeCountsFromTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const listAge = 10 * time.Second
		store := &delayedStore{silentStore: &silentStore{Store: &kvmemory.Store{}}}
		put(t, store, "p/1", "a")
		clock := bootClock()
		reader := &mirror.Mirror{Prefix: "p/", ListAge: listAge, Now: clock, MaxAge: time.Minute, Store: store, WatchTimeout: watchTimeout}
		follower := &mirror.Mirror{Prefix: "p/", ListAge: listAge, Now: clock, Source: &mirrorSource{mirror: reader}, Store: store, WatchTimeout: watchTimeout}
		_, known := reader.DeliveredAge()
		is.True(!known)
		stop := start(t, reader, follower)
		defer stop()

		// While all answer, the copy is at most as old as two calls.
		maxAges := []time.Duration{2 * (watchTimeout - answerMargin), 2*(watchTimeout-answerMargin) + 2*time.Second}
		for range 500 {
			time.Sleep(17 * time.Millisecond)
			for i, m := range []*mirror.Mirror{reader, follower} {
				age, known := m.DeliveredAge()
				is.True(known && age <= maxAges[i])
			}
		}

		// Answers that arrive long after they were given don't make the copies younger.
		store.delay.Store(int64(5 * time.Second))
		time.Sleep(7 * time.Second)
		for range 500 {
			time.Sleep(17 * time.Millisecond)
			for _, m := range []*mirror.Mirror{reader, follower} {
				age, _ := m.DeliveredAge()
				is.True(age >= 5*time.Second)
			}
		}
		store.delay.Store(0)

		// A copy grows older without bound while the store is silent, and is young at once after.
		store.setSilent(true)
		store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
		time.Sleep(20 * time.Second)
		for _, m := range []*mirror.Mirror{reader, follower} {
			age, _ := m.DeliveredAge()
			is.True(age > 15*time.Second)
		}
		store.setSilent(false)
		store.Inject(nil)
		time.Sleep(watchTimeout + time.Second)
		for _, m := range []*mirror.Mirror{reader, follower} {
			age, _ := m.DeliveredAge()
			is.True(age < 4*time.Second)
		}
	})
}

// TestUnknownAgeOfReader follows a host of a version that doesn't tell the age of its copy.
func TestUnknownAgeOfReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		follower := &mirror.Mirror{Prefix: "p/", Now: bootClock(), Source: knownHostsSource{known: func() bool { return true }}, Store: &kvmemory.Store{}}
		stop := start(t, follower)
		defer stop()
		time.Sleep(3 * time.Second)
		_, known := follower.DeliveredAge()
		is.True(!known)
	})
}
