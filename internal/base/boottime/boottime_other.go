//go:build !linux

package boottime

import "time"

var started = time.Now()

// Now returns the current instant. It doesn't count suspensions of the machine.
func Now() Instant { return Instant(time.Since(started)) }
