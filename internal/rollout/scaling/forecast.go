package scaling

import (
	"time"
)

const (
	// workShare is the share of the time that a batch has left in which the slots could run its
	// items one after the other. The rest is for the longest items, which can't be divided.
	workShare = 0.5
	// peakIntervals is the number of submission intervals over which the highest demand is
	// remembered, and minPeakAge the shortest time.
	peakIntervals = 8
	minPeakAge    = 20 * time.Second
	// missedIntervals is the number of submission intervals after which a trainer that has
	// not submitted a batch is no longer expected to.
	missedIntervals = 2
	// intervalWeight is the weight of a new submission in the moving average of intervals.
	intervalWeight = 0.5
)

// Need is the number of slots that a service needs.
type Need struct {
	// Known is false as long as the time that an item takes isn't known.
	Known bool
	// Peak is the highest need of the recent past, including now.
	Peak float64
	// Promised is by how much the need grows through the batches that are expected before a
	// server that is ordered now serves. The next batch of a trainer replaces its open ones.
	Promised float64
	// Queued is the need of the open batches.
	Queued float64
	// RunTime is the time that an item takes.
	RunTime time.Duration
	// Settled is set once Peak covers the time over which the highest demand is remembered, and
	// no item has waited for a slot in that time.
	Settled bool
	// Waiting is the number of items that wait for a slot.
	Waiting int
}

// Slots returns the number of slots to provide.
func (n Need) Slots() float64 { return max(n.Peak, n.Queued+n.Promised) }

// Forecast derives the need of one service from what it has observed. The zero value is
// ready. It isn't safe for concurrent use.
type Forecast struct {
	models map[string]*cycle
	peaks  []peak
	// unbroken is since when the demand is known without a gap and no item waits for a slot.
	unbroken time.Time
}

// cycle is the rhythm of a trainer's submissions.
type cycle struct {
	interval  time.Duration
	items     int
	last      time.Time
	runTarget time.Duration
	// lastID is the id of the youngest batch.
	lastID string
}

// peak is the highest need of a period.
type peak struct {
	at    time.Time
	slots float64
}

// Observe adds an observation and returns the need. boot is the time from an order until
// the new servers serve.
func (f *Forecast) Observe(now time.Time, service string, demand Demand, boot time.Duration) Need {
	need := Need{RunTime: demand.RunTime(service)}
	need.Known = need.RunTime > 0
	if f.models == nil {
		f.models = make(map[string]*cycle)
	}
	queued := f.queued(now, service, demand, &need)
	for model, c := range f.models {
		if c.interval > 0 && now.Sub(c.last) > time.Duration(missedIntervals*float64(c.interval)) {
			delete(f.models, model)
			continue
		}
		if c.interval > 0 && !c.last.Add(c.interval).After(now.Add(boot)) {
			need.Promised += max(0, slots(c.items, need.RunTime, c.runTarget)-queued[model])
		}
	}
	for _, n := range queued {
		need.Queued += n
	}
	if need.Known {
		f.addPeak(peak{at: now, slots: need.Queued})
	}
	f.prune(now)
	for _, p := range f.peaks {
		need.Peak = max(need.Peak, p.slots)
	}
	switch {
	case !need.Known || !demand.Complete || need.Waiting > 0:
		f.unbroken = time.Time{}
	case f.unbroken.IsZero():
		f.unbroken = now
	}
	need.Settled = !f.unbroken.IsZero() && now.Sub(f.unbroken) >= f.peakAge()
	return need
}

// queued returns the need of the open batches of the service, by model, and counts the
// waiting items.
func (f *Forecast) queued(now time.Time, service string, demand Demand, need *Need) map[string]float64 {
	queued := make(map[string]float64)
	for _, b := range demand.Batches {
		if b.Service == service {
			f.observeSubmission(now, b)
		}
	}
	for _, b := range demand.Batches {
		if b.Service == service {
			need.Waiting += b.Waiting
			queued[b.Model] += slots(b.Unfinished, need.RunTime, b.RunTarget-b.Age)
		}
	}
	return queued
}

// observeSubmission records the submission of a batch, if it is new.
func (f *Forecast) observeSubmission(now time.Time, b Batch) {
	submitted := now.Add(-b.Age)
	c := f.models[b.Model]
	switch {
	case c == nil:
		f.models[b.Model] = &cycle{items: b.Items, last: submitted, lastID: b.ID, runTarget: b.RunTarget}
	case c.lastID == b.ID || !submitted.After(c.last):
	default:
		interval := submitted.Sub(c.last)
		if c.interval == 0 {
			c.interval = interval
		} else {
			c.interval += time.Duration(intervalWeight * float64(interval-c.interval))
		}
		c.items, c.last, c.lastID, c.runTarget = b.Items, submitted, b.ID, b.RunTarget
	}
}

// addPeak adds a peak. Earlier ones that aren't higher can no longer matter.
func (f *Forecast) addPeak(p peak) {
	for len(f.peaks) > 0 && f.peaks[len(f.peaks)-1].slots <= p.slots {
		f.peaks = f.peaks[:len(f.peaks)-1]
	}
	f.peaks = append(f.peaks, p)
}

func (f *Forecast) prune(now time.Time) {
	for len(f.peaks) > 0 && now.Sub(f.peaks[0].at) > f.peakAge() {
		f.peaks = f.peaks[1:]
	}
}

func (f *Forecast) peakAge() time.Duration {
	age := minPeakAge
	for _, c := range f.models {
		age = max(age, peakIntervals*c.interval)
	}
	return age
}

// slots returns the number of slots that work the items off in workShare of the time left. It
// is at most one for each item.
func slots(items int, runTime, left time.Duration) float64 {
	if runTime <= 0 {
		return 0
	}
	if available := workShare * float64(left); available > float64(runTime) {
		return float64(items) * float64(runTime) / available
	}
	return float64(items)
}
