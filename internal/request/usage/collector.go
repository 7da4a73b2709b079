package usage

import "sync"

const (
	// maxWindows bounds the windows for which counts are kept.
	maxWindows = 64
	// keptWindows is the number of closed windows whose counts are kept, to tell requests that
	// come too late from those that a host reports again.
	keptWindows = 8
)

// Collector adds up the counts of the hosts. It does no I/O. Its zero value is ready to use.
type Collector struct {
	mu sync.Mutex
	// counts holds the counts of each host by incarnation.
	counts map[string]Counts
	late   int64
	newest int64
	// next is the first window that isn't closed, or zero if unknown.
	next int64
}

// Merge takes over the counts of a host, which contain all that it has reported before for
// the same windows. Counts for closed windows are late.
func (c *Collector) Merge(source string, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]Counts)
	}
	known := c.counts[source]
	if known == nil {
		known = make(Counts)
		c.counts[source] = known
	}
	for window, accounts := range counts {
		c.newest = max(c.newest, window)
		for account, n := range accounts {
			// Reports may arrive out of order.
			more := n - known[window][account]
			if more <= 0 {
				continue
			}
			known.Add(window, account, more)
			if window < c.next && window >= c.next-keptWindows {
				c.late += more
			}
		}
	}
	c.prune(max(c.next-keptWindows, c.newest-maxWindows))
}

// Sum returns the counts of a window by account.
func (c *Collector) Sum(window int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]int64)
	for _, counts := range c.counts {
		for account, n := range counts[window] {
			sum[account] += n
		}
	}
	return sum
}

// Close notes that the windows before next are closed, and returns how many requests since the
// last call came too late for their window.
func (c *Collector) Close(next int64) (late int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, next)
	c.prune(c.next - keptWindows)
	late, c.late = c.late, 0
	return late
}

// Next returns the first window that isn't closed, or zero if it isn't known.
func (c *Collector) Next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// prune drops the windows before window. c.mu is held.
func (c *Collector) prune(window int64) {
	for source, counts := range c.counts {
		if counts.DropBefore(window); len(counts) == 0 {
			delete(c.counts, source)
		}
	}
}
