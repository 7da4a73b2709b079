package batchrun_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// unsendable are changes to an item for which no request can be sent then.
var unsendable = map[string]func(*batch.Item){
	"header name":  func(i *batch.Item) { i.Header = map[string]string{"no name": "x"} },
	"header value": func(i *batch.Item) { i.Header = map[string]string{"X-Model": "m\r\nX-Model: other"} },
	"empty path":   func(i *batch.Item) { i.Target = "" },
	"other host":   func(i *batch.Item) { i.Target = "@example/" },
	"escape":       func(i *batch.Item) { i.Target = "/r/%zz" },
	"reward path":  func(i *batch.Item) { i.Reward = &batch.Reward{Host: "example", Target: "score"} },
}

// TestItemsThatCannotBeSentAreRefused guards against batches that are accepted although an item can
// never be sent.
func TestItemsThatCannotBeSentAreRefused(t *testing.T) {
	for name, change := range unsendable {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHost(t, "a", &kvmemory.Store{}, newEngine(t))
			b := sampleBatch(3)
			change(&b.Items[1])
			err := h.service.Submit(t.Context(), b)
			is.True(kind.Is(err, kind.BadRequest))
			is.Equal(kind.Of(err).Ran, kind.RanNo)
		})
	}
}

// TestItemsThatCannotBeSentBackNoEngineOff guards against items of an older host's batch that can't
// be sent, and for which the engines back off.
func TestItemsThatCannotBeSentBackNoEngineOff(t *testing.T) {
	for name, change := range unsendable {
		if name == "reward path" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &kvmemory.Store{}
			b := sampleBatch(9)
			change(&b.Items[0])
			_, _, err := (&batch.Store{KV: store}).Accept(t.Context(), b, batch.Owner{})
			is.NoErr(err)
			h := newHost(t, "a", store, newEngine(t))
			awaitCompleted(t, h.service, 8)
			is.Equal(h.inventory.Candidates("s")[0].BackingOff, false)
		})
	}
}
