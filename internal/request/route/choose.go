package route

import (
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/affinity"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
)

const (
	// aged is the age at which a summary says nothing any more; before, its load
	// is drawn towards the mean.
	aged = 2 * time.Second
	// assumedLimit stands for the limit of a server without a summary.
	assumedLimit = 8
	// failureCost is the cost of a server that always fails. It outweighs that
	// such a server always looks idle.
	failureCost = 4.0
	// loadCap is the load over the mean up to which a server gets calls because
	// of its cache, and recentCap the same for the rate of started calls.
	loadCap   = 1.25
	recentCap = 1.1
	// recentSlack is the number of calls a second over the mean that never
	// counts against a server.
	recentSlack = 0.3
	// oldVersionCost makes engines with the newest weights win between equals.
	oldVersionCost = 0.05
	// slowStart is the time in which a new server comes up to its share.
	slowStart    = 10 * time.Second
	slowStartMin = 0.2
	// The zone costs are shares of a full engine: about a millisecond between
	// availability zones is little against the run of a generation.
	otherRegionCost = 0.5
	otherZoneCost   = 0.03
	// popularHomes is the number of servers that keep a popular prefix.
	popularHomes = 3
	// vanishedFor is how long a server that vanished keeps its place among homes.
	vanishedFor = 500 * time.Millisecond
	minSpeed    = 0.5
	maxSpeed    = 4.0
)

// query is what a choice depends on.
type query struct {
	// alone marks content that must run without others on its server.
	alone       bool
	blocks      []uint64
	call        dispatch.Call
	fingerprint uint64
	// held says that the call holds the permission of its content's gate.
	held bool
	// homeKey is what prompts with a common prefix have in common.
	homeKey uint64
	self    member.Node
	// tried lists servers that refused or failed the call before.
	tried []string
}

// candidate is a server that may run the call.
type candidate struct {
	cost        float64
	outstanding float64
	recent      float64
	server      server.Server
	summary     owner.Summary
}

// choose returns the server that gets the call's next attempt. The error says
// when to come back when there is none.
func (k *knowledge) choose(now time.Time, servers []server.Server, q query) (server.Server, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastUsed = now
	candidates, live, err := k.candidates(now, servers, q)
	if err != nil {
		return server.Server{}, err
	}
	homes := homes(live, q)
	if !k.mayRoam(now, q) {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return !slices.Contains(homes[:min(len(homes), 2)], c.server.ID) })
		if len(candidates) == 0 {
			return server.Server{}, kind.New(kind.Overloaded, "other requests with the same content come first").WithRan(kind.RanNo)
		}
	}
	k.rate(now, candidates, q)
	return candidates[k.pick(now, candidates, homes, q)].server, nil
}

// mayRoam reports whether a call may leave the two homes of its content when
// they are full: only when an engine has answered the content before, had no second
// copy here for a while, or holds the permission of its gate. Many copies of one
// new content may be one poison. The knowledge is locked.
func (k *knowledge) mayRoam(now time.Time, q query) bool {
	return q.held || k.isProven(now, q.fingerprint) || now.Sub(k.crowded[q.fingerprint]) > crowdedFor
}

func (k *knowledge) isProven(now time.Time, fingerprint uint64) bool {
	at, ok := k.proven[fingerprint]
	return ok && now.Sub(at) <= provenKeep
}

// candidates lists the servers that may run the call now, ejected ones only when
// there are no others, and the ids of all that are live.
func (k *knowledge) candidates(now time.Time, servers []server.Server, q query) (candidates []candidate, live []string, err error) {
	candidates = make([]candidate, 0, len(servers))
	var ejected []candidate
	var fullest time.Duration
	for _, s := range servers {
		if _, ok := k.firstSeen[s.ID]; !ok {
			k.firstSeen[s.ID] = now
		}
		summary := k.summaries[s.ID]
		if !q.allows(now, s, summary) {
			continue
		}
		k.lastLive[s.ID] = now
		switch {
		case slices.Contains(q.tried, s.ID):
		case now.Before(k.full[s.ID].until):
			fullest = max(fullest, k.full[s.ID].after)
		case k.outliers.Ejected(now, s.ID):
			ejected = append(ejected, candidate{server: s, summary: summary})
		default:
			candidates = append(candidates, candidate{server: s, summary: summary})
		}
	}
	live = k.live(now)
	switch {
	case len(candidates) > 0:
		return candidates, live, nil
	case len(ejected) > 0:
		return ejected, live, nil
	case fullest > 0:
		return nil, nil, kind.New(kind.Overloaded, "the queues of service %q are full", k.service).WithRan(kind.RanNo).WithRetryAfter(fullest)
	default:
		return nil, nil, kind.New(kind.Unavailable, "service %q has no backend server for the request", k.service).WithRan(kind.RanNo)
	}
}

// live lists the servers that could take calls a moment ago. One that vanished
// since may have crashed, and copies of the content to blame must not move on to
// other homes before that is known. The knowledge is locked.
func (k *knowledge) live(now time.Time) []string {
	live := make([]string, 0, len(k.lastLive))
	for id, at := range k.lastLive {
		if now.Sub(at) < vanishedFor && (now.Sub(k.summaries[id].At) >= aged || !k.summaries[id].Down) {
			live = append(live, id)
		}
	}
	return live
}

// allows reports whether a server may ever run the call, busy or not.
func (q query) allows(now time.Time, s server.Server, summary owner.Summary) bool {
	if s.Leaving || slices.Contains(q.call.Exclude, s.ID) {
		return false
	}
	if now.Sub(summary.At) >= aged {
		return true
	}
	return !summary.Down && (q.call.MinVersion == 0 || summary.Version >= q.call.MinVersion)
}

// rate sets the cost of each candidate.
func (k *knowledge) rate(now time.Time, candidates []candidate, q query) {
	mean, speed, newest := k.means(now, candidates)
	for i := range candidates {
		c := &candidates[i]
		trust := 1 - min(1, now.Sub(c.summary.At).Seconds()/aged.Seconds())
		reported := float64(c.summary.InFlight + c.summary.Queued)
		c.outstanding = trust*reported + (1-trust)*mean + float64(k.pending[c.server.ID])
		c.recent = c.summary.StartRate
		limit := float64(assumedLimit)
		if c.summary.Limit > 0 {
			limit = float64(c.summary.Limit)
		}
		c.cost = (c.outstanding + 1) / (limit * k.ramp(now, c.server.ID))
		if speed > 0 && c.summary.TokensPerSecond > 0 {
			c.cost *= min(max(speed/c.summary.TokensPerSecond, minSpeed), maxSpeed)
		}
		c.cost += failureCost*k.outliers.FailureRate(now, c.server.ID) + zoneCost(q.self, c.server)
		if c.summary.Version < newest {
			c.cost += oldVersionCost
		}
	}
}

// means returns the mean load and token rate of the candidates with summaries
// and the newest version among them.
func (k *knowledge) means(now time.Time, candidates []candidate) (load, speed float64, newest int64) {
	var known, fast float64
	for _, c := range candidates {
		newest = max(newest, c.summary.Version)
		if now.Sub(c.summary.At) < aged {
			load += float64(c.summary.InFlight + c.summary.Queued)
			known++
		}
		if c.summary.TokensPerSecond > 0 {
			speed += c.summary.TokensPerSecond
			fast++
		}
	}
	return load / max(known, 1), speed / max(fast, 1), newest
}

// ramp is the share of its limit that a new server gets.
func (k *knowledge) ramp(now time.Time, id string) float64 {
	seen := k.firstSeen[id]
	if seen.Sub(k.since) < slowStart { // Not new: this node is.
		return 1
	}
	return min(1, max(slowStartMin, now.Sub(seen).Seconds()/slowStart.Seconds()))
}

func zoneCost(self member.Node, s server.Server) float64 {
	switch {
	case s.Region != self.Region:
		return otherRegionCost
	case s.AvailabilityZone != self.AvailabilityZone:
		return otherZoneCost
	default:
		return 0
	}
}

// pick returns the index of the candidate that gets the call.
func (k *knowledge) pick(now time.Time, candidates []candidate, homes []string, q query) int {
	if q.alone {
		return aloneHome(k.service, candidates)
	}
	homeIndexes := make([]int, 0, len(homes))
	for _, id := range homes {
		if i := slices.IndexFunc(candidates, func(c candidate) bool { return c.server.ID == id }); i >= 0 {
			homeIndexes = append(homeIndexes, i)
		}
	}
	if len(homeIndexes) > 0 && !k.isProven(now, q.fingerprint) {
		return unproven(candidates, homeIndexes)
	}
	preferred := homeIndexes[:min(len(homeIndexes), 1)]
	if best, ok := k.bestHint(now, candidates, q.blocks); ok {
		preferred = append([]int{best}, preferred...)
	}
	if len(q.blocks) > 0 {
		for _, i := range preferred {
			if fits(candidates, i) {
				return i
			}
		}
	}
	policy := balance.TwoChoices[candidate]{Cost: func(c candidate) float64 { return c.cost }}
	index, _ := policy.Pick(candidates) // There is at least one.
	return index
}

// aloneHome returns the candidate on which all contents of the service that must
// run alone take turns, so that the other servers go on with their work.
func aloneHome(service string, candidates []candidate) int {
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.server.ID
	}
	return slices.Index(ids, rendezvous.Owner("alone\x00"+service, ids))
}

// homes returns the servers on which all nodes agree for the call, in the order
// in which they are tried. The first follows from the prefix that the call shares
// with others. The second is one of the next two for that prefix, chosen by the
// call's own content, so that a popular prefix is kept by three servers. The
// third is any other, again by content.
func homes(live []string, q query) []string {
	ranked := affinity.Homes(q.homeKey, live)
	list := ranked[:min(len(ranked), 1)]
	for _, group := range [][]string{ranked[min(len(ranked), 1):min(len(ranked), popularHomes)], ranked[min(len(ranked), popularHomes):]} {
		if len(group) > 0 {
			list = append(list[:len(list):len(list)], group[q.fingerprint%uint64(len(group))])
		}
	}
	return list
}

// unproven chooses for content that no engine has answered yet. The first home
// gets it while it has room, for the sake of its cache, then the second. The
// third gets it only when these refused it.
func unproven(candidates []candidate, homes []int) int {
	best := homes[0]
	for _, home := range homes[:min(len(homes), 2)] {
		if fits(candidates, home) {
			return home
		}
		if candidates[home].cost < candidates[best].cost {
			best = home
		}
	}
	return best
}

// fits reports whether a candidate may get a call because of its cache: neither
// its load nor its recent share of the calls is far over the mean.
func fits(candidates []candidate, i int) bool {
	var load, recent float64
	for _, c := range candidates {
		load += c.outstanding
		recent += c.recent
	}
	n := float64(len(candidates))
	c := candidates[i]
	return c.outstanding+1 <= max(2, loadCap*(load/n+1)) && c.recent <= recentCap*recent/n+recentSlack
}

// bestHint returns the candidate that is believed to have the most of the prompt
// in its cache, when that is at least half.
func (k *knowledge) bestHint(now time.Time, candidates []candidate, blocks []uint64) (int, bool) {
	best, most := 0, 0
	for i, c := range candidates {
		hint, ok := k.hints[c.server.ID]
		if !ok {
			continue
		}
		if match := hint.Match(now, blocks); match > most {
			best, most = i, match
		}
	}
	return best, most*2 >= len(blocks) && most > 0
}
