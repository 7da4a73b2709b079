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
	// failurePenalty is how many times as costly a server is that fails each
	// request, so that fast failures do not look like idleness.
	failurePenalty = 20
	// slowStart is the time over which a new server comes to its full share.
	slowStart   = 10 * time.Second
	slowestPart = 0.1
	// zoneCost is the cost of another availability zone, in requests.
	zoneCost = 0.5
)

// Candidate is a server that may get the next request.
type Candidate struct {
	// FailureRate is the recent share of failures, from 0 to 1.
	FailureRate float64
	// Outstanding is the number of requests of this node on the server.
	Outstanding int
	// Remote is true in another availability zone.
	Remote bool
	Server server.Server
	// Warmth grows from 0.1 for a new server to 1.
	Warmth float64
}

// Cost rates a candidate for balance.TwoChoices; the lower is taken.
func Cost(c Candidate) float64 {
	cost := float64(c.Outstanding + 1)
	if c.Remote {
		cost += zoneCost
	}
	return cost * (1 + failurePenalty*c.FailureRate) / c.Warmth
}

// Outstanding is the load of a candidate for balance.LeastOutstanding.
func Outstanding(c Candidate) int { return c.Outstanding }

// fleet is what this node knows of the servers of one service.
type fleet struct {
	mu          sync.Mutex
	outliers    outlier.Detector
	outstanding map[string]int
	// seen is when each server was first listed; zero for those of the first
	// listing, which need no slow start.
	seen map[string]time.Time
}

// choice narrows down the servers of a pick.
type choice struct {
	exclude map[string]struct{}
	limit   int
	zone    string
}

// pick chooses a server and counts a request on it. busy is true when every
// server was at the limit of requests in flight.
func (f *fleet) pick(now time.Time, servers []server.Server, c choice, policy balance.Policy[Candidate]) (chosen server.Server, busy, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note(now, servers)
	candidates, full := f.candidates(now, servers, c, false)
	if len(candidates) == 0 && !full {
		// An ejected server is better than none.
		candidates, full = f.candidates(now, servers, c, true)
	}
	i, ok := policy.Pick(candidates)
	if !ok {
		return server.Server{}, full, false
	}
	chosen = candidates[i].Server
	f.outstanding[chosen.ID]++
	return chosen, false, true
}

func (f *fleet) note(now time.Time, servers []server.Server) {
	first := f.seen == nil
	if first {
		f.seen = make(map[string]time.Time)
		f.outstanding = make(map[string]int)
	}
	for _, s := range servers {
		if _, ok := f.seen[s.ID]; !ok && first {
			f.seen[s.ID] = time.Time{}
		} else if !ok {
			f.seen[s.ID] = now
		}
	}
	if len(f.seen) > 2*len(servers) {
		f.forget(servers)
	}
}

// forget drops what is known of servers that are no longer listed.
func (f *fleet) forget(servers []server.Server) {
	listed := make(map[string]struct{}, len(servers))
	for _, s := range servers {
		listed[s.ID] = struct{}{}
	}
	keep := func(id string) bool {
		_, ok := listed[id]
		return ok || f.outstanding[id] > 0
	}
	f.outliers.Retain(keep)
	for id := range f.seen {
		if !keep(id) {
			delete(f.seen, id)
			delete(f.outstanding, id)
		}
	}
}

func (f *fleet) candidates(now time.Time, servers []server.Server, c choice, ejected bool) (candidates []Candidate, full bool) {
	for _, s := range servers {
		_, excluded := c.exclude[s.ID]
		if s.Leaving || excluded || (!ejected && f.outliers.Ejected(now, s.ID)) {
			continue
		}
		if c.limit > 0 && f.outstanding[s.ID] >= c.limit {
			full = true
			continue
		}
		candidates = append(candidates, Candidate{
			FailureRate: f.outliers.FailureRate(now, s.ID),
			Outstanding: f.outstanding[s.ID],
			Remote:      s.AvailabilityZone != c.zone,
			Server:      s,
			Warmth:      warmth(now, f.seen[s.ID]),
		})
	}
	return candidates, full
}

func warmth(now, seen time.Time) float64 {
	if seen.IsZero() {
		return 1
	}
	return math.Min(1, math.Max(slowestPart, now.Sub(seen).Seconds()/slowStart.Seconds()))
}

// release counts the end of a request. observed is false when its end says
// nothing about the server.
func (f *fleet) release(now time.Time, id string, observed, failed bool, known int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outstanding[id]--
	if observed {
		f.outliers.Observe(now, id, failed, known)
	}
}
