package batchrun_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// TestOlderConfigurationGivesNoItemUp guards against items that are listed as dead because
// the host that runs their batch has an older configuration than the host that accepted it
// (MIXED). Each case begins with configuration 1 at the running host, which lacks the route
// of the batch or allows its items less time, while the store holds configuration 2.
func TestOlderConfigurationGivesNoItemUp(t *testing.T) {
	route := config.Route{
		Host: "example", ItemTimeout: time.Hour, MaxAttempts: 3, Prefix: "/r/", Repeat: config.RepeatBatch,
		Targets: []config.Target{{Service: "s", Weight: 1}},
	}
	short, moved := route, route
	short.ItemTimeout = time.Nanosecond
	moved.Targets = []config.Target{{Service: "other", Weight: 1}}
	cases := map[string]struct {
		older, newer []config.Route
		// accepted is the version under which the batch was accepted; zero is that of a host
		// whose build doesn't say.
		accepted int64
		// failedReads is the number of reads of the configuration that fail first.
		failedReads int64
		wantState   batch.State
		wantReads   int64
	}{
		"route added":                      {newer: []config.Route{route}, accepted: 2, wantState: batch.StateCompleted, wantReads: 1},
		"route added, accepted by old one": {newer: []config.Route{route}, wantState: batch.StateCompleted, wantReads: 1},
		"route moved to another service":   {older: []config.Route{moved}, newer: []config.Route{route}, accepted: 2, wantState: batch.StateCompleted, wantReads: 1},
		"item limit raised":                {older: []config.Route{short}, newer: []config.Route{route}, wantState: batch.StateCompleted, wantReads: 1},
		"store away at first":              {newer: []config.Route{route}, accepted: 2, failedReads: 2, wantState: batch.StateCompleted, wantReads: 3},
		"route really gone":                {older: []config.Route{route}, accepted: 2, wantState: batch.StateDead, wantReads: 1},
		"route gone, accepted by old one":  {wantState: batch.StateDead, wantReads: 1},
		"known route":                      {older: []config.Route{route}, newer: []config.Route{route}, accepted: 1, wantState: batch.StateCompleted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var current atomic.Pointer[config.Config]
			current.Store(&config.Config{Routes: c.older, Version: 1})
			var reads atomic.Int64
			engine := newEngine(t)
			h := newHostWith(t, "b", &kvmemory.Store{}, func(s *batchrun.Service) {
				s.Runner.Config = current.Load
				s.Runner.RefreshConfig = func(context.Context) error {
					if reads.Add(1) <= c.failedReads {
						return errors.New("store away")
					}
					current.Store(&config.Config{Routes: c.newer, Version: 2})
					return nil
				}
			}, engine)
			b := sampleBatch(2)
			b.ConfigVersion = c.accepted
			head, _, err := h.service.Batches.Accept(t.Context(), b, batch.Owner{Host: "b", Incarnation: "1"})
			is.NoErr(err)
			is.True(h.service.Adopt(t.Context(), head, b))
			for _, result := range readAll(t, h.service) {
				is.Equal(result.State, c.wantState)
			}
			is.Equal(reads.Load(), c.wantReads)
		})
	}
}

// TestBatchIsStoredWithTheVersionOfItsConfiguration checks what a host that takes the batch
// over from the store learns.
func TestBatchIsStoredWithTheVersionOfItsConfiguration(t *testing.T) {
	is := is.New(t)
	h := newHostWith(t, "a", &kvmemory.Store{}, func(s *batchrun.Service) {
		s.Runner.Config = func() *config.Config { return &config.Config{Version: 7} }
		s.Runner.RefreshConfig = func(context.Context) error { return errors.New("store away") }
	})
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(1)))
	stored, err := h.service.Batches.Load(t.Context(), "x")
	is.NoErr(err)
	is.Equal(stored.ConfigVersion, int64(7))
}
