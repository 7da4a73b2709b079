// Package placing decides which model engine runs an item of a batch, and in
// which order items start. It does no I/O.
//
// The load that it answers: a few hundred generations of very different length
// come at once every few seconds, each of them is useful only together with
// the rest of its group, and engines batch many of them at nearly the same
// pace until their slots are full.
package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
)

const (
	// fillCost is how much slower an engine with all slots in use counts than
	// an empty one of the same pace. Engines slow down by about a tenth; the
	// rest spreads the items over the zones and leaves slots for other hosts.
	fillCost = 0.4
	// fullShare is the share of an engine's slots up to which it is filled. What
	// comes beyond waits in the engine and can't be placed better any more.
	fullShare = 1.0
	// slowRatio is how much slower than the median an engine's events must come
	// for a run to move to another one. A resumed run loses only the time to
	// read its text again, some ten milliseconds.
	slowRatio = 2.0
	// slowEvents is how many intervals such a run waits, so that one pause moves
	// nothing.
	slowEvents = 3
	// LongEvents is from how many events on a run is likely to be one of the few
	// that last many times as long as most. It moves for a smaller gain.
	LongEvents = 40
	longRatio  = 1.12
	// avoidCost is the factor by which the engine on which an item failed last
	// counts as slower.
	avoidCost = 4
)

// Demand is what an item needs of an engine.
type Demand struct {
	// Avoid is the engine on which the item failed last.
	Avoid      string
	MinVersion int64
	Model      string
	// OnlyVersion requires this very version; zero allows all from MinVersion on.
	OnlyVersion int64
}

// Choose returns the engine on which the item is likely to end first.
func Choose(candidates []inventory.Candidate, demand Demand) (inventory.Candidate, bool) {
	typical := Typical(candidates)
	best, lowest := -1, 0.0
	for i, c := range candidates {
		if !Allows(c, demand) || c.Suspect || Used(c) >= fullShare*float64(c.Slots) {
			continue
		}
		cost := cost(c, typical)
		if c.ID == demand.Avoid {
			cost *= avoidCost
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return inventory.Candidate{}, false
	}
	return candidates[best], true
}

// Allows reports whether the engine's weights may run the item.
func Allows(c inventory.Candidate, demand Demand) bool {
	version := c.Versions[demand.Model]
	if demand.OnlyVersion > 0 {
		return version == demand.OnlyVersion
	}
	return version >= demand.MinVersion
}

// Used returns the number of requests that are likely to be at the engine. The
// count that it told is some hundred milliseconds old.
func Used(c inventory.Candidate) float64 { return float64(max(c.InFlight, c.Reported)) }

func cost(c inventory.Candidate, typical time.Duration) float64 {
	pace := c.Pace
	if pace == 0 {
		pace = typical
	}
	return max(float64(pace), 1) * (1 + fillCost*Used(c)/float64(max(c.Slots, 1)))
}

// Typical returns the median pace of the engines whose pace is known; zero if
// none is.
func Typical(candidates []inventory.Candidate) time.Duration {
	var paces []time.Duration
	for _, c := range candidates {
		if c.Pace > 0 {
			paces = append(paces, c.Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// Run is what is known of a run at an engine.
type Run struct {
	// Events is the number of events of the item so far, at all engines.
	Events int
	// Intervals is the number of intervals that Pace was taken from.
	Intervals int
	// Pace is the mean time between the run's events.
	Pace time.Duration
}

// MayMove reports whether a run's events come so slowly that another engine is
// worth looking for, given the typical pace of the engines.
func MayMove(run Run, typical time.Duration) bool {
	if typical <= 0 || run.Intervals < slowEvents {
		return false
	}
	return exceeds(run.Pace, slowRatio, typical) || run.Events >= LongEvents && exceeds(run.Pace, longRatio, typical)
}

// HasFaster reports whether an engine with a free slot is known to be faster
// than the run by enough to move it there.
func HasFaster(candidates []inventory.Candidate, demand Demand, run Run) bool {
	for _, c := range candidates {
		free := !c.Suspect && Used(c) < fullShare*float64(c.Slots)
		if free && c.ID != demand.Avoid && Allows(c, demand) && c.Pace > 0 && exceeds(run.Pace, longRatio, c.Pace) {
			return true
		}
	}
	return false
}

func exceeds(pace time.Duration, ratio float64, other time.Duration) bool {
	return float64(pace) > ratio*float64(other)
}

// Order returns the indexes of the items in the order in which they start: the
// longest expected first, since a long one that starts late makes its whole
// group late.
func Order(items []batch.Item) []int {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(expectedTokens(items[b]), expectedTokens(items[a]))
	})
	return order
}

func expectedTokens(item batch.Item) int {
	if item.LengthHint > 0 {
		return item.LengthHint
	}
	return item.Tokens
}
