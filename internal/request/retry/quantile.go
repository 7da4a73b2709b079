package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	windowSize = 256
	// minSamples is the number of observations required before requests are hedged.
	minSamples = 32
	// quantileRefreshSamples is the number of new observations after which the
	// quantile is recomputed.
	quantileRefreshSamples = 16
	hedgeQuantile          = 0.95
)

// Latency tracks the 95th percentile of the last windowSize latencies. The zero
// value is ready to use. It is safe for concurrent use.
type Latency struct {
	mu       sync.Mutex
	next     int
	quantile time.Duration
	samples  []time.Duration
	// newSamples is the number of observations since quantile was computed.
	newSamples int
}

// Observe adds the latency of one attempt: the time until its first chunk or its
// response arrived.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newSamples++
	if len(l.samples) < windowSize {
		l.samples = append(l.samples, d)
		return
	}
	l.samples[l.next] = d
	l.next = (l.next + 1) % windowSize
}

// HedgeDelay returns the 95th percentile of the latencies, after which a second
// attempt is worth its cost. It returns false if there are fewer than minSamples
// observations.
func (l *Latency) HedgeDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) < minSamples {
		return 0, false
	}
	if l.newSamples >= quantileRefreshSamples {
		sorted := slices.Clone(l.samples)
		slices.Sort(sorted)
		l.quantile, l.newSamples = sorted[int(float64(len(sorted)-1)*hedgeQuantile)], 0
	}
	return l.quantile, true
}
