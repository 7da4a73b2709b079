package owner_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/stream"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
)

// TestOwnerCrashDuringCommit crashes the owner immediately before or after a
// commit takes effect, or loses the reply to the commit. No sample may be lost
// or changed.
func TestOwnerCrashDuringCommit(t *testing.T) {
	for _, when := range []string{"before", "after", "reply-lost"} {
		t.Run(when, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			f := newFixture(t, 4, 2, nil)
			tr := f.trainer("trainer-a")
			groups := makeGroups(6, 60)
			is.NoErr(tr.post(ctx, "groups", groups[0]))
			first := f.ownerOf(ctx, "trainer-a")
			var commits atomic.Int64
			killed := make(chan struct{})
			fault := func(kv.Txn) error {
				if commits.Add(1) != 2 {
					return nil
				}
				if when == "reply-lost" {
					return kind.New(kind.StoreWriteUnknown, "the reply was lost")
				}
				close(killed)
				<-ctx.Done() // A crashed process runs no further.
				return ctx.Err()
			}
			if when == "before" {
				first.store.setFaults(fault, nil)
			} else {
				first.store.setFaults(nil, fault)
			}
			var group errgroup.Group
			if when != "reply-lost" {
				group.Go(func() error {
					<-killed
					f.kill(first)
					return nil
				})
			}
			for _, g := range groups[1:] {
				is.NoErr(tr.post(ctx, "groups", g))
			}
			is.NoErr(tr.readUntil(ctx, 24))
			is.NoErr(group.Wait())
			tr.verify(t, groups)
		})
	}
}

func TestOldCursorReadsSameBytesAfterFailover(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 2, nil)
	tr := f.trainer("trainer-a")
	groups := makeGroups(4, 40)
	for _, g := range groups {
		is.NoErr(tr.post(ctx, "groups", g))
	}
	is.NoErr(tr.readUntil(ctx, 16))
	f.kill(f.ownerOf(ctx, "trainer-a"))
	tr.cursor = 3
	for tr.cursor < 16 {
		if err := tr.read(ctx); err != nil {
			tr.host = (tr.host + 1) % len(f.nodes)
		}
		is.NoErr(ctx.Err())
	}
	tr.verify(t, groups)
}

func TestStalledReaderDoesNotBlockAnotherTrainer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 2, nil)
	stalled, reading := f.trainer("trainer-a"), f.trainer("trainer-b")
	groups := makeGroups(4, 40)
	for _, g := range groups {
		is.NoErr(stalled.post(ctx, "groups", g))
		is.NoErr(reading.post(ctx, "groups", g))
	}
	is.NoErr(reading.readUntil(ctx, 16))
	reading.verify(t, groups)
	is.NoErr(stalled.readUntil(ctx, 16))
	stalled.verify(t, groups)
}

func TestEngineCrashWithinGroup(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 3, nil)
	f.engines[1].Inject(standinengine.Fault{AfterTokens: 5, Kind: standinengine.FaultCrash})
	tr := f.trainer("trainer-a")
	groups := makeGroups(6, 60)
	for _, g := range groups {
		is.NoErr(tr.post(ctx, "groups", g))
	}
	is.NoErr(tr.readUntil(ctx, 24))
	tr.verify(t, groups)
}

func TestGroupsSurviveStoreOutage(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 2, nil)
	tr := f.trainer("trainer-a")
	groups := makeGroups(6, 60)
	is.NoErr(tr.post(ctx, "groups", groups[0]))
	f.kv.SetDown(true)
	var group errgroup.Group
	group.Go(func() error { return tr.post(ctx, "groups", groups[1]) })
	is.True(tr.read(ctx) != nil || len(tr.samples) <= groups[0].SampleCount)
	f.kv.SetDown(false)
	is.NoErr(group.Wait())
	for _, g := range groups[2:] {
		is.NoErr(tr.post(ctx, "groups", g))
	}
	is.NoErr(tr.readUntil(ctx, 24))
	tr.verify(t, groups)
}

func TestSamplesOverStalenessBoundAreReplaced(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 3, 2, nil)
	tr := f.trainer("trainer-a")
	groups := makeGroups(2, 40)
	for i := range groups {
		groups[i].StalenessBound = 0
		is.NoErr(tr.post(ctx, "groups", groups[i]))
	}
	is.NoErr(tr.readUntil(ctx, 3))
	// The unread samples have a position already or get one later; version 2
	// makes them stale in both cases.
	is.NoErr(tr.post(ctx, "versions", map[string]int64{"version": 2}))
	readBefore := len(tr.samples)
	is.NoErr(tr.readUntil(ctx, 8))
	tr.verify(t, groups)
	for _, s := range tr.samples {
		if s.Position >= int64(readBefore) {
			is.Equal(s.OldestVersion(), int64(2))
		}
	}
}

// fullDisk is a Disk on which every write fails with ENOSPC.
type fullDisk struct{}

func (fullDisk) Append(stream.Name, []stream.Content) error { return syscall.ENOSPC }

func (fullDisk) Replay(stream.Name, func(stream.Content)) error { return nil }

func (fullDisk) Trim(stream.Name, int64) error { return nil }

func TestFullDisksLoseNoSamples(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t, 4, 2, nil)
	for _, n := range f.nodes[:3] {
		n.service.Copies.Disk = fullDisk{}
	}
	tr := f.trainer("trainer-a")
	groups := makeGroups(4, 40)
	for _, g := range groups {
		is.NoErr(tr.post(ctx, "groups", g))
	}
	is.NoErr(tr.readUntil(ctx, 16))
	f.kill(f.ownerOf(ctx, "trainer-a"))
	tr.cursor = 0
	for tr.cursor < 16 {
		if err := tr.read(ctx); err != nil {
			tr.host = (tr.host + 1) % len(f.nodes)
		}
		is.NoErr(ctx.Err())
	}
	tr.verify(t, groups)
}
