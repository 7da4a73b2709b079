// Package placing decides which model engine runs an item of a batch and in
// which order items start. It does no I/O.
//
// It is designed for this load: every few seconds, a few hundred generations
// of very different length arrive at once. Each is useful only once its whole
// group is complete. An engine runs many of them concurrently at nearly the
// same event interval until all its slots are in use.
package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
)

const (
	// occupancyPenalty is the fraction by which an engine with all slots in use
	// counts as slower than an idle one with the same event interval. Engines
	// slow down by about a tenth; the rest distributes the items over the
	// availability zones and leaves slots for other hosts.
	occupancyPenalty = 0.4
	// maxOccupancy is the share of an engine's slots that items may use.
	// Further items would queue in the engine and could no longer be placed on
	// another engine that becomes free earlier.
	maxOccupancy = 1.0
	// slowRatio bounds the ratio of a run's event interval to the median of the
	// engines. Above it, the run may move to another engine. Moving costs only
	// the prefill of the text so far, some ten milliseconds.
	slowRatio = 2.0
	// minIntervals is the number of measured intervals below which a run doesn't
	// move, so that a single pause doesn't move it.
	minIntervals = 3
	// LongRunEvents is the number of events that marks a long run. Few runs
	// reach it, and those are likely to take many times as long as most. Such a
	// run moves for a smaller gain.
	LongRunEvents = 40
	// longRunRatio is slowRatio for long runs. It is also the ratio by which an
	// engine must be faster for a run to move there.
	longRunRatio = 1.12
	// avoidPenalty is the factor by which the engine on which an item failed last
	// counts as slower.
	avoidPenalty = 4
)

// Demand is what an item requires of an engine.
type Demand struct {
	// Avoid is an engine to avoid: the one on which the item failed last, or
	// the slow one that it is to leave.
	Avoid string
	// BackingOff holds the engines that get no items of this batch now, beside those that back
	// off for all.
	BackingOff map[string]bool
	MinVersion int64
	Model      string
	// OnlyVersion is the only weight version allowed; zero allows all from
	// MinVersion on.
	OnlyVersion int64
	// Continues is set if the engine is to continue a text. Only engines whose software
	// version is Software may do so.
	Continues bool
	Software  string
	// Tokens is the memory that the item needs; zero if it isn't known.
	Tokens int
}

// Choose returns the engine on which the item is expected to finish first. It
// considers the engines that meet the demand, have a free slot and are not
// backing off, and returns false if there is none.
func Choose(candidates []inventory.Candidate, demand Demand) (inventory.Candidate, bool) {
	medianInterval := MedianEventInterval(candidates)
	best, lowestCost := -1, 0.0
	for i, c := range candidates {
		if !allows(c, demand) || isBackingOff(c, demand) || SlotsInUse(c) >= maxOccupancy*float64(c.Slots) {
			continue
		}
		cost := cost(c, medianInterval)
		if c.ID == demand.Avoid {
			cost *= avoidPenalty
		}
		if best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	if best < 0 {
		return inventory.Candidate{}, false
	}
	return candidates[best], true
}

// Obstacle is the reason why Choose finds no engine for an item.
type Obstacle string

// The obstacles, each named after what has to change first.
const (
	ObstacleNoEngine Obstacle = "no-engine"
	ObstacleMemory   Obstacle = "memory"
	ObstacleSoftware Obstacle = "software"
	ObstacleWeights  Obstacle = "weights"
	ObstacleBackoff  Obstacle = "back-off"
	ObstacleSlots    Obstacle = "slots"
)

// FindObstacle returns why no engine can take an item that meets the demand now.
func FindObstacle(candidates []inventory.Candidate, demand Demand) Obstacle {
	if len(candidates) == 0 {
		return ObstacleNoEngine
	}
	obstacle := ObstacleMemory
	for _, c := range candidates {
		switch {
		case !fits(c, demand):
		case !allowsSoftware(c, demand):
			if obstacle == ObstacleMemory {
				obstacle = ObstacleSoftware
			}
		case !AllowsVersion(c, demand):
			if obstacle == ObstacleMemory || obstacle == ObstacleSoftware {
				obstacle = ObstacleWeights
			}
		case !isBackingOff(c, demand):
			return ObstacleSlots
		default:
			obstacle = ObstacleBackoff
		}
	}
	return obstacle
}

// AllowsVersion reports whether the demand allows the engine's weight version.
func AllowsVersion(c inventory.Candidate, demand Demand) bool {
	version := c.Versions[demand.Model]
	if demand.OnlyVersion > 0 {
		return version == demand.OnlyVersion
	}
	return version >= demand.MinVersion
}

// isBackingOff reports whether the engine gets no items of the demand's batch now.
func isBackingOff(c inventory.Candidate, demand Demand) bool {
	return c.BackingOff || demand.BackingOff[c.ID]
}

// allowsSoftware reports whether the engine may continue the text of the demand, if it has one.
func allowsSoftware(c inventory.Candidate, demand Demand) bool {
	return !demand.Continues || c.Software == demand.Software
}

// fits reports whether the item fits into the engine's memory, as far as that is known.
func fits(c inventory.Candidate, demand Demand) bool {
	return c.KVTokens == 0 || demand.Tokens <= c.KVTokens
}

// allows reports whether the demand allows the engine's weight version, software and memory.
func allows(c inventory.Candidate, demand Demand) bool {
	return AllowsVersion(c, demand) && allowsSoftware(c, demand) && fits(c, demand)
}

// SlotsInUse estimates the number of requests at the engine: the larger of this
// host's own count and the count that the engine reported, which is some hundred
// milliseconds old.
func SlotsInUse(c inventory.Candidate) float64 { return float64(max(c.InFlight, c.ReportedRequests)) }

// cost returns the expected event interval of an item at the engine, with the penalty for
// the slots in use. An engine whose event interval is unknown counts as one of the median.
func cost(c inventory.Candidate, medianInterval time.Duration) float64 {
	interval := c.EventInterval
	if interval == 0 {
		interval = medianInterval
	}
	return max(float64(interval), 1) * (1 + occupancyPenalty*SlotsInUse(c)/float64(max(c.Slots, 1)))
}

// MedianEventInterval returns the median event interval of the engines for which it
// is known, or zero if there are none.
func MedianEventInterval(candidates []inventory.Candidate) time.Duration {
	var intervals []time.Duration
	for _, c := range candidates {
		if c.EventInterval > 0 {
			intervals = append(intervals, c.EventInterval)
		}
	}
	if len(intervals) == 0 {
		return 0
	}
	slices.Sort(intervals)
	return intervals[len(intervals)/2]
}

// LowestEventInterval returns the event interval of the fastest engine that meets the
// demand, or zero if none is known.
func LowestEventInterval(candidates []inventory.Candidate, demand Demand) time.Duration {
	var lowest time.Duration
	for _, c := range candidates {
		if c.EventInterval > 0 && allows(c, demand) && (lowest == 0 || c.EventInterval < lowest) {
			lowest = c.EventInterval
		}
	}
	return lowest
}

// Run is the progress of an item's current run at an engine.
type Run struct {
	// Events is the number of events of the item so far, at all engines.
	Events int
	// Intervals is the number of intervals that EventInterval is the mean of.
	Intervals int
	// EventInterval is the mean time between the run's events.
	EventInterval time.Duration
}

// MayMove reports whether a run is so much slower than the median event interval of the
// engines that a faster engine should be looked for.
func MayMove(run Run, medianInterval time.Duration) bool {
	if medianInterval <= 0 || run.Intervals < minIntervals {
		return false
	}
	return exceedsRatio(run.EventInterval, slowRatio, medianInterval) || run.Events >= LongRunEvents && exceedsRatio(run.EventInterval, longRunRatio, medianInterval)
}

// HasFaster reports whether an engine that meets the demand has a free slot and no request
// limit, and is known to be faster than the run by more than longRunRatio.
func HasFaster(candidates []inventory.Candidate, demand Demand, run Run) bool {
	for _, c := range candidates {
		free := !isBackingOff(c, demand) && !c.RequestLimit.Named && SlotsInUse(c) < maxOccupancy*float64(c.Slots)
		if free && c.ID != demand.Avoid && allows(c, demand) && c.EventInterval > 0 && exceedsRatio(run.EventInterval, longRunRatio, c.EventInterval) {
			return true
		}
	}
	return false
}

// exceedsRatio reports whether interval is more than ratio times other, that is, slower
// by that ratio.
func exceedsRatio(interval time.Duration, ratio float64, other time.Duration) bool {
	return float64(interval) > ratio*float64(other)
}

// StartOrder returns the indexes of the items in the order in which they start: those
// with the longest expected text first, since a long item that starts late
// delays its whole group.
func StartOrder(items []batch.Item) []int {
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
