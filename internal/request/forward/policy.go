package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

const (
	// hedgeShare is the share of a route's objective after which a request that
	// may be repeated goes to a second server. An answer that starts then and
	// takes as long as most still meets the objective.
	hedgeShare = 0.4
	// shortestHedge keeps routes with a very short objective from doubling each
	// request.
	shortestHedge = 20 * time.Millisecond
	// freeShare is the share of a server's slots up to which it is as fast as an
	// idle one. Servers slow down only when they are nearly full, and what this
	// host knows of their load is up to a second old.
	freeShare = 0.5
	// crossZoneCost and suspectCost are added to a server's share of used slots
	// beyond that. A suspect server is taken only when all others are suspect.
	crossZoneCost = 0.08
	suspectCost   = 10
	// strangeCost is added for all servers but one of each service, so that a
	// host's requests come often enough there to find a kept connection. With
	// crossZoneCost it is worth one request beyond the free share of six slots.
	strangeCost = 0.08
	// refusalsPerAttempt bounds the servers that are asked although others said
	// that they are full.
	refusalsPerAttempt = 2
	// shortestReturn and returnSpread space the returns of refused callers,
	// so that they do not come back together.
	shortestReturn = 150 * time.Millisecond
	returnSpread   = 250 * time.Millisecond
)

// attempts follows the tries of one request. It does no I/O.
type attempts struct {
	chooser Chooser
	route   config.Route

	// mayHaveRun counts the tries after which the request may have run.
	mayHaveRun int
	notRun     int
	// oneByOne keeps the request at one server at a time.
	oneByOne bool
	pending  int
	tried    map[string]struct{}
}

// mayStart reports whether another try is allowed. Tries that are under way
// count as having run.
func (a *attempts) mayStart() bool {
	limit := max(a.route.MaxAttempts, 1)
	if a.oneByOne && a.pending > 0 {
		return false
	}
	if a.route.Repeat != config.RepeatIdempotent {
		// Only a refusal leaves room for another try.
		return a.mayHaveRun+a.pending == 0 && a.notRun < limit*refusalsPerAttempt
	}
	return a.mayHaveRun+a.pending < limit && a.notRun < limit*refusalsPerAttempt
}

func (a *attempts) choose(candidates []inventory.Candidate) (inventory.Candidate, bool) {
	return a.chooser.Choose(candidates, a.tried)
}

// Chooser chooses servers for the single requests of one host.
type Chooser struct {
	// Self is the id of the host.
	Self string
	// Zone is the availability zone of the host.
	Zone string
}

// Choose returns the untried server with the least load for a single request
// of some ten milliseconds. Each host prefers a server of its own: a few requests
// a second, spread over all servers, find each idle connection closed, and those
// of many hosts meet at the servers by chance anyway. A small random part keeps
// hosts that turn away from a loaded server from choosing the same one.
func (c Chooser) Choose(
	candidates []inventory.Candidate, tried map[string]struct{},
) (inventory.Candidate, bool) {
	home := c.home(candidates)
	best, lowest := -1, 0.0
	for i, candidate := range candidates {
		if _, ok := tried[candidate.ID]; ok {
			continue
		}
		cost := c.cost(candidate, home)
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return inventory.Candidate{}, false
	}
	return candidates[best], true
}

// home returns the server that this host prefers, in its own zone if there is one.
func (c Chooser) home(candidates []inventory.Candidate) string {
	var near, all []string
	for _, candidate := range candidates {
		all = append(all, candidate.ID)
		if candidate.Zone == c.Zone {
			near = append(near, candidate.ID)
		}
	}
	if len(near) == 0 {
		near = all
	}
	return rendezvous.Owner(c.Self, near)
}

func (c Chooser) cost(candidate inventory.Candidate, home string) float64 {
	used := float64(max(candidate.InFlight, candidate.Reported)+1) / float64(max(candidate.Slots, 1))
	cost := max(used-freeShare, 0)
	if candidate.Zone != c.Zone {
		cost += crossZoneCost
	}
	if candidate.ID != home {
		cost += strangeCost + rand.Float64()*crossZoneCost/2
	}
	if candidate.Suspect {
		cost += suspectCost
	}
	return cost
}

func (a *attempts) started(id string) {
	a.tried[id] = struct{}{}
	a.pending++
}

// asked returns the servers that were tried.
func (a *attempts) asked() []string { return slices.Sorted(maps.Keys(a.tried)) }

// ended counts the outcome of a try.
func (a *attempts) ended(ran kind.Ran) {
	a.pending--
	if ran == kind.RanNo {
		a.notRun++
		return
	}
	a.mayHaveRun++
}

// hedgeDelay returns after how long a second server is asked; false means never.
func (a *attempts) hedgeDelay() (time.Duration, bool) {
	if a.route.Repeat != config.RepeatIdempotent || a.route.Streaming || a.route.LatencySLO <= 0 {
		return 0, false
	}
	return max(time.Duration(hedgeShare*float64(a.route.LatencySLO)), shortestHedge), true
}

// refusal is the answer when no server took the request.
func (a *attempts) refusal() error {
	wait := shortestReturn + rand.N(returnSpread)
	if a.mayHaveRun > 0 {
		return kind.New(kind.OutcomeUnknown, "%d servers were tried without an answer", a.mayHaveRun)
	}
	return kind.New(kind.Unavailable, "no server of the service takes the request now").WithRetryAfter(wait)
}
