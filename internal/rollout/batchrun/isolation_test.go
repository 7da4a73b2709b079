package batchrun_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// hopelessRuns are the ways in which engines treat the items that none of them can serve.
var hopelessRuns = map[string]func(w http.ResponseWriter, r *http.Request){
	"refused": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	"refused by an idle engine": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Load", "0,0,4")
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	"failed": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	"broken": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"not a stream": func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "no events")
	},
	"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
}

// mixedEngines returns two engines that treat items whose id contains "hopeless" by hopeless, and
// take some time for the events of all others.
func mixedEngines(t *testing.T, hopeless func(w http.ResponseWriter, r *http.Request)) []*engineServer {
	t.Helper()
	engines := []*engineServer{newEngine(t), newEngine(t)}
	for _, e := range engines {
		e.handle = func(w http.ResponseWriter, r *http.Request) bool {
			if strings.Contains(r.Header.Get("X-Request-Id"), "hopeless") {
				hopeless(w, r)
				return true
			}
			time.Sleep(10 * time.Millisecond)
			return false
		}
	}
	return engines
}

// hopelessBatch returns a batch of items that no engine can serve.
func hopelessBatch(id string, items int) batch.Batch {
	b := sampleBatch(items)
	b.ID = id
	for n := range b.Items {
		b.Items[n].ID = fmt.Sprintf("%s-hopeless%d", id, n)
	}
	return b
}

// awaitCompleted waits until n items of the batch of sampleBatch are completed.
func awaitCompleted(t *testing.T, s *batchrun.Service, n int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	completed, after := 0, 0
	for completed < n && ctx.Err() == nil {
		wait, stop := context.WithTimeout(ctx, 200*time.Millisecond)
		page, err := s.Read(wait, "x", after)
		stop()
		if err != nil {
			t.Fatal(err)
		}
		after += len(page.Results)
		for _, r := range page.Results {
			if r.State == batch.StateCompleted {
				completed++
			}
		}
	}
	if completed < n {
		t.Errorf("got %d completed items, want %d", completed, n)
	}
}

// TestHopelessBatchLeavesEnginesToOthers guards against a batch whose items no engine can serve
// and which keeps the items of other batches from all engines.
func TestHopelessBatchLeavesEnginesToOthers(t *testing.T) {
	for name, hopeless := range hopelessRuns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHost(t, "a", &kvmemory.Store{}, mixedEngines(t, hopeless)...)
			// There are 8 slots.
			is.NoErr(h.service.Submit(t.Context(), hopelessBatch("first", 64)))
			is.NoErr(h.service.Submit(t.Context(), sampleBatch(64)))
			awaitCompleted(t, h.service, 64)
		})
	}
}

// TestHopelessItemsLeaveEnginesToTheirBatch guards against items that no engine can serve and that
// keep the other items of their batch from all engines.
func TestHopelessItemsLeaveEnginesToTheirBatch(t *testing.T) {
	for name, hopeless := range hopelessRuns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHost(t, "a", &kvmemory.Store{}, mixedEngines(t, hopeless)...)
			b := sampleBatch(64)
			b.Items = append(hopelessBatch("x", 16).Items, b.Items...)
			is.NoErr(h.service.Submit(t.Context(), b))
			awaitCompleted(t, h.service, 64)
		})
	}
}

// TestNextOwnerOfHopelessBatchLeavesEnginesToOthers guards against the same after a batch was
// handed over.
func TestNextOwnerOfHopelessBatchLeavesEnginesToOthers(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engines := mixedEngines(t, hopelessRuns["refused"])
	first := newHost(t, "a", store, engines...)
	is.NoErr(first.service.Submit(t.Context(), hopelessBatch("first", 64)))
	first.stop()
	second := newHost(t, "b", store, engines...)
	for !second.service.Runner.Runs("first") {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(second.service.Submit(t.Context(), sampleBatch(64)))
	awaitCompleted(t, second.service, 64)
}

// TestItemsLargerThanEveryEngineAreNotSent guards against items that are sent to engines that are
// known to be too small for them. They run once the configuration or an engine has more memory.
func TestItemsLargerThanEveryEngineAreNotSent(t *testing.T) {
	cases := map[string]struct {
		told, reported int
		enlarge        func(c *config.Config, inv *inventory.Inventory)
	}{
		"the configuration says so": {told: 500, enlarge: func(c *config.Config, _ *inventory.Inventory) { c.Services["s"] = config.Service{KVTokens: 2000} }},
		"the engine says so":        {told: 2000, reported: 500, enlarge: func(_ *config.Config, inv *inventory.Inventory) { inv.RecordMemory("e0", 2000) }},
		"a larger engine starts": {told: 500, enlarge: func(_ *config.Config, inv *inventory.Inventory) {
			e, _ := inv.Get("e0")
			e.ID = "e1"
			inv.Set(e)
			inv.RecordMemory("e1", 2000)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine := newEngine(t)
			var current atomic.Pointer[config.Config]
			h := newHostWith(t, "a", &kvmemory.Store{}, func(s *batchrun.Service) {
				configuration := *s.Runner.Config()
				configuration.Services = map[string]config.Service{"s": {KVTokens: c.told}}
				current.Store(&configuration)
				s.Runner.Config = current.Load
				s.Runner.Inventory.RecordMemory("e0", c.reported)
			}, engine)
			b := sampleBatch(3)
			b.Items[0].Tokens, b.Items[1].Tokens = 1000, 500
			is.NoErr(h.service.Submit(t.Context(), b))
			awaitCompleted(t, h.service, 2)
			is.Equal(len(engine.requests()), 2)
			demand := h.service.Runner.Demand()
			is.Equal(demand.Batches[0].Unfinished, 0) // more engines of the same size are of no use
			enlarged := *current.Load()
			enlarged.Services = map[string]config.Service{"s": {KVTokens: c.told}}
			c.enlarge(&enlarged, h.inventory)
			current.Store(&enlarged)
			checkComplete(t, readAll(t, h.service), 3)
		})
	}
}

// TestManyHopelessBatchesLeaveMostEngines guards against a caller that submits one batch after the
// other which no engine can serve. Each may put an engine into back-off before it is suspect.
func TestManyHopelessBatchesLeaveMostEngines(t *testing.T) {
	for name, hopeless := range hopelessRuns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engines := append(mixedEngines(t, hopeless), append(mixedEngines(t, hopeless), mixedEngines(t, hopeless)...)...)
			h := newHost(t, "a", &kvmemory.Store{}, engines...)
			most := 0
			for n := range 60 {
				is.NoErr(h.service.Submit(t.Context(), hopelessBatch(fmt.Sprintf("b%d", n), 1)))
				time.Sleep(5 * time.Millisecond)
				backingOff := 0
				for _, c := range h.inventory.Candidates("s") {
					if c.BackingOff {
						backingOff++
					}
				}
				most = max(most, backingOff)
			}
			is.True(most <= 2) // a third of the engines
		})
	}
}

// TestEmptyAnswersAreNotRepeatedAtOnce guards against an engine that answers without an event and
// gets the item again as fast as it answers.
func TestEmptyAnswersAreNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	engine := newEngine(t)
	engine.handle = func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Content-Type", "text/event-stream")
		return true
	}
	h := newHost(t, "a", &kvmemory.Store{}, engine)
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(1)))
	time.Sleep(time.Second)
	is.True(len(engine.requests()) <= 3) // at once, after 0.5 s, and after a further second
}
