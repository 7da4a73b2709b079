package scaling

import (
	"cmp"
	"math"
	"slices"

	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// Count is the number of servers of a pool.
type Count struct {
	Pool
	// Coming is the number of servers that were ordered and don't serve yet.
	Coming int
	// Refused is set while no such servers are available.
	Refused bool
	// Serving is the number of servers that take new work.
	Serving int
}

// servers returns the number of servers that the pool will have.
func (c Count) servers() int { return c.Serving + c.Coming }

// fleet is the number of servers of a service by pool, and what one of each costs.
type fleet struct {
	counts []Count
	limits config.Scaling
}

// Guaranteed returns the number of servers that remain once all spot servers of one zone have
// been reclaimed, whichever zone that is.
func Guaranteed(counts []Count) int {
	spotInZone := make(map[string]int)
	sum, largest := 0, 0
	for _, c := range counts {
		sum += c.servers()
		if c.Spot {
			spotInZone[c.Zone] += c.servers()
			largest = max(largest, spotInZone[c.Zone])
		}
	}
	return sum - largest
}

// Raise returns the counts after the cheapest orders with which want servers are guaranteed,
// or as many as the limits allow. Servers are added to pools that aren't refused only.
func Raise(counts []Count, limits config.Scaling, want int) []Count {
	start := fleet{counts: counts, limits: limits}
	start = start.raiseToMin()
	if Guaranteed(start.counts) >= want {
		return start.counts
	}
	best := start.addStandard(want)
	for level := 1; limits.SpotPrice > 0 && level <= limits.Max; level++ {
		option := start.addSpot(level).addStandard(want)
		if option.isBetter(best, want) {
			best = option
		}
	}
	return best.counts
}

// Lower returns the counts without the most expensive servers that keep guaranteed servers
// don't need, but without no more than most of them.
func Lower(counts []Count, limits config.Scaling, keep, most int) []Count {
	f := fleet{counts: slices.Clone(counts), limits: limits}
	for range most {
		i, ok := f.mostExpensive(keep)
		if !ok {
			break
		}
		f.counts[i].Serving--
	}
	return f.counts
}

// mostExpensive returns the index of the pool with the most expensive server that can be
// spared. Among equals, it is the larger pool.
func (f fleet) mostExpensive(keep int) (int, bool) {
	best := -1
	for i, c := range f.counts {
		if c.Serving == 0 || c.Coming > 0 || f.inZone(c.Zone) <= f.limits.Min {
			continue
		}
		without := slices.Clone(f.counts)
		without[i].Serving--
		if Guaranteed(without) < keep {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(f.price(c.Pool), f.price(f.counts[best].Pool)), cmp.Compare(c.Serving, f.counts[best].Serving)) > 0 {
			best = i
		}
	}
	return best, best >= 0
}

// raiseToMin adds the servers that a zone lacks to its minimum.
func (f fleet) raiseToMin() fleet {
	f.counts = slices.Clone(f.counts)
	for i, c := range f.counts {
		if missing := f.limits.Min - f.inZone(c.Zone); missing > 0 && !c.Spot && !c.Refused {
			f.counts[i].Coming += missing
		}
	}
	return f
}

// addSpot raises the spot servers of each zone to level, as far as they are available.
func (f fleet) addSpot(level int) fleet {
	f.counts = slices.Clone(f.counts)
	for i, c := range f.counts {
		if c.Spot && !c.Refused {
			f.counts[i].Coming += max(0, min(level-c.servers(), f.limits.Max-f.inZone(c.Zone)))
		}
	}
	return f
}

// addStandard adds servers that can't be reclaimed in the cheapest zones until want servers
// are guaranteed.
func (f fleet) addStandard(want int) fleet {
	f.counts = slices.Clone(f.counts)
	missing := want - Guaranteed(f.counts)
	for missing > 0 {
		best := -1
		for i, c := range f.counts {
			if c.Spot || c.Refused || f.inZone(c.Zone) >= f.limits.Max {
				continue
			}
			if best < 0 || cmp.Or(cmp.Compare(f.price(c.Pool), f.price(f.counts[best].Pool)), cmp.Compare(c.servers(), f.counts[best].servers())) < 0 {
				best = i
			}
		}
		if best < 0 {
			break
		}
		f.counts[best].Coming++
		missing--
	}
	return f
}

// isBetter reports whether f guarantees more of the wanted servers than other, or as many at
// a lower price.
func (f fleet) isBetter(other fleet, want int) bool {
	mine, theirs := min(Guaranteed(f.counts), want), min(Guaranteed(other.counts), want)
	return mine > theirs || mine == theirs && f.totalPrice() < other.totalPrice()-1e-9
}

func (f fleet) inZone(zone string) int {
	sum := 0
	for _, c := range f.counts {
		if c.Zone == zone {
			sum += c.servers()
		}
	}
	return sum
}

func (f fleet) totalPrice() float64 {
	var sum float64
	for _, c := range f.counts {
		sum += float64(c.servers()) * f.price(c.Pool)
	}
	return sum
}

// price returns the relative price of a server. Zones without a price count as those of
// price 1.
func (f fleet) price(p Pool) float64 {
	price, ok := f.limits.ZonePrices[p.Zone]
	if !ok || math.IsNaN(price) {
		price = 1
	}
	if p.Spot {
		price *= f.limits.SpotPrice
	}
	return price
}
