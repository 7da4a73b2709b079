package roster_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// host runs a roster together with its mirror.
type host struct {
	*roster.Roster

	stop func()
}

func start(t *testing.T, store kv.Store, id, incarnation string) *host {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	r := &roster.Roster{Logger: logger, Self: roster.Host{Address: id, ID: id, Incarnation: incarnation}, Store: store}
	m := &mirror.Mirror{Logger: logger, OnChange: r.Apply, Prefix: mirror.LivePrefix, Store: store}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = r.Run(ctx) })
	group.Go(func() { _ = m.Run(ctx) })
	return &host{Roster: r, stop: func() {
		cancel()
		group.Wait()
	}}
}

func TestHostsJoinAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		a, b := start(t, store, "a", "1"), start(t, store, "b", "1")
		defer a.stop()
		time.Sleep(time.Second)
		is.Equal(roster.IDs(a.Hosts()), []string{"b", "a"})
		b.Leave()
		time.Sleep(time.Second)
		is.Equal(roster.IDs(a.Hosts()), []string{"a"}) // callers are no longer sent to b
		is.True(a.Alive("b", "1"))                     // b is still listed while it drains
		b.stop()
		time.Sleep(4 * time.Second)
		is.True(!a.Alive("b", "1")) // the lease has expired
		is.True(!a.Alive("", ""))   // an empty owner is never alive
		restarted := start(t, store, "b", "2")
		defer restarted.stop()
		time.Sleep(time.Second)
		is.True(a.Alive("b", "2"))
		is.True(!a.Alive("b", "1"))
	})
}

// TestRemovedEntryIsRegisteredAgain removes the entry of a running host. The host
// writes it again, although none of its own calls to the store has failed.
func TestRemovedEntryIsRegisteredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		a, b := start(t, store, "a", "1"), start(t, store, "b", "1")
		defer a.stop()
		defer b.stop()
		time.Sleep(time.Second)
		store.Remove(roster.Prefix)
		time.Sleep(time.Second)
		is.True(a.Alive("b", "1"))
		is.True(b.Alive("a", "1"))
		list, err := roster.Read(t.Context(), store)
		is.NoErr(err)
		is.Equal(roster.IDs(list.Hosts), []string{"a", "b"})
	})
}
