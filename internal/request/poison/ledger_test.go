package poison_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

const (
	content = uint64(7)
	// heard is longer than a record takes to all hosts.
	heard = time.Second
)

// newLedger starts the ledger of one host, which ends with ctx.
func newLedger(ctx context.Context, group *errgroup.Group, store kv.Store) *poison.Ledger {
	logger := slog.New(slog.DiscardHandler)
	l := &poison.Ledger{
		Duty: func(string) bool { return true }, Hosts: func() int { return 3 }, Logger: logger, Store: store,
	}
	live := &mirror.Mirror{Logger: logger, OnChange: l.Apply, Prefix: mirror.LivePrefix, Store: store}
	group.Go(func() error { return l.Run(ctx) })
	group.Go(func() error { return live.Run(ctx) })
	return l
}

// withLedgers runs a test with the ledgers of three hosts.
func withLedgers(t *testing.T, run func(t *testing.T, store *kvmemory.Store, hosts []*poison.Ledger)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store := &kvmemory.Store{}
		var hosts []*poison.Ledger
		for range 3 {
			hosts = append(hosts, newLedger(ctx, &group, store))
		}
		wait.For(ctx, heard)
		run(t, store, hosts)
		cancel()
		is.New(t).NoErr(group.Wait())
	})
}

func refused(l *poison.Ledger) bool {
	_, err := l.Admit(context.Background(), content)
	return kind.Is(err, kind.Quarantined)
}

// tries counts the hosts that let a copy through.
func tries(hosts []*poison.Ledger) int {
	n := 0
	for _, l := range hosts {
		if !refused(l) {
			n++
		}
	}
	return n
}

// TestEndsAtDifferentHostsAddUp has each host see one server end.
func TestEndsAtDifferentHostsAddUp(t *testing.T) {
	withLedgers(t, func(t *testing.T, _ *kvmemory.Store, hosts []*poison.Ledger) {
		t.Helper()
		is := is.New(t)
		admission, err := hosts[0].Admit(t.Context(), content)
		is.NoErr(err)
		is.True(!admission.OneByOne)
		for n, l := range hosts {
			l.Ended(content, uint64(n))
			l.Ended(content, uint64(n)) // one crash counts once
		}
		wait.For(t.Context(), heard)
		is.Equal(tries(hosts), 0)
		_, err = hosts[0].Admit(t.Context(), content+1)
		is.NoErr(err) // others are served
	})
}

// TestOneCopyInTheFleetIsTried counts the copies that are let through while the content
// goes on to end each server.
func TestOneCopyInTheFleetIsTried(t *testing.T) {
	withLedgers(t, func(t *testing.T, _ *kvmemory.Store, hosts []*poison.Ledger) {
		t.Helper()
		is := is.New(t)
		for n := range 3 {
			hosts[0].Ended(content, uint64(n))
		}
		crash := uint64(3)
		for range 300 {
			wait.For(t.Context(), time.Second)
			if tries(hosts) > 0 {
				hosts[1].Ended(content, crash)
				crash++
			}
		}
		is.Equal(crash, uint64(4)) // one more server in five minutes
	})
}

// TestBystanderOfCrashesIsServedAgain suspects sound content that ran at three servers
// which ended for another reason.
func TestBystanderOfCrashesIsServedAgain(t *testing.T) {
	withLedgers(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.Ledger) {
		t.Helper()
		is := is.New(t)
		for n := range 3 {
			hosts[0].Ended(content, uint64(n))
		}
		wait.For(t.Context(), heard)
		is.Equal(tries(hosts), 0)
		wait.For(t.Context(), 5*time.Second)
		is.Equal(tries(hosts), 1)
		hosts[0].Answered(content)
		wait.For(t.Context(), heard)
		is.Equal(tries(hosts), 3)
		entries, _, err := store.List(t.Context(), mirror.LivePrefix)
		is.NoErr(err)
		is.Equal(len(entries), 0)
	})
}

// TestTriesWithoutAnOutcomeBecomeRare lets each copy vanish.
func TestTriesWithoutAnOutcomeBecomeRare(t *testing.T) {
	withLedgers(t, func(t *testing.T, _ *kvmemory.Store, hosts []*poison.Ledger) {
		t.Helper()
		for n := range 3 {
			hosts[0].Ended(content, uint64(n))
		}
		tried := 0
		for range 60 {
			wait.For(t.Context(), time.Second)
			tried += tries(hosts)
		}
		is.New(t).True(1 <= tried && tried <= 3)
	})
}

func TestSuspicionOutlivesRestarts(t *testing.T) {
	withLedgers(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.Ledger) {
		t.Helper()
		is := is.New(t)
		for n := range 3 {
			hosts[0].Ended(content, uint64(n))
		}
		wait.For(t.Context(), heard)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var group errgroup.Group
		restarted := newLedger(ctx, &group, store)
		wait.For(ctx, heard)
		is.True(refused(restarted))
		cancel()
		is.NoErr(group.Wait())
	})
}

// TestStoreAwayWhileServersEnd keeps records until the store is back, whatever its
// answers did.
func TestStoreAwayWhileServersEnd(t *testing.T) {
	for name, fault := range map[string]kvmemory.Fault{"refused": kvmemory.FaultRefused, "lost": kvmemory.FaultLost} {
		t.Run(name, func(t *testing.T) {
			withLedgers(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.Ledger) {
				t.Helper()
				is := is.New(t)
				store.Inject(func(string) kvmemory.Fault { return fault })
				for n := range 3 {
					hosts[0].Ended(content, uint64(n))
				}
				is.True(refused(hosts[0])) // what a host knows holds at once
				wait.For(t.Context(), 6*time.Second)
				is.True(refused(hosts[0])) // a copy isn't let through without the store
				store.Inject(nil)
				wait.For(t.Context(), 2*heard)
				is.Equal(tries(hosts[1:]), 0)
			})
		})
	}
}

// countingStore counts commits.
type countingStore struct {
	kv.Store

	commits atomic.Int64
}

func (s *countingStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.commits.Add(1)
	return s.Store.Commit(ctx, txn)
}

// TestManySuspectsAreWrittenSlowly plays the loss of many servers under many contents.
func TestManySuspectsAreWrittenSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store := &countingStore{Store: &kvmemory.Store{}}
		l := newLedger(ctx, &group, store)
		for n := range 3000 {
			l.Ended(uint64(n+1), 1)
		}
		wait.For(ctx, 10*time.Second)
		cancel()
		is := is.New(t)
		is.NoErr(group.Wait())
		is.True(store.commits.Load() <= 100) // ten a second
	})
}

// TestOldRecordsAreRemoved leaves no keys of contents that nobody asks for any more.
func TestOldRecordsAreRemoved(t *testing.T) {
	withLedgers(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.Ledger) {
		t.Helper()
		is := is.New(t)
		hosts[0].Ended(content, 1)
		wait.For(t.Context(), 20*time.Minute)
		entries, _, err := store.List(t.Context(), mirror.LivePrefix)
		is.NoErr(err)
		is.Equal(len(entries), 0)
	})
}

// TestRecordsOfAnotherWriter are bytes that can't be read and a clock that is ahead.
func TestRecordsOfAnotherWriter(t *testing.T) {
	withLedgers(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.Ledger) {
		t.Helper()
		is := is.New(t)
		store.Put(kv.Write{Key: mirror.LivePrefix + "poison/8", Value: []byte("{")})
		store.Put(kv.Write{Key: mirror.LivePrefix + "poison/x", Value: []byte("{}")})
		store.Put(kv.Write{Key: mirror.LivePrefix + "poison/7", Value: []byte(
			`{"crashes":[{"at":946684800000,"id":1},{"at":946684800000,"id":2},{"at":946684800000,"id":3}],"limit":3,"quarantined-until":4102444800000}`)})
		wait.For(t.Context(), heard)
		is.Equal(tries(hosts), 0)
		wait.For(t.Context(), 11*time.Minute)
		is.True(tries(hosts) > 0)
	})
}
