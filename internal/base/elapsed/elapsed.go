// Package elapsed measures how long ago something was, also across a suspension of the
// machine: its steady clock stands still then, and only the time of day goes on.
package elapsed

import "time"

// Mark is a moment on both clocks.
type Mark struct{ at time.Time }

// Now returns the present moment. now is the clock; nil means time.Now.
func Now(now func() time.Time) Mark { return Mark{at: clock(now)()} }

// Since returns the longer of the times that have passed on the two clocks since the
// mark. A time of day that is set back leaves the steady clock's.
func (m Mark) Since(now func() time.Time) time.Duration {
	present := clock(now)()
	return max(present.Sub(m.at), present.Round(0).Sub(m.at.Round(0)))
}

func clock(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}
