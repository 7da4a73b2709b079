// Package usage counts the requests that backend servers began, by client account and by
// window of time, and reports each window to the platform once. Every host counts its own
// requests; the host that holds the fleet's duties adds the counts up.
package usage

import (
	"maps"
	"time"
)

// Windows divide true time into windows of equal length. Window k begins k times Length after
// the start of 1970.
type Windows struct{ Length time.Duration }

// At returns the window that t is in.
func (w Windows) At(t time.Time) int64 {
	window := t.UnixNano() / int64(w.Length)
	if t.UnixNano() < window*int64(w.Length) {
		window--
	}
	return window
}

// End returns the end of a window.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w.Length)) }

// Counts are numbers of requests by window and account.
type Counts map[int64]map[string]int64

// Add adds n requests of an account.
func (c Counts) Add(window int64, account string, n int64) {
	if c[window] == nil {
		c[window] = make(map[string]int64)
	}
	c[window][account] += n
}

// DropBefore removes the windows before window and returns how many requests they held.
func (c Counts) DropBefore(window int64) (dropped int64) {
	for k, counts := range c {
		if k >= window {
			continue
		}
		for _, n := range counts {
			dropped += n
		}
		delete(c, k)
	}
	return dropped
}

// Clone returns a deep copy.
func (c Counts) Clone() Counts {
	clone := make(Counts, len(c))
	for window, counts := range c {
		clone[window] = maps.Clone(counts)
	}
	return clone
}
