package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/probe"
)

const (
	// probeTimeout bounds the probes of one examination.
	probeTimeout = 300 * time.Millisecond
	// probeStagger is the time after which the next server is probed while the one before
	// has not answered.
	probeStagger = 40 * time.Millisecond
	// maxProbes bounds the servers that one examination probes.
	maxProbes = 6
)

// Target is a server that may be probed.
type Target struct {
	Address string
	Service string
}

// probeResult is the outcome of the probes of one examination.
type probeResult struct {
	// inconclusive is set if this process was paused meanwhile, so that its time limits
	// say nothing about the servers.
	inconclusive    bool
	probed, refused int
	// reached is set if a server accepted a connection, or if there is none to probe.
	reached bool
}

// probe opens connections to some of the targets until one succeeds.
func (m *Monitor) probe(ctx context.Context, targets []Target, last string) (result probeResult) {
	addresses := sample(targets, last, rand.Shuffle)
	if len(addresses) == 0 {
		result.reached = true
		return result
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	var group errgroup.Group
	defer func() {
		cancel()
		_ = group.Wait() // The probes return no error.
	}()
	ended := make(chan probe.Result, len(addresses))
	ticker := time.NewTicker(probeStagger)
	defer ticker.Stop()
	for finished := 0; finished < len(addresses); {
		if result.probed < len(addresses) {
			address := addresses[result.probed]
			result.probed++
			group.Go(func() error {
				ended <- probe.Address(ctx, m.Dial, address)
				return nil
			})
		}
		select {
		case got := <-ended:
			finished++
			if got == probe.Listening {
				m.connected()
				result.reached = true
				return result
			}
			if got == probe.NotListening {
				result.refused++
			}
		case <-ticker.C:
		}
	}
	result.inconclusive = time.Since(began) > 2*probeTimeout
	return result
}

// sample returns the addresses to probe, at most maxProbes. Services take turns, so that the
// loss of all servers of one service isn't taken for that of the links. The address last comes
// after the others.
func sample(targets []Target, last string, shuffle func(n int, swap func(i, j int))) []string {
	targets = slices.Clone(targets)
	shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	rank := make(map[string]int)
	ranks := make(map[string]int, len(targets))
	for _, target := range targets {
		ranks[target.Address] = rank[target.Service]
		rank[target.Service]++
	}
	slices.SortStableFunc(targets, func(a, b Target) int {
		if (a.Address == last) != (b.Address == last) {
			if a.Address == last {
				return 1
			}
			return -1
		}
		return ranks[a.Address] - ranks[b.Address]
	})
	var addresses []string
	for _, target := range targets[:min(len(targets), maxProbes)] {
		addresses = append(addresses, target.Address)
	}
	return addresses
}
