// Package boottime reads the clock that counts from the start of the machine. It advances
// while the process or the machine stands still, and isn't set with the time of day.
package boottime

import "time"

// Instant is the time since the machine started.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }
