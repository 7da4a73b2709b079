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
	// summaryMaxAge is the age from which the load in a summary is ignored and the
	// summary no longer excludes its server. Until then, the assumed load of the
	// server shifts linearly from the summary's load to the mean load.
	summaryMaxAge = 2 * time.Second
	// defaultLimit is the assumed concurrency limit of a server without a summary.
	defaultLimit = 8
	// failureCost is the cost added to a server whose calls all fail. It exceeds
	// what such a server gains by appearing idle.
	failureCost = 4.0
	// A server is chosen for its cache only if its load is at most maxLoadFactor
	// times the mean load, and its rate of started calls at most maxRateFactor
	// times the mean rate, plus rateSlack.
	maxLoadFactor = 1.25
	maxRateFactor = 1.1
	// rateSlack is in started calls per second.
	rateSlack = 0.3
	// oldVersionCost breaks ties in favor of engines with the newest weights.
	oldVersionCost = 0.05
	// slowStartWindow is the time over which a new server ramps up to its full
	// limit, starting at slowStartMinShare of it.
	slowStartWindow   = 10 * time.Second
	slowStartMinShare = 0.2
	// The zone costs are fractions of the cost of a fully loaded engine. The one
	// between availability zones is low because a round trip of about a
	// millisecond is short compared with a generation.
	otherRegionCost = 0.5
	otherZoneCost   = 0.03
	// popularPrefixServers is the number of servers that cache a popular prefix.
	popularPrefixServers = 3
	// missingServerGrace is how long a server that is no longer listed keeps its
	// place among the preferred servers.
	missingServerGrace = 500 * time.Millisecond
	// minSpeedFactor and maxSpeedFactor bound the factor by which the token rate
	// of a server, relative to the mean, changes its cost.
	minSpeedFactor = 0.5
	maxSpeedFactor = 4.0
)

// query holds the properties of a call that determine its server.
type query struct {
	// isolated marks content that must be the only one running on its server.
	isolated    bool
	blocks      []uint64
	call        dispatch.Call
	fingerprint uint64
	// permitted reports whether the gate has granted the call permission to run
	// its content.
	permitted bool
	// affinityKey is shared by prompts with a common prefix.
	affinityKey uint64
	self        member.Node
	// tried lists the servers that refused or failed earlier attempts.
	tried []string
}

// candidate is a server that may run the call. Its startRate is the rate of
// started calls per second.
type candidate struct {
	cost        float64
	outstanding float64
	startRate   float64
	server      server.Server
	summary     owner.Summary
}

// choose returns the server for the call's next attempt. If there is none, the
// error carries the time after which to retry.
func (st *serviceState) choose(now time.Time, servers []server.Server, q query) (server.Server, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastUsed = now
	candidates, live, err := st.candidates(now, servers, q)
	if err != nil {
		return server.Server{}, err
	}
	preferred := preferredServers(live, q)
	if !st.maySpill(now, q) {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return !slices.Contains(preferred[:min(len(preferred), 2)], c.server.ID) })
		if len(candidates) == 0 {
			return server.Server{}, kind.New(kind.Overloaded, "the preferred servers of service %q can't take the request, and duplicates of content that no server has answered are not sent to others", st.service).WithRan(kind.RanNo)
		}
	}
	st.computeCosts(now, candidates, q)
	return candidates[st.pick(now, candidates, preferred, q)].server, nil
}

// maySpill reports whether a call may spill over to servers other than the first
// two preferred ones. It may if an engine has answered its content, if this node
// has seen no duplicates of the content within duplicateWindow, or if the gate
// has granted permission. Otherwise duplicates of a new poison request could
// crash many servers. The caller holds st.mu.
func (st *serviceState) maySpill(now time.Time, q query) bool {
	return q.permitted || st.isSafeLocked(now, q.fingerprint) || now.Sub(st.duplicatedAt[q.fingerprint]) > duplicateWindow
}

// isSafeLocked is isSafe for callers that hold st.mu.
func (st *serviceState) isSafeLocked(now time.Time, fingerprint uint64) bool {
	at, ok := st.safe[fingerprint]
	return ok && now.Sub(at) <= safeTTL
}

// candidates returns the servers that may run the call now and the IDs of all
// live servers. Ejected servers are returned only if there are no others. The
// caller holds st.mu.
func (st *serviceState) candidates(now time.Time, servers []server.Server, q query) (candidates []candidate, live []string, err error) {
	candidates = make([]candidate, 0, len(servers))
	var ejected []candidate
	var longestRetryAfter time.Duration
	for _, s := range servers {
		if _, ok := st.firstSeen[s.ID]; !ok {
			st.firstSeen[s.ID] = now
		}
		summary := st.summaries[s.ID]
		if !q.allows(now, s, summary) {
			continue
		}
		st.lastLive[s.ID] = now
		switch {
		case slices.Contains(q.tried, s.ID):
		case now.Before(st.fullQueues[s.ID].until):
			longestRetryAfter = max(longestRetryAfter, st.fullQueues[s.ID].retryAfter)
		case st.outliers.Ejected(now, s.ID):
			ejected = append(ejected, candidate{server: s, summary: summary})
		default:
			candidates = append(candidates, candidate{server: s, summary: summary})
		}
	}
	live = st.live(now)
	switch {
	case len(candidates) > 0:
		return candidates, live, nil
	case len(ejected) > 0:
		return ejected, live, nil
	case longestRetryAfter > 0:
		return nil, nil, kind.New(kind.Overloaded, "the request queues of service %q are full, retry after %s", st.service, longestRetryAfter).WithRan(kind.RanNo).WithRetryAfter(longestRetryAfter)
	default:
		return nil, nil, kind.New(kind.Unavailable, "service %q has no backend server for the request: %d listed, %d tried, %d excluded, minimum version %d",
			st.service, len(servers), len(q.tried), len(q.call.Exclude), q.call.MinVersion).WithRan(kind.RanNo)
	}
}

// live returns the IDs of the servers that could take calls within the last
// missingServerGrace and have not reported since that they are down. A server that
// is no longer listed may have crashed. While it keeps its place,
// duplicates of the content that crashed it don't move on to other preferred
// servers before the crash is reported. The caller holds st.mu.
func (st *serviceState) live(now time.Time) []string {
	live := make([]string, 0, len(st.lastLive))
	for id, at := range st.lastLive {
		if now.Sub(at) < missingServerGrace && (now.Sub(st.summaries[id].At) >= summaryMaxAge || !st.summaries[id].Down) {
			live = append(live, id)
		}
	}
	return live
}

// allows reports whether a server may run the call, regardless of its load.
func (q query) allows(now time.Time, s server.Server, summary owner.Summary) bool {
	if s.Leaving || slices.Contains(q.call.Exclude, s.ID) {
		return false
	}
	if now.Sub(summary.At) >= summaryMaxAge {
		return true
	}
	return !summary.Down && (q.call.MinVersion == 0 || summary.Version >= q.call.MinVersion)
}

// computeCosts sets the load, start rate and cost of each candidate. The caller
// holds st.mu.
func (st *serviceState) computeCosts(now time.Time, candidates []candidate, q query) {
	mean, speed, newest := st.means(now, candidates)
	for i := range candidates {
		c := &candidates[i]
		freshness := 1 - min(1, now.Sub(c.summary.At).Seconds()/summaryMaxAge.Seconds())
		reported := float64(c.summary.InFlight + c.summary.Queued)
		c.outstanding = freshness*reported + (1-freshness)*mean + float64(st.pending[c.server.ID])
		c.startRate = c.summary.StartRate
		limit := float64(defaultLimit)
		if c.summary.Limit > 0 {
			limit = float64(c.summary.Limit)
		}
		c.cost = (c.outstanding + 1) / (limit * st.slowStartShare(now, c.server.ID))
		if speed > 0 && c.summary.TokensPerSecond > 0 {
			c.cost *= min(max(speed/c.summary.TokensPerSecond, minSpeedFactor), maxSpeedFactor)
		}
		c.cost += failureCost*st.outliers.FailureRate(now, c.server.ID) + zoneCost(q.self, c.server)
		if c.summary.Version < newest {
			c.cost += oldVersionCost
		}
	}
}

// means returns the mean load of the candidates with a current summary, the mean
// token rate of those that report one, and the newest weight version.
func (st *serviceState) means(now time.Time, candidates []candidate) (load, speed float64, newest int64) {
	var loadCount, speedCount float64
	for _, c := range candidates {
		newest = max(newest, c.summary.Version)
		if now.Sub(c.summary.At) < summaryMaxAge {
			load += float64(c.summary.InFlight + c.summary.Queued)
			loadCount++
		}
		if c.summary.TokensPerSecond > 0 {
			speed += c.summary.TokensPerSecond
			speedCount++
		}
	}
	return load / max(loadCount, 1), speed / max(speedCount, 1), newest
}

// slowStartShare returns the fraction of its limit that a server may use while it
// ramps up.
func (st *serviceState) slowStartShare(now time.Time, id string) float64 {
	seen := st.firstSeen[id]
	if seen.Sub(st.createdAt) < slowStartWindow { // The node itself had just started, so the server may be old.
		return 1
	}
	return min(1, max(slowStartMinShare, now.Sub(seen).Seconds()/slowStartWindow.Seconds()))
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

// pick returns the index of the candidate for the call. The caller holds st.mu.
func (st *serviceState) pick(now time.Time, candidates []candidate, preferred []string, q query) int {
	if q.isolated {
		return isolationServer(st.service, candidates)
	}
	preferredIndexes := make([]int, 0, len(preferred))
	for _, id := range preferred {
		if i := slices.IndexFunc(candidates, func(c candidate) bool { return c.server.ID == id }); i >= 0 {
			preferredIndexes = append(preferredIndexes, i)
		}
	}
	if len(preferredIndexes) > 0 && !st.isSafeLocked(now, q.fingerprint) {
		return pickForNewContent(candidates, preferredIndexes)
	}
	cacheCandidates := preferredIndexes[:min(len(preferredIndexes), 1)]
	if best, ok := st.bestPrefixMatch(now, candidates, q.blocks); ok {
		cacheCandidates = append([]int{best}, cacheCandidates...)
	}
	if len(q.blocks) > 0 {
		for _, i := range cacheCandidates {
			if withinLoadBound(candidates, i) {
				return i
			}
		}
	}
	policy := balance.TwoChoices[candidate]{Cost: func(c candidate) float64 { return c.cost }}
	index, _ := policy.Pick(candidates) // candidates is not empty.
	return index
}

// isolationServer returns the index of the candidate that runs all isolated
// content of the service, one request at a time, so that the other servers are
// not held up.
func isolationServer(service string, candidates []candidate) int {
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.server.ID
	}
	return slices.Index(ids, rendezvous.Owner("alone\x00"+service, ids))
}

// preferredServers returns up to three servers for the call, in the order in
// which they are tried. All nodes compute the same ones. The first is ranked
// first for the prefix that the call shares with others. The second is one of the
// next two, selected by the call's fingerprint, so that a popular prefix is cached
// by three servers. The third is one of the rest, also selected by fingerprint.
func preferredServers(live []string, q query) []string {
	ranked := affinity.Rank(q.affinityKey, live)
	list := ranked[:min(len(ranked), 1)]
	for _, group := range [][]string{ranked[min(len(ranked), 1):min(len(ranked), popularPrefixServers)], ranked[min(len(ranked), popularPrefixServers):]} {
		if len(group) > 0 {
			list = append(list[:len(list):len(list)], group[q.fingerprint%uint64(len(group))])
		}
	}
	return list
}

// pickForNewContent returns the candidate for content that no engine has answered
// yet. It considers the first two preferred servers that are candidates, and
// returns the first that is within its load bound, or else the cheaper one. The
// order makes use of the cache: the first server is the most likely to hold the
// prefix. The third is considered only if one of the others is not a candidate, for
// example after it has refused the call.
func pickForNewContent(candidates []candidate, preferred []int) int {
	best := preferred[0]
	for _, i := range preferred[:min(len(preferred), 2)] {
		if withinLoadBound(candidates, i) {
			return i
		}
		if candidates[i].cost < candidates[best].cost {
			best = i
		}
	}
	return best
}

// withinLoadBound reports whether a candidate may be chosen for its cache: neither
// its load nor its rate of started calls is far above the mean.
func withinLoadBound(candidates []candidate, i int) bool {
	var load, startRate float64
	for _, c := range candidates {
		load += c.outstanding
		startRate += c.startRate
	}
	n := float64(len(candidates))
	c := candidates[i]
	return c.outstanding+1 <= max(2, maxLoadFactor*(load/n+1)) && c.startRate <= maxRateFactor*startRate/n+rateSlack
}

// bestPrefixMatch returns the candidate predicted to cache the longest prefix of
// the prompt, if that is at least half of the blocks. The caller holds st.mu.
func (st *serviceState) bestPrefixMatch(now time.Time, candidates []candidate, blocks []uint64) (int, bool) {
	best, most := 0, 0
	for i, c := range candidates {
		index, ok := st.prefixIndexes[c.server.ID]
		if !ok {
			continue
		}
		if match := index.Match(now, blocks); match > most {
			best, most = i, match
		}
	}
	return best, most*2 >= len(blocks) && most > 0
}
