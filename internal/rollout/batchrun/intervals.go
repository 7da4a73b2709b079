package batchrun

import "time"

// intervalSmoothing is the weight of a new interval in the exponentially weighted moving
// average of a run's event interval.
const intervalSmoothing = 0.3

// intervalTracker measures the mean interval between the events of one run.
type intervalTracker struct {
	intervals  int
	firstEvent time.Time
	lastEvent  time.Time
	// lastFasterCheck is when a faster engine was last searched for.
	lastFasterCheck time.Time
	meanInterval    time.Duration
}

// observe records an event and returns the interval since the previous one. It returns
// false for the first event.
func (t *intervalTracker) observe(now time.Time) (time.Duration, bool) {
	defer func() { t.lastEvent = now }()
	if t.lastEvent.IsZero() {
		t.firstEvent = now
		return 0, false
	}
	interval := now.Sub(t.lastEvent)
	t.intervals++
	if t.meanInterval == 0 {
		t.meanInterval = interval
	} else {
		t.meanInterval += time.Duration(intervalSmoothing * float64(interval-t.meanInterval))
	}
	return interval, true
}

// toFirstEvent returns how long the run that began at began took for its first event; zero
// if it has none.
func (t *intervalTracker) toFirstEvent(began time.Time) time.Duration {
	if t.firstEvent.IsZero() {
		return 0
	}
	return t.firstEvent.Sub(began)
}

// silence returns how long the run that began at began has been without an event.
func (t *intervalTracker) silence(began time.Time) time.Duration {
	if t.lastEvent.IsZero() {
		return time.Since(began)
	}
	return time.Since(t.lastEvent)
}
