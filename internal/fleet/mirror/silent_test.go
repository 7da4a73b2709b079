package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// silentStore leaves the calls of one host without answers while it is silent. Otherwise its
// watches are answered some time before the deadline, as those of the platform's store.
type silentStore struct {
	*kvmemory.Store

	mu     sync.Mutex
	silent bool
	// watching is when the last watch began.
	watching time.Time
}

const answerMargin = 300 * time.Millisecond

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *silentStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *silentStore) Watch(ctx context.Context, prefix string, revision int64) (kv.Watcher, error) {
	watcher, err := s.Store.Watch(ctx, prefix, revision)
	return silentWatcher{Watcher: watcher, store: s, revision: revision}, err
}

type silentWatcher struct {
	kv.Watcher

	revision int64
	store    *silentStore
}

func (w silentWatcher) Next(ctx context.Context) (kv.Batch, error) {
	w.store.mu.Lock()
	w.store.watching = time.Now()
	w.store.mu.Unlock()
	deadline, _ := ctx.Deadline()
	answerBy, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
	defer cancel()
	batch, err := w.Watcher.Next(answerBy)
	if w.store.isSilent() {
		<-ctx.Done()
		return kv.Batch{}, ctx.Err()
	}
	if err != nil && answerBy.Err() != nil && ctx.Err() == nil {
		return kv.Batch{Revision: w.revision}, nil // the wait has ended without events
	}
	return batch, err
}

const (
	bound        = 2 * time.Second
	watchTimeout = 1400 * time.Millisecond
	maxAge       = 1700 * time.Millisecond
)

// TestFollowersOfSilentReaderKnowChangesInTime guards against hosts that act on an older
// configuration although the store serves them (CONFIG): the host that they read from gets
// no answers from the store and went on telling them that nothing had changed. The silence
// begins at each moment of a watch, together with a change.
func TestFollowersOfSilentReaderKnowChangesInTime(t *testing.T) {
	for phase := time.Duration(0); phase < watchTimeout-answerMargin; phase += 100 * time.Millisecond {
		t.Run(fmt.Sprintf("silent %s after a watch began", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, r := &kvmemory.Store{}, &recorder{}
				put(t, store, "p/0", "a")
				away := &silentStore{Store: store}
				reader := &mirror.Mirror{MaxAge: maxAge, Prefix: "p/", Store: away, WatchTimeout: watchTimeout}
				follower := &mirror.Mirror{
					OnChange: r.onChange, Prefix: "p/", Source: &mirrorSource{mirror: reader}, Store: store, WatchTimeout: watchTimeout,
				}
				stop := start(t, reader, follower)
				defer stop()
				time.Sleep(10 * time.Second)
				for watch := away.lastWatch(); away.lastWatch().Equal(watch); {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(phase)
				away.setSilent(true)
				put(t, store, "p/1", "a")
				began := time.Now()
				for r.get("p/1") == "" {
					time.Sleep(time.Millisecond)
				}
				is.True(time.Since(began) < bound)
			})
		})
	}
}

func (s *silentStore) lastWatch() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}

// TestSinceEndsWhenTheCopyIsTooOld checks that the age of the copy is also checked during
// the wait for a change.
func TestSinceEndsWhenTheCopyIsTooOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &silentStore{Store: &kvmemory.Store{}}
		put(t, store, "p/1", "a")
		m := &mirror.Mirror{MaxAge: maxAge, Prefix: "p/", Store: store, WatchTimeout: watchTimeout}
		stop := start(t, m)
		defer stop()
		synctest.Wait()
		confirmed := time.Now()
		store.setSilent(true)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		_, ok := m.Since(ctx, 1)
		is.True(!ok)
		is.True(time.Since(confirmed) < maxAge+10*time.Millisecond)
	})
}

// TestHostAheadOfItsReaderReturnsToIt has hosts that read the store themselves, as after a
// start or while their reader was away, so that they know a later revision than the reader.
// If the reader sent them away, each read of the store would leave them ahead again.
func TestHostAheadOfItsReaderReturnsToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := &countingStore{Store: &kvmemory.Store{}}, &recorder{}
		put(t, store, "p/0", "a")
		readerStore := &silentStore{Store: store.Store}
		reader := &mirror.Mirror{MaxAge: maxAge, Prefix: "p/", Store: readerStore, WatchTimeout: watchTimeout}
		source := &returningSource{mirrorSource: mirrorSource{mirror: reader}}
		source.unreachable.Store(true)
		follower := &mirror.Mirror{OnChange: r.onChange, Prefix: "p/", Source: source, Store: store, WatchTimeout: watchTimeout}
		stop := start(t, reader, follower)
		defer stop()
		var writers sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		defer writers.Wait()
		defer cancel()
		writers.Go(func() { // of other keys: the store's revision rises all the time
			for ctx.Err() == nil {
				_, _ = store.Commit(context.Background(), kv.Txn{Writes: []kv.Write{{Key: "elsewhere"}}})
				time.Sleep(10 * time.Millisecond)
			}
		})
		time.Sleep(5 * time.Second)
		before := store.calls()
		source.unreachable.Store(false)
		time.Sleep(20 * time.Second)
		is.True(store.calls()-before <= 1) // the call that was waiting
		put(t, store, "p/1", "a")
		began := time.Now()
		for r.get("p/1") == "" {
			time.Sleep(time.Millisecond)
		}
		is.True(time.Since(began) < bound)
		readerStore.setSilent(true)
		put(t, store, "p/1", "b")
		for began = time.Now(); r.get("p/1") != "b"; {
			time.Sleep(time.Millisecond)
		}
		is.True(time.Since(began) < bound)
	})
}

// TestReaderStaysFreshAfterOneSilentWatch has a store that leaves one watch without an answer.
// If the next watch took its whole time, all followers would read the store themselves.
func TestReaderStaysFreshAfterOneSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &silentStore{Store: &kvmemory.Store{}}
		put(t, store, "p/0", "a")
		reader := &mirror.Mirror{MaxAge: maxAge, Prefix: "p/", Store: store, WatchTimeout: watchTimeout}
		stop := start(t, reader)
		defer stop()
		time.Sleep(5 * time.Second)
		store.setSilent(true)
		for watch := store.lastWatch(); store.lastWatch().Equal(watch); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(watchTimeout - 10*time.Millisecond)
		store.setSilent(false)
		refused := 0
		for range 500 {
			if !isFresh(reader) {
				refused++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(refused <= 10) // until the second short watch at most
	})
}

// TestNewReaderIsSoonFresh has a host that followed a reader and becomes one. Its followers
// read the store themselves until the store has answered it.
func TestNewReaderIsSoonFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		put(t, store, "p/0", "a")
		old := &mirror.Mirror{MaxAge: maxAge, Prefix: "p/", Store: &silentStore{Store: store}, WatchTimeout: watchTimeout}
		source := &leavingSource{mirrorSource: mirrorSource{mirror: old}}
		heir := &mirror.Mirror{MaxAge: maxAge, Prefix: "p/", Source: source, Store: &silentStore{Store: store}, WatchTimeout: watchTimeout}
		stop := start(t, old, heir)
		defer stop()
		time.Sleep(10 * time.Second)
		is.True(!isFresh(heir)) // the store has not answered it for long
		source.gone.Store(true)
		for !source.left.Load() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond) // a short watch
		for range 300 {
			is.True(isFresh(heir))
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// isFresh reports whether hosts may rely on the copy now.
func isFresh(m *mirror.Mirror) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := m.Since(ctx, 1<<40)
	return ok
}

// leavingSource is a reader until it has gone.
type leavingSource struct {
	mirrorSource

	// left is set once the host has noticed that the reader has gone.
	gone, left atomic.Bool
}

func (s *leavingSource) Follow(ctx context.Context, prefix string, revision int64) (mirror.Update, bool, error) {
	if s.gone.Load() {
		s.left.Store(true)
		return mirror.Update{}, false, nil
	}
	return s.mirrorSource.Follow(ctx, prefix, revision)
}

// returningSource is a reader that is unreachable for a while.
type returningSource struct {
	mirrorSource

	unreachable atomic.Bool
}

func (s *returningSource) Follow(ctx context.Context, prefix string, revision int64) (mirror.Update, bool, error) {
	if s.unreachable.Load() {
		return mirror.Update{}, true, errors.New("unreachable")
	}
	return s.mirrorSource.Follow(ctx, prefix, revision)
}

// countingStore counts the calls of one host.
type countingStore struct {
	*kvmemory.Store

	count atomic.Int64
}

func (s *countingStore) calls() int64 { return s.count.Load() }

func (s *countingStore) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	s.count.Add(1)
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, revision int64) (kv.Watcher, error) {
	watcher, err := s.Store.Watch(ctx, prefix, revision)
	return countingWatcher{Watcher: watcher, store: s}, err
}

type countingWatcher struct {
	kv.Watcher

	store *countingStore
}

func (w countingWatcher) Next(ctx context.Context) (kv.Batch, error) {
	w.store.count.Add(1)
	return w.Watcher.Next(ctx)
}

// lateStore answers each watch after a minute, as it seems to a process that stood still.
type lateStore struct{ *kvmemory.Store }

type lateWatcher struct{}

func (lateStore) Watch(context.Context, string, int64) (kv.Watcher, error) { return lateWatcher{}, nil }

func (lateWatcher) Close() {}

func (lateWatcher) Next(context.Context) (kv.Batch, error) {
	time.Sleep(time.Minute)
	return kv.Batch{Revision: 1}, nil
}

// TestOldAnswerDoesNotRenewTheCopy has an answer that was read long after the store sent it.
func TestOldAnswerDoesNotRenewTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := lateStore{&kvmemory.Store{}}
		put(t, store, "p/1", "a")
		m := &mirror.Mirror{MaxAge: maxAge, Prefix: "p/", Store: store, WatchTimeout: watchTimeout}
		stop := start(t, m)
		defer stop()
		time.Sleep(time.Minute + time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, ok := m.Since(ctx, 1)
		is.True(!ok)
	})
}
