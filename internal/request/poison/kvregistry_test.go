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
	// syncTime is longer than a record takes to reach all hosts.
	syncTime = time.Second
)

// newRegistry starts the registry of one host, which runs until ctx ends.
func newRegistry(ctx context.Context, group *errgroup.Group, store kv.Store) *poison.KVRegistry {
	logger := slog.New(slog.DiscardHandler)
	r := &poison.KVRegistry{
		MayRemove: func(string) bool { return true }, HostCount: func() int { return 3 }, Logger: logger, Store: store,
	}
	live := &mirror.Mirror{Logger: logger, OnChange: r.Apply, Prefix: mirror.LivePrefix, Store: store}
	group.Go(func() error { return r.Run(ctx) })
	group.Go(func() error { return live.Run(ctx) })
	return r
}

// withRegistries runs a test with the registries of three hosts.
func withRegistries(t *testing.T, run func(t *testing.T, store *kvmemory.Store, hosts []*poison.KVRegistry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store := &kvmemory.Store{}
		var hosts []*poison.KVRegistry
		for range 3 {
			hosts = append(hosts, newRegistry(ctx, &group, store))
		}
		wait.For(ctx, syncTime)
		run(t, store, hosts)
		cancel()
		is.New(t).NoErr(group.Wait())
	})
}

// refused reports whether the host refuses the content.
func refused(r *poison.KVRegistry) bool {
	_, err := r.Admit(context.Background(), content)
	return kind.Is(err, kind.Quarantined)
}

// admitting returns the number of hosts that admit the content.
func admitting(hosts []*poison.KVRegistry) int {
	n := 0
	for _, r := range hosts {
		if !refused(r) {
			n++
		}
	}
	return n
}

// TestCrashesSeenByDifferentHostsAddUp has each of three hosts detect one crash.
func TestCrashesSeenByDifferentHostsAddUp(t *testing.T) {
	withRegistries(t, func(t *testing.T, _ *kvmemory.Store, hosts []*poison.KVRegistry) {
		t.Helper()
		is := is.New(t)
		admission, err := hosts[0].Admit(t.Context(), content)
		is.NoErr(err)
		is.True(!admission.Sequential)
		for n, r := range hosts {
			r.RecordCrash(content, uint64(n))
			r.RecordCrash(content, uint64(n)) // the same crash counts once
		}
		wait.For(t.Context(), syncTime)
		is.Equal(admitting(hosts), 0)
		_, err = hosts[0].Admit(t.Context(), content+1)
		is.NoErr(err) // other content is admitted
	})
}

// TestOneTrialInTheFleetAtATime counts the trials that are let through while the content
// crashes each server that runs it.
func TestOneTrialInTheFleetAtATime(t *testing.T) {
	withRegistries(t, func(t *testing.T, _ *kvmemory.Store, hosts []*poison.KVRegistry) {
		t.Helper()
		is := is.New(t)
		for n := range 3 {
			hosts[0].RecordCrash(content, uint64(n))
		}
		crash := uint64(3)
		for range 300 {
			wait.For(t.Context(), time.Second)
			if admitting(hosts) > 0 {
				hosts[1].RecordCrash(content, crash)
				crash++
			}
		}
		is.Equal(crash, uint64(4)) // one more server in five minutes
	})
}

// TestHarmlessContentIsServedAfterItsTrial quarantines harmless content that ran on three
// servers when they crashed for another reason.
func TestHarmlessContentIsServedAfterItsTrial(t *testing.T) {
	withRegistries(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.KVRegistry) {
		t.Helper()
		is := is.New(t)
		for n := range 3 {
			hosts[0].RecordCrash(content, uint64(n))
		}
		wait.For(t.Context(), syncTime)
		is.Equal(admitting(hosts), 0)
		wait.For(t.Context(), 5*time.Second)
		is.Equal(admitting(hosts), 1)
		hosts[0].RecordResponse(content)
		wait.For(t.Context(), syncTime)
		is.Equal(admitting(hosts), 3)
		entries, _, err := store.List(t.Context(), mirror.LivePrefix)
		is.NoErr(err)
		is.Equal(len(entries), 0)
	})
}

// TestTrialsWithoutOutcomeBackOff admits trials that end without a response or a crash.
func TestTrialsWithoutOutcomeBackOff(t *testing.T) {
	withRegistries(t, func(t *testing.T, _ *kvmemory.Store, hosts []*poison.KVRegistry) {
		t.Helper()
		for n := range 3 {
			hosts[0].RecordCrash(content, uint64(n))
		}
		tried := 0
		for range 60 {
			wait.For(t.Context(), time.Second)
			tried += admitting(hosts)
		}
		is.New(t).True(1 <= tried && tried <= 3)
	})
}

func TestQuarantineOutlivesHostRestart(t *testing.T) {
	withRegistries(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.KVRegistry) {
		t.Helper()
		is := is.New(t)
		for n := range 3 {
			hosts[0].RecordCrash(content, uint64(n))
		}
		wait.For(t.Context(), syncTime)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var group errgroup.Group
		restarted := newRegistry(ctx, &group, store)
		wait.For(ctx, syncTime)
		is.True(refused(restarted))
		cancel()
		is.NoErr(group.Wait())
	})
}

// TestCrashesDuringStoreOutageAreKept checks that records are written after an outage of the
// store, in which writes were refused or their replies lost.
func TestCrashesDuringStoreOutageAreKept(t *testing.T) {
	for name, fault := range map[string]kvmemory.Fault{"refused": kvmemory.FaultRefused, "lost": kvmemory.FaultReplyLost} {
		t.Run(name, func(t *testing.T) {
			withRegistries(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.KVRegistry) {
				t.Helper()
				is := is.New(t)
				store.Inject(func(string) kvmemory.Fault { return fault })
				for n := range 3 {
					hosts[0].RecordCrash(content, uint64(n))
				}
				is.True(refused(hosts[0])) // a host's own record applies at once
				wait.For(t.Context(), 6*time.Second)
				is.True(refused(hosts[0])) // no trial is let through without the store
				store.Inject(nil)
				wait.For(t.Context(), 2*syncTime)
				is.Equal(admitting(hosts[1:]), 0)
			})
		})
	}
}

// countingStore counts the calls of Commit.
type countingStore struct {
	kv.Store

	commits atomic.Int64
}

func (s *countingStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.commits.Add(1)
	return s.Store.Commit(ctx, txn)
}

// TestWriteRateIsLimited records one crash for 3000 contents at once.
func TestWriteRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store := &countingStore{Store: &kvmemory.Store{}}
		r := newRegistry(ctx, &group, store)
		for n := range 3000 {
			r.RecordCrash(uint64(n+1), 1)
		}
		wait.For(ctx, 10*time.Second)
		cancel()
		is := is.New(t)
		is.NoErr(group.Wait())
		is.True(store.commits.Load() <= 100) // ten writes a second
	})
}

// TestExpiredRecordsAreRemoved checks that the key of a record is deleted once it has expired.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	withRegistries(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.KVRegistry) {
		t.Helper()
		is := is.New(t)
		hosts[0].RecordCrash(content, 1)
		wait.For(t.Context(), 20*time.Minute)
		entries, _, err := store.List(t.Context(), mirror.LivePrefix)
		is.NoErr(err)
		is.Equal(len(entries), 0)
	})
}

// TestMalformedAndFutureRecords reads malformed records and a quarantine that was set by a
// clock far ahead.
func TestMalformedAndFutureRecords(t *testing.T) {
	withRegistries(t, func(t *testing.T, store *kvmemory.Store, hosts []*poison.KVRegistry) {
		t.Helper()
		is := is.New(t)
		store.Put(kv.Write{Key: mirror.LivePrefix + "poison/8", Value: []byte("{")})
		store.Put(kv.Write{Key: mirror.LivePrefix + "poison/x", Value: []byte("{}")})
		store.Put(kv.Write{Key: mirror.LivePrefix + "poison/7", Value: []byte(
			`{"crashes":[{"at":946684800000,"id":1},{"at":946684800000,"id":2},{"at":946684800000,"id":3}],"limit":3,"quarantined-until":4102444800000}`)})
		wait.For(t.Context(), syncTime)
		is.Equal(admitting(hosts), 0)
		wait.For(t.Context(), 11*time.Minute)
		is.True(admitting(hosts) > 0)
	})
}
