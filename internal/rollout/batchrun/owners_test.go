package batchrun_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
)

// mixedFleet is a fleet in which one host of five has four times the processor of the
// others.
func mixedFleet(n int) []roster.Host {
	var hosts []roster.Host
	for i := range n {
		h := roster.Host{ID: fmt.Sprintf("h%02d", i), Processor: 0.2}
		if i%5 == 0 {
			h.Processor = 0.8
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// TestStrongHostsOwnBatches has steps of 240 streams with an event each 27 ms. At some
// twenty microseconds an event they take a fifth of a core, all that a weak host has.
func TestStrongHostsOwnBatches(t *testing.T) {
	is := is.New(t)
	hosts := mixedFleet(80)
	models := []string{"m0", "m1", "m2", "m3"}
	seen := map[string]bool{}
	for model, owner := range batchrun.Owners(models, hosts) {
		for _, h := range hosts {
			is.True(h.ID != owner || h.Processor == 0.8) // of the model
		}
		is.True(!seen[owner]) // no host has two models
		seen[owner] = true
		_ = model
	}
	is.Equal(len(seen), len(models))
}

func TestOwnersOfFleetsWithoutStrongHosts(t *testing.T) {
	is := is.New(t)
	unknown := []roster.Host{{ID: "a"}, {ID: "b"}}
	owners := batchrun.Owners([]string{"m0", "m1", "m2"}, unknown)
	is.True(owners["m0"] != owners["m1"]) // each takes one before one takes two
	is.True(owners["m2"] != "")
	is.Equal(batchrun.Owners([]string{"m0"}, nil)["m0"], "")
}

// TestFewOwnersChange takes one host away: models of other hosts keep theirs, but for
// one that was kept from its first choice by the model of the lost host.
func TestFewOwnersChange(t *testing.T) {
	is := is.New(t)
	hosts := mixedFleet(80)
	models := []string{"m0", "m1", "m2", "m3"}
	before := batchrun.Owners(models, hosts)
	changed := 0
	for i := range hosts {
		rest := append(append([]roster.Host(nil), hosts[:i]...), hosts[i+1:]...)
		for model, owner := range batchrun.Owners(models, rest) {
			if owner != before[model] {
				changed++
			}
		}
	}
	is.True(changed <= 2*len(models)) // of 80 losses
}
