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
	"github.com/nutmegway/nutmegway/internal/request/spillover"
)

const (
	// hedgeDelayShare is the fraction of a route's latency objective after which a
	// hedged request is sent to a second server. If that server answers in the usual
	// time, the objective is still met.
	hedgeDelayShare = 0.4
	// minHedgeDelay keeps routes with a very short objective from sending each request
	// twice.
	minHedgeDelay = 20 * time.Millisecond
	// idleShare is the fraction of used slots up to which a server counts as idle.
	// Servers slow down only when nearly all slots are used, and the load that this host
	// knows of is up to a second old.
	idleShare = 0.5
	// The cost of a server is the fraction of its slots in use beyond idleShare.
	// crossZoneCost is added for a server in another availability zone, and backoffCost
	// for a server in backoff, which is thus chosen only if all others are in backoff too.
	crossZoneCost = 0.08
	backoffCost   = 10
	// notPreferredCost is added for all servers of a service except the one that this
	// host prefers, so that the preferred one gets requests often enough to keep its
	// idle connection open. Together with crossZoneCost it is about the cost of one
	// request beyond idleShare at a server with six slots.
	notPreferredCost = 0.08
	// limitedCost is added for a server with a request limit, so that it gets requests only
	// once the other servers are nearly full.
	limitedCost = 0.5
	// maxRefusalsPerAttempt bounds the attempts that servers refuse, as a multiple of
	// the route's maximum of attempts.
	maxRefusalsPerAttempt = 2
	// The retry delay of a refused caller is minRetryAfter plus a random part of
	// retryAfterSpread, so that callers refused together do not retry together. A server
	// that refused a request is in backoff for minRetryAfter.
	minRetryAfter    = 150 * time.Millisecond
	retryAfterSpread = 250 * time.Millisecond
)

// attempts counts the attempts of one request and decides on further ones. It does no I/O.
type attempts struct {
	chooser Chooser
	route   config.Route

	// mayHaveRun is the number of ended attempts that may have run the request.
	mayHaveRun int
	// notRun is the number of ended attempts that have not run the request.
	notRun int
	// sequential allows only one pending attempt at a time.
	sequential bool
	pending    int
	// nextPermit is the shortest time until a server that did not get the request because
	// of its request limit may get it; zero if there was none.
	nextPermit time.Duration
	// tried holds the ids of the servers of all attempts.
	tried map[string]struct{}

	// relaying is the number of attempts that a pending relay stands for; zero if there is
	// none. relays counts the relays that have ended.
	relaying, relays int
	// unreached is set once a server could not be reached.
	unreached bool
}

// maxAttempts returns the number of servers that may run the request.
func (a *attempts) maxAttempts() int { return max(a.route.MaxAttempts, 1) }

// mayRelay reports whether the request may be handed on to another host.
func (a *attempts) mayRelay() bool {
	if a.relays >= maxRelays || a.relaying > 0 || a.sequential && a.pending > 0 {
		return false
	}
	if a.route.Repeat != config.RepeatIdempotent {
		return a.mayHaveRun+a.pending == 0
	}
	return a.mayHaveRun+a.pending < a.maxAttempts()
}

// isStranded reports whether a request that may be repeated waits only for servers that this
// host no longer reaches. Its caller can repeat it at another host at once.
func (a *attempts) isStranded() bool {
	return a.route.Repeat == config.RepeatIdempotent && a.relaying == 0 && a.mayHaveRun+a.pending >= a.maxAttempts()
}

// recordRelayStart records that the request is handed on, and returns the number of servers
// that may run it there.
func (a *attempts) recordRelayStart() int {
	a.relaying = a.maxAttempts() - a.mayHaveRun - a.pending
	a.pending += a.relaying
	return a.relaying
}

// recordRelayEnd records the outcome of a relay. If the request may have run, all its attempts
// are used up.
func (a *attempts) recordRelayEnd(ran kind.Ran) {
	a.pending -= a.relaying
	if ran != kind.RanNo {
		a.mayHaveRun += a.relaying
	}
	a.relaying = 0
	a.relays++
}

// mayStart reports whether another attempt is allowed. Pending attempts count as if the
// request may have run.
func (a *attempts) mayStart() bool {
	limit := a.maxAttempts()
	if a.sequential && a.pending > 0 {
		return false
	}
	if a.route.Repeat != config.RepeatIdempotent {
		// Another attempt is allowed only if all earlier ones were refused.
		return a.mayHaveRun+a.pending == 0 && a.notRun < limit*maxRefusalsPerAttempt
	}
	return a.mayHaveRun+a.pending < limit && a.notRun < limit*maxRefusalsPerAttempt
}

// chooseServer returns the server for the next attempt, and the decision on leaving the
// availability zone, which is nil if the servers are in one zone.
func (a *attempts) chooseServer(candidates []inventory.Candidate) (inventory.Candidate, *spillover.Decision, bool) {
	return a.chooser.ChooseNear(candidates, a.tried, rand.Float64())
}

// Chooser chooses servers for the single requests of one host.
type Chooser struct {
	// Self is the id of the host.
	Self string
	// Zone is the availability zone of the host.
	Zone string
}

// Choose returns the server with the lowest cost that has not been tried, for a single
// request that takes some ten milliseconds. Each host has a preferred server of its own:
// if a few requests per second were spread over all servers, each would find its idle
// connection closed. The requests of many hosts still spread over the servers by chance.
// A small random part of the cost keeps hosts that avoid a loaded server from all choosing
// the same other one.
func (c Chooser) Choose(
	candidates []inventory.Candidate, tried map[string]struct{},
) (inventory.Candidate, bool) {
	preferred := c.preferredServer(candidates)
	best, lowest := -1, 0.0
	for i, candidate := range candidates {
		if _, ok := tried[candidate.ID]; ok {
			continue
		}
		cost := c.cost(candidate, preferred)
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return inventory.Candidate{}, false
	}
	return candidates[best], true
}

// ChooseNear returns a server in the host's availability zone, or in another one if leaving
// pays, for a request that has not tried the servers in tried. sample is a random number in
// [0, 1). The decision is nil if all servers that take new work are in one zone.
func (c Chooser) ChooseNear(
	candidates []inventory.Candidate, tried map[string]struct{}, sample float64,
) (inventory.Candidate, *spillover.Decision, bool) {
	zones := zonesOf(candidates, tried)
	if len(zones) < 2 {
		candidate, ok := c.Choose(candidates, tried)
		return candidate, nil, ok
	}
	decision := spillover.Decide(c.Zone, zones)
	zone := decision.Choose(sample)
	var near []inventory.Candidate
	for _, candidate := range candidates {
		if candidate.Zone == zone && isUsable(candidate) {
			near = append(near, candidate)
		}
	}
	candidate, ok := Chooser{Self: c.Self, Zone: zone}.Choose(near, tried)
	if !ok {
		candidate, ok = c.Choose(candidates, tried)
	}
	return candidate, &decision, ok
}

// isUsable reports whether a server is as good as others for a new request.
func isUsable(candidate inventory.Candidate) bool {
	return !candidate.IsAvoidedByRequests() && !candidate.RequestLimit.Named
}

// zonesOf returns the availability zones of the usable servers that have not been tried.
func zonesOf(candidates []inventory.Candidate, tried map[string]struct{}) []spillover.Zone {
	var zones []spillover.Zone
	for _, candidate := range candidates {
		if _, ok := tried[candidate.ID]; ok || !isUsable(candidate) {
			continue
		}
		i := slices.IndexFunc(zones, func(z spillover.Zone) bool { return z.Name == candidate.Zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, spillover.Zone{Name: candidate.Zone})
		}
		zones[i].Slots += candidate.Slots
		zones[i].Requests += max(candidate.InFlight, candidate.ReportedRequests)
	}
	return zones
}

// preferredServer returns the id of the server that this host prefers. It is in the host's
// availability zone if the zone has a candidate.
func (c Chooser) preferredServer(candidates []inventory.Candidate) string {
	var sameZone, all []string
	for _, candidate := range candidates {
		all = append(all, candidate.ID)
		if candidate.Zone == c.Zone {
			sameZone = append(sameZone, candidate.ID)
		}
	}
	if len(sameZone) == 0 {
		sameZone = all
	}
	return rendezvous.Owner(c.Self, sameZone)
}

// cost returns the cost of sending a request to a server. The lowest is chosen.
func (c Chooser) cost(candidate inventory.Candidate, preferred string) float64 {
	used := float64(max(candidate.InFlight, candidate.ReportedRequests)+1) / float64(max(candidate.Slots, 1))
	cost := max(used-idleShare, 0)
	if candidate.Zone != c.Zone {
		cost += crossZoneCost
	}
	if candidate.ID != preferred {
		cost += notPreferredCost + rand.Float64()*crossZoneCost/2
	}
	if candidate.RequestLimit.Named {
		cost += limitedCost
	}
	if candidate.IsAvoidedByRequests() {
		cost += backoffCost
	}
	return cost
}

// recordStart records the start of an attempt at the server with this id.
func (a *attempts) recordStart(id string) {
	a.tried[id] = struct{}{}
	a.pending++
}

// triedServers returns the sorted ids of the servers of all attempts.
func (a *attempts) triedServers() []string { return slices.Sorted(maps.Keys(a.tried)) }

// recordEnd records the end of an attempt. ran states whether it ran the request.
func (a *attempts) recordEnd(ran kind.Ran) {
	a.pending--
	if ran == kind.RanNo {
		a.notRun++
		return
	}
	a.mayHaveRun++
}

// recordNoPermit records that the request did not go to a server because of its request
// limit, and may go there after wait.
func (a *attempts) recordNoPermit(wait time.Duration) {
	if a.nextPermit == 0 || wait < a.nextPermit {
		a.nextPermit = wait
	}
}

// hedgeDelay returns the delay after which the request is also sent to a second server. It
// returns false if the request is not hedged.
func (a *attempts) hedgeDelay() (time.Duration, bool) {
	if a.route.Repeat != config.RepeatIdempotent || a.route.Streaming || a.route.LatencySLO <= 0 {
		return 0, false
	}
	return max(time.Duration(hedgeDelayShare*float64(a.route.LatencySLO)), minHedgeDelay), true
}

// failure returns the error when no server answered and no further attempt is possible.
func (a *attempts) failure() error {
	retryAfter := max(minRetryAfter, a.nextPermit) + rand.N(retryAfterSpread)
	if mayHaveRun := a.mayHaveRun + a.pending; mayHaveRun > 0 {
		return kind.New(kind.OutcomeUnknown, "no answer from any backend server: the request may have run at %d of %d tried", mayHaveRun, len(a.tried))
	}
	return kind.New(kind.Unavailable, "no backend server of the service accepts the request now (refusals: %d)", a.notRun).WithRetryAfter(retryAfter)
}
