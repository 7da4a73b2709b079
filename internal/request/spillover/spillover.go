// Package spillover decides how many of the requests that arrive in an availability zone
// leave it for backend servers in other zones. It does no I/O.
//
// It is designed for this load: each zone has a few servers of a service, and its requests
// arrive at tens of hosts that don't know each other's. A request runs for some ten
// milliseconds. Traffic between zones takes a millisecond more and costs money. Now and then
// the demand of one zone triples, its servers are gone, or all zones are full.
package spillover

const (
	// crossingCost is what it costs to leave the zone, as a multiple of the time for which a
	// request runs. It stands for the price and the delay of the crossing: leaving pays once
	// it saves more than that.
	crossingCost = 0.5
	// fullGain is the gain beyond crossingCost at which all requests leave. Below it, only
	// that share of them does. The hosts of a zone see the same reports, so if each sent
	// all its requests away, the other zones would be flooded and home be empty.
	fullGain = 1.0
)

// Zone is what a host knows of the servers of one service in one availability zone that take
// new work.
type Zone struct {
	Name string
	// Requests is the number of requests at the servers: those of this host, or those that
	// the servers have reported if these are more.
	Requests int
	Slots    int
}

// cost is the expected time of one more request in the zone, as a multiple of the time for
// which it runs: it waits once all slots are in use.
func (z Zone) cost() float64 {
	slots := float64(max(z.Slots, 1))
	return 1 + max((float64(z.Requests)+1-slots)/slots, 0)
}

// Reason says why requests stay or leave.
type Reason string

// The reasons.
const (
	// ReasonRoom is that home has a free slot.
	ReasonRoom Reason = "home-has-room"
	// ReasonNoGain is that the wait at home costs less than the crossing, or that the other
	// zones are full too.
	ReasonNoGain Reason = "no-gain"
	// ReasonFull is that home is so full that leaving pays.
	ReasonFull Reason = "home-full"
	// ReasonGone is that home has no server.
	ReasonGone Reason = "home-gone"
)

// Decision says which share of the requests leaves home, and for which zones.
type Decision struct {
	Home   Zone
	Reason Reason
	// Share is the share of the requests that leaves.
	Share float64

	zones []Zone
	// gains holds what a request gains by going to each of zones; the sum is total.
	gains []float64
	total float64
}

// Decide decides for the requests that arrive in the zone home.
func Decide(home string, zones []Zone) Decision {
	d := Decision{Home: Zone{Name: home}, Reason: ReasonGone, zones: zones, gains: make([]float64, len(zones))}
	atHome := -1
	for i, zone := range zones {
		if zone.Name == home {
			atHome, d.Home = i, zone
		}
	}
	if atHome >= 0 && d.Home.Requests < d.Home.Slots {
		d.Reason = ReasonRoom
		return d
	}
	highest := 0.0
	for i, zone := range zones {
		switch {
		case i == atHome:
			continue
		case atHome < 0:
			d.gains[i] = float64(zone.Slots) / zone.cost()
		default:
			d.gains[i] = max(d.Home.cost()-zone.cost()-crossingCost, 0)
		}
		d.total += d.gains[i]
		highest = max(highest, d.gains[i])
	}
	switch {
	case atHome < 0 && d.total > 0:
		d.Share = 1
	case atHome >= 0 && highest > 0:
		d.Reason, d.Share = ReasonFull, min(highest/fullGain, 1)
	case atHome >= 0:
		d.Reason = ReasonNoGain
	}
	return d
}

// Choose returns the zone for one request. sample is a random number in [0, 1). The requests
// that leave are divided among the zones by what they gain there.
func (d Decision) Choose(sample float64) string {
	if sample >= d.Share {
		return d.Home.Name
	}
	rest := sample / d.Share * d.total
	last := d.Home.Name
	for i, gain := range d.gains {
		if gain == 0 {
			continue
		}
		last = d.zones[i].Name
		if rest -= gain; rest < 0 {
			break
		}
	}
	return last
}
