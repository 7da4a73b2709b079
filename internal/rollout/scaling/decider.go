package scaling

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

const (
	// spareShare is the share of servers beyond the need that is ordered when there are too few,
	// for those that are slow, load weights or have failed.
	spareShare = 0.1
	// surplusShare is the share of the kept servers by which there have to be more before
	// fewer are ordered.
	surplusShare = 0.15
	// maxLoweredShare is the largest share of the servers that is ordered away at once.
	maxLoweredShare = 0.25
	// settleTime is the time after an order until the entries of the servers show it, beside
	// the time that new servers take.
	settleTime = 3 * time.Second
	// unknownTime is the time for which an order with an unknown outcome counts as accepted.
	unknownTime = time.Second
	// notSentTime is the time to the next try of an order that was not sent or was refused
	// for another reason than a lack of servers.
	notSentTime = time.Second
	// minRefusedTime is the time for which a pool isn't tried after a refusal. It doubles with
	// each refusal in a row, up to maxRefusedTime.
	minRefusedTime = 2 * time.Second
	maxRefusedTime = 16 * time.Second
)

// Server is a server of the service as its entry shows it.
type Server struct {
	Pool
	// Leaving is set once the server takes no new work.
	Leaving bool
}

// Decision is what the servers of a service should be, and why.
type Decision struct {
	Counts []Count
	// Least is the number of servers below which more are ordered, Want the number up to which
	// they are, and Keep the number down to which servers are ordered away.
	Keep, Least, Want int
	Need              Need
	Orders            []Order
	Reason            string
}

// poolState is what is known of the orders for a pool.
type poolState struct {
	// refusals counts the refusals in a row.
	refusals     int
	refusedUntil time.Time
	// sent is the last order that was accepted or whose outcome is unknown, validUntil the
	// time until which it counts although the entries of the servers don't show it yet.
	sent       int
	confirmed  bool
	sentAt     time.Time
	validUntil time.Time
	// most is the highest number of servers that were ordered or seen since servers were last
	// ordered away or reclaimed. The platform may still count servers whose entries are gone, so
	// more servers are never ordered by a lower number.
	most int
	// quietUntil is the time before which no order is sent.
	quietUntil time.Time
}

// Decider decides the number of servers of one service during one term. It isn't safe for
// concurrent use. The fields are set before the first call.
type Decider struct {
	Service string

	forecast Forecast
	// loweredAt is when servers were last ordered away, and raisedAt when servers were last added.
	loweredAt, raisedAt time.Time
	pools               map[Pool]*poolState
}

// Decide returns the orders that are due. slotsPerServer is the number of requests that one
// server runs concurrently.
func (d *Decider) Decide(now time.Time, limits config.Scaling, slotsPerServer int, servers []Server, demand Demand) Decision {
	decision := Decision{
		Counts: d.count(now, limits, servers),
		Need:   d.forecast.Observe(now, d.Service, demand, limits.Boot),
	}
	if !decision.Need.Known || slotsPerServer <= 0 {
		decision.Reason = "need is unknown"
		return decision
	}
	least := decision.Need.Slots() / float64(slotsPerServer)
	wanted := least * (1 + spareShare)
	decision.Least, decision.Want = int(math.Ceil(least)), int(math.Ceil(wanted))
	decision.Keep = int(math.Ceil(wanted * (1 + surplusShare)))
	guaranteed := Guaranteed(decision.Counts)
	want := 0
	if guaranteed < decision.Least {
		want = decision.Want
	}
	targets := Raise(decision.Counts, limits, want)
	decision.Reason = "enough servers"
	switch {
	case !equalServers(targets, decision.Counts):
		decision.Reason = fmt.Sprintf("%d servers guaranteed, %d needed", guaranteed, decision.Least)
	case want > 0:
		decision.Reason = fmt.Sprintf("%d servers guaranteed, %d needed, and no more are to be had", guaranteed, decision.Least)
	case d.mayLower(now, decision.Need):
		most := int(maxLoweredShare * float64(guaranteed))
		if lowered := Lower(decision.Counts, limits, decision.Keep, most); !equalServers(lowered, decision.Counts) {
			targets = lowered
			decision.Reason = fmt.Sprintf("%d servers guaranteed, %d kept", guaranteed, decision.Keep)
		}
	}
	for i, target := range targets {
		if before := decision.Counts[i].servers(); target.servers() != before && !now.Before(d.pool(target.Pool).quietUntil) {
			number := target.servers()
			if number > before {
				number = max(number, d.pool(target.Pool).most)
			}
			decision.Orders = append(decision.Orders, Order{Pool: target.Pool, Service: d.Service, Servers: number})
		}
	}
	return decision
}

// Record records the outcome of an order. before is the number of servers that the pool had.
func (d *Decider) Record(now time.Time, order Order, before int, outcome Outcome, limits config.Scaling) {
	state := d.pool(order.Pool)
	switch outcome {
	case OutcomeAccepted, OutcomeUnknown:
		state.refusals, state.refusedUntil = 0, time.Time{}
		state.sent, state.sentAt, state.validUntil, state.most = order.Servers, now, now.Add(unknownTime), order.Servers
		state.confirmed = outcome == OutcomeAccepted
		if outcome == OutcomeAccepted {
			state.validUntil = now.Add(limits.Boot + settleTime)
		}
		if order.Servers < before {
			d.loweredAt = now
		} else {
			d.raisedAt = now
		}
	case OutcomeRefused:
		state.refuse(now)
	case OutcomeNotSent:
		state.quietUntil = now.Add(notSentTime)
	}
}

func (s *poolState) refuse(now time.Time) {
	s.refusedUntil = now.Add(min(minRefusedTime<<min(s.refusals, 8), maxRefusedTime))
	s.refusals++
}

// mayLower reports whether the demand has been known for so long, and servers were added or
// ordered away so long ago, that there is a lasting surplus.
func (d *Decider) mayLower(now time.Time, need Need) bool {
	age := d.forecast.peakAge()
	return need.Settled && now.Sub(d.loweredAt) >= age && now.Sub(d.raisedAt) >= age
}

// count counts the servers by pool, with those that are still to come or to leave after the
// last orders. A zone whose spot servers are being reclaimed is refused for a while.
func (d *Decider) count(now time.Time, limits config.Scaling, servers []Server) []Count {
	var counts []Count
	for _, zone := range zonesOf(limits, servers) {
		counts = append(counts, Count{Pool: Pool{Zone: zone}})
		if limits.SpotPrice > 0 {
			counts = append(counts, Count{Pool: Pool{Zone: zone, Spot: true}})
		}
	}
	reclaimed := make(map[Pool]bool)
	for _, s := range servers {
		if s.Leaving {
			reclaimed[s.Pool] = s.Spot
			continue
		}
		if i := slices.IndexFunc(counts, func(c Count) bool { return c.Pool == s.Pool }); i >= 0 {
			counts[i].Serving++
		}
	}
	for i, c := range counts {
		counts[i] = d.pool(c.Pool).apply(now, c, reclaimed[c.Pool])
	}
	return counts
}

// apply returns the count with the servers that are still to come or to leave after the last
// order. reclaimed is set if spot servers of the pool are leaving. If none of them stays, the
// pool is refused for a while.
func (s *poolState) apply(now time.Time, c Count, reclaimed bool) Count {
	if !s.validUntil.IsZero() && !now.Before(s.validUntil) {
		if s.confirmed && s.sent > c.Serving {
			s.refuse(now) // The servers did not come or are gone again, so others are tried first.
		}
		s.sent, s.validUntil = 0, time.Time{}
	}
	if !s.validUntil.IsZero() {
		// If more servers serve than were ordered, the others are about to leave.
		c.Serving, c.Coming = min(c.Serving, s.sent), max(0, s.sent-c.Serving)
	}
	if reclaimed && c.Serving == 0 && !now.Before(s.refusedUntil) && now.Sub(s.sentAt) > settleTime {
		s.refusedUntil = now.Add(minRefusedTime)
		s.sent, s.validUntil, c.Coming = 0, time.Time{}, 0
	}
	c.Refused = now.Before(s.refusedUntil)
	s.most = max(s.most, c.Serving)
	if reclaimed {
		s.most = c.Serving
	}
	return c
}

func (d *Decider) pool(p Pool) *poolState {
	if d.pools == nil {
		d.pools = make(map[Pool]*poolState)
	}
	state, ok := d.pools[p]
	if !ok {
		state = &poolState{}
		d.pools[p] = state
	}
	return state
}

// zonesOf returns the sorted zones that have a price or a server.
func zonesOf(limits config.Scaling, servers []Server) []string {
	var zones []string
	for zone := range limits.ZonePrices {
		zones = append(zones, zone)
	}
	for _, s := range servers {
		zones = append(zones, s.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func equalServers(a, b []Count) bool {
	return slices.EqualFunc(a, b, func(x, y Count) bool { return x.Pool == y.Pool && x.servers() == y.servers() })
}
