// Package elapsed measures the time since an event, including the time that the machine
// was suspended: during a suspension the monotonic clock stops, and only the wall clock
// advances.
package elapsed

import "time"

// Mark is a point in time on the monotonic clock and the wall clock.
type Mark struct{ at time.Time }

// Now returns a Mark of the current time. now is the clock; nil means time.Now.
func Now(now func() time.Time) Mark { return Mark{at: clockOrDefault(now)()} }

// Since returns the time since m on the monotonic clock or on the wall clock, whichever is
// longer. After a suspension that is the time on the wall clock. If the wall clock was set
// back, it is the time on the monotonic clock.
func (m Mark) Since(now func() time.Time) time.Duration {
	current := clockOrDefault(now)()
	return max(current.Sub(m.at), current.Round(0).Sub(m.at.Round(0)))
}

func clockOrDefault(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}
