package plainproxy

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/outlier"
)

const (
	// failurePenalty raises the cost of a server in proportion to its failure rate. A
	// server that fails each request costs 1+failurePenalty times as much. Without it a
	// server that fails fast would have few outstanding requests and attract more.
	failurePenalty = 20
	// slowStartTime is the time in which a new server ramps up to its full share of
	// requests. Its share begins at minSlowStartShare.
	slowStartTime     = 10 * time.Second
	minSlowStartShare = 0.1
	// remoteZoneCost is the additional cost of a server in another availability zone,
	// in outstanding requests.
	remoteZoneCost = 0.5
)

// Candidate is a server that may get the next request.
type Candidate struct {
	// FailureRate is the share of recent requests that failed, from 0 to 1.
	FailureRate float64
	// Outstanding is the number of requests that this node has in flight to the server.
	Outstanding int
	// Remote is true if the server is in another availability zone than this node.
	Remote bool
	Server server.Server
	// SlowStartShare grows from 0.1 for a new server to 1 during its slow start.
	SlowStartShare float64
}

// Cost is the cost of a candidate for balance.TwoChoices, which takes the cheaper one.
func Cost(c Candidate) float64 {
	cost := float64(c.Outstanding + 1)
	if c.Remote {
		cost += remoteZoneCost
	}
	return cost * (1 + failurePenalty*c.FailureRate) / c.SlowStartShare
}

// Outstanding is the load of a candidate for balance.LeastOutstanding.
func Outstanding(c Candidate) int { return c.Outstanding }

// serverPool is the state that this node keeps about the servers of one service.
type serverPool struct {
	mu          sync.Mutex
	outliers    outlier.Detector
	outstanding map[string]int
	// firstSeen is when each server was first listed. It is zero for the servers of the
	// first listing, which need no slow start.
	firstSeen map[string]time.Time
}

// constraints restrict which servers may be picked.
type constraints struct {
	// exclude are the ids of servers that may not be picked.
	exclude map[string]struct{}
	// limit bounds the requests in flight to a server; zero means no limit.
	limit int
	// zone is the availability zone of this node.
	zone string
}

// pick chooses a server and counts a request to it. If none can be chosen, busy says
// whether that is because servers have reached the limit of requests in flight.
func (p *serverPool) pick(now time.Time, servers []server.Server, c constraints, policy balance.Policy[Candidate]) (chosen server.Server, busy, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.track(now, servers)
	candidates, full := p.candidates(now, servers, c, false)
	if len(candidates) == 0 && !full {
		// All servers are ejected as outliers. An ejected server is better than none.
		candidates, full = p.candidates(now, servers, c, true)
	}
	i, ok := policy.Pick(candidates)
	if !ok {
		return server.Server{}, full, false
	}
	chosen = candidates[i].Server
	p.outstanding[chosen.ID]++
	return chosen, false, true
}

// track notes when servers are first listed. It prunes the state of unlisted servers once
// there is state for more than twice as many servers as are listed.
func (p *serverPool) track(now time.Time, servers []server.Server) {
	first := p.firstSeen == nil
	if first {
		p.firstSeen = make(map[string]time.Time)
		p.outstanding = make(map[string]int)
	}
	for _, s := range servers {
		if _, ok := p.firstSeen[s.ID]; !ok && first {
			p.firstSeen[s.ID] = time.Time{}
		} else if !ok {
			p.firstSeen[s.ID] = now
		}
	}
	if len(p.firstSeen) > 2*len(servers) {
		p.prune(servers)
	}
}

// prune removes the state of servers that are no longer listed and have no requests in
// flight.
func (p *serverPool) prune(servers []server.Server) {
	listed := make(map[string]struct{}, len(servers))
	for _, s := range servers {
		listed[s.ID] = struct{}{}
	}
	keep := func(id string) bool {
		_, ok := listed[id]
		return ok || p.outstanding[id] > 0
	}
	p.outliers.Retain(keep)
	for id := range p.firstSeen {
		if !keep(id) {
			delete(p.firstSeen, id)
			delete(p.outstanding, id)
		}
	}
}

// candidates returns the servers that meet the constraints, including ejected ones if
// ejected is true. full is true if the limit of requests in flight excluded a server.
func (p *serverPool) candidates(now time.Time, servers []server.Server, c constraints, ejected bool) (candidates []Candidate, full bool) {
	for _, s := range servers {
		_, excluded := c.exclude[s.ID]
		if s.Leaving || excluded || (!ejected && p.outliers.Ejected(now, s.ID)) {
			continue
		}
		if c.limit > 0 && p.outstanding[s.ID] >= c.limit {
			full = true
			continue
		}
		candidates = append(candidates, Candidate{
			FailureRate:    p.outliers.FailureRate(now, s.ID),
			Outstanding:    p.outstanding[s.ID],
			Remote:         s.AvailabilityZone != c.zone,
			Server:         s,
			SlowStartShare: slowStartShare(now, p.firstSeen[s.ID]),
		})
	}
	return candidates, full
}

// slowStartShare returns the SlowStartShare of a server that was first listed at firstSeen.
func slowStartShare(now, firstSeen time.Time) float64 {
	if firstSeen.IsZero() {
		return 1
	}
	return math.Min(1, math.Max(minSlowStartShare, now.Sub(firstSeen).Seconds()/slowStartTime.Seconds()))
}

// release counts the end of a request. If observed is true, its result also counts in
// outlier detection; serverCount is the number of servers of the service.
func (p *serverPool) release(now time.Time, id string, observed, failed bool, serverCount int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding[id]--
	if observed {
		p.outliers.Observe(now, id, failed, serverCount)
	}
}
