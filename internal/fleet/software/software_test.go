package software_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/software"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// hostHistory is the history of one host, which gets the stored records from a list.
type hostHistory struct {
	*software.History

	servers *inventory.Inventory
	store   *kvmemory.Store
}

func newHistory(store *kvmemory.Store) *hostHistory {
	servers := &inventory.Inventory{}
	return &hostHistory{servers: servers, store: store, History: &software.History{
		Inventory: servers, IsResponsible: func(string) bool { return true }, Logger: slog.New(slog.DiscardHandler),
		Services: func() []string { return []string{"s"} }, Store: store,
	}}
}

func (h *hostHistory) setServer(id, version string) {
	h.servers.Set(inventory.Server{ID: id, Service: "s", Software: version})
}

// run runs the history for a while between two deliveries of the mirror.
func (h *hostHistory) run(t *testing.T) {
	t.Helper()
	h.deliver(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return h.Run(ctx) })
	_ = group.Wait()
	h.deliver(t)
}

func (h *hostHistory) deliver(t *testing.T) {
	t.Helper()
	entries, _, err := h.store.List(t.Context(), mirror.LivePrefix)
	if err != nil {
		t.Fatal(err)
	}
	var change mirror.Change
	for _, entry := range entries {
		change.Events = append(change.Events, kv.Event{Entry: entry})
	}
	h.Apply(change)
}

// TestNewHostKnowsVersionsThatAreGone has all hosts start again after a version was
// replaced while none of them ran.
func TestNewHostKnowsVersionsThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		before := newHistory(store)
		before.setServer("1", "a")
		versions, complete := before.Recent("s")
		is.Equal(versions, []string{"a"})
		is.True(!complete) // nothing is recorded
		before.run(t)
		versions, complete = before.Recent("s")
		is.Equal(versions, []string{"a"})
		is.True(complete)

		after := newHistory(store)
		after.setServer("2", "b")
		after.run(t)
		versions, complete = after.Recent("s")
		is.Equal(versions, []string{"a", "b"})
		is.True(complete)

		time.Sleep(2 * software.Window)
		versions, _ = after.Recent("s")
		is.Equal(versions, []string{"b"})
	})
}

func TestVersionIsRecentForAWhileAfterItsLastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHistory(&kvmemory.Store{})
		h.setServer("1", "a")
		h.setServer("2", "b")
		h.run(t)
		h.servers.Remove("1")
		versions, _ := h.Recent("s") // the change isn't recorded yet
		is.Equal(versions, []string{"a", "b"})
		h.run(t)
		time.Sleep(software.Window / 2)
		versions, _ = h.Recent("s")
		is.Equal(versions, []string{"a", "b"})
		time.Sleep(software.Window)
		versions, _ = h.Recent("s")
		is.Equal(versions, []string{"b"})
	})
}

func TestInvalidRecordIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		store.Put(kv.Write{Key: mirror.LivePrefix + "software/s", Value: []byte("{")})
		h := newHistory(store)
		h.setServer("1", "a")
		h.deliver(t)
		_, complete := h.Recent("s")
		is.True(!complete)
		h.run(t)
		versions, complete := h.Recent("s")
		is.Equal(versions, []string{"a"})
		is.True(complete)
	})
}
