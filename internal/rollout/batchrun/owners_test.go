package batchrun_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
)

// mixedFleet returns n hosts, of which every fifth has four times as much processor as the
// others.
func mixedFleet(n int) []roster.Host {
	var hosts []roster.Host
	for i := range n {
		h := roster.Host{ID: fmt.Sprintf("h%02d", i), Cores: 0.2}
		if i%5 == 0 {
			h.Cores = 0.8
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// TestHighCapacityHostsOwnBatches guards against owners with too little
// processor capacity. A step of 240 streams, each with an event every 27 ms,
// takes a fifth of a core at about 20 µs per event. A low-capacity host has no
// more than that.
func TestHighCapacityHostsOwnBatches(t *testing.T) {
	is := is.New(t)
	hosts := mixedFleet(80)
	models := []string{"m0", "m1", "m2", "m3"}
	seen := map[string]bool{}
	for model, owner := range batchrun.Owners(models, hosts) {
		for _, h := range hosts {
			is.True(h.ID != owner || h.Cores == 0.8) // the owner is a high-capacity host
		}
		is.True(!seen[owner]) // no host owns two models
		seen[owner] = true
		_ = model
	}
	is.Equal(len(seen), len(models))
}

func TestOwnersWithFewerHostsThanModels(t *testing.T) {
	is := is.New(t)
	unknown := []roster.Host{{ID: "a"}, {ID: "b"}}
	owners := batchrun.Owners([]string{"m0", "m1", "m2"}, unknown)
	is.True(owners["m0"] != owners["m1"]) // no host owns two models while another owns none
	is.True(owners["m2"] != "")
	is.Equal(batchrun.Owners([]string{"m0"}, nil)["m0"], "")
}

// TestOwnersAreStableWhenAHostIsRemoved removes one host at a time. The models
// of the other hosts keep their owners, with few exceptions: a model of the
// removed host may take the host that another model had.
func TestOwnersAreStableWhenAHostIsRemoved(t *testing.T) {
	is := is.New(t)
	hosts := mixedFleet(80)
	models := []string{"m0", "m1", "m2", "m3"}
	before := batchrun.Owners(models, hosts)
	changes := 0
	for i := range hosts {
		rest := append(append([]roster.Host(nil), hosts[:i]...), hosts[i+1:]...)
		for model, owner := range batchrun.Owners(models, rest) {
			if owner != before[model] {
				changes++
			}
		}
	}
	is.True(changes <= 2*len(models)) // over the removal of each of the 80 hosts
}
