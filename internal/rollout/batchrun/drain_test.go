package batchrun_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

func TestDrainingHostHandsOverPartialText(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	reached := make(chan struct{})
	var once sync.Once
	engine.handle = func(w http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Resume-After") != "" {
			return false
		}
		engine.stream(w, r, 3)
		once.Do(func() { close(reached) })
		<-r.Context().Done()
		return true
	}
	a, b := newHost(t, "a", store, engine), newHost(t, "b", store, engine)
	is.NoErr(a.service.Submit(t.Context(), sampleBatch(1)))
	<-reached
	for a.inventory.Candidates("s")[0].EventInterval == 0 {
		time.Sleep(time.Millisecond) // until the host has received two of the events
	}
	a.stop()
	checkComplete(t, readAll(t, b.service), 1)
	requests := engine.requests()
	is.Equal(len(requests), 2)
	is.True(requests[1] == "x-i0@2" || requests[1] == "x-i0@3") // the item is resumed and does not start over
}

// TestDrainingHostFinishesItsBatches checks that a draining host finishes its
// running batches, so that no item moves to another host, and accepts no new
// batches.
func TestDrainingHostFinishesItsBatches(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	reached, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	engine.handle = func(http.ResponseWriter, *http.Request) bool {
		once.Do(func() { close(reached) })
		<-release
		return false
	}
	a, b := newHost(t, "a", store, engine), newHost(t, "b", store, engine)
	is.NoErr(a.service.Submit(t.Context(), sampleBatch(1)))
	<-reached
	finished := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		a.service.Runner.AwaitClosed(t.Context())
		close(finished)
		return nil
	})
	other := sampleBatch(1)
	other.ID = "y"
	for a.service.Adopt(t.Context(), batch.Head{ID: other.ID, Owner: a.service.Runner.Self, Total: 1}, other) {
		other.ID += "y" // AwaitClosed had not taken effect yet; try another batch
	}
	select {
	case <-finished:
		t.Error("AwaitClosed returned before the running batch was closed")
	default:
	}
	close(release)
	is.NoErr(group.Wait())
	a.stop()
	checkComplete(t, readAll(t, b.service), 1)
}

// TestHostEndsWhileABatchRuns ends a host whose engine never answers, without a drain, as at
// a second signal.
func TestHostEndsWhileABatchRuns(t *testing.T) {
	is := is.New(t)
	engine := newEngine(t)
	reached := make(chan struct{})
	var once sync.Once
	engine.handle = func(_ http.ResponseWriter, r *http.Request) bool {
		once.Do(func() { close(reached) })
		<-r.Context().Done()
		return true
	}
	h := newHost(t, "a", &kvmemory.Store{}, engine)
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(1)))
	<-reached
	h.abort()
}
