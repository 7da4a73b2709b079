package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// agreementMaxAge is how long a host relies on the time that it has agreed on with the
	// fleet. Steady clocks drift by less than a millisecond in that time.
	agreementMaxAge = 30 * time.Second
	// maxRoundTrip is the longest round trip after which a time is taken over while there is
	// a valid one.
	maxRoundTrip = 20 * time.Millisecond
)

// Clock tells the time on which the hosts of a fleet agree: the median of their clocks, which
// holds while the clocks of fewer than half of them are wrong. Between two agreements it
// advances with the steady clock, so that a step of this host's clock has no effect. It does
// no I/O. The exported fields are set before the first call.
type Clock struct {
	// Now is the clock, of which the steady reading counts; nil means time.Now.
	Now func() time.Time
	// Wall is the time of day, which may jump; nil means that of Now.
	Wall func() time.Time

	mu sync.Mutex
	// base is the origin of the steady clock.
	base    time.Time
	agreed  bool
	offset  time.Duration
	agreeAt time.Duration
	samples map[string]clockSample
}

// clockSample is what another host's clock showed.
type clockSample struct {
	// offset is that clock less this host's steady clock, and at when it was read.
	offset, at time.Duration
}

// Agreed reports whether the fleet has agreed on the time recently.
func (c *Clock) Agreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agreedLocked(c.steadyLocked(c.now()))
}

// Time returns the time of the fleet at which the local clock showed at. Without a recent
// agreement that is the time of the local clock.
func (c *Clock) Time(at time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timeLocked(c.steadyLocked(at))
}

// Observe records the time that another host's clock shows now.
func (c *Clock) Observe(host string, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.steadyLocked(c.now())
	if c.samples == nil {
		c.samples = make(map[string]clockSample)
	}
	c.samples[host] = clockSample{offset: wall.Sub(c.base.Round(0)) - steady, at: steady}
}

// Lead sets the time of the fleet to the median of the clocks of this host and of the hosts
// that were observed. It is called at the host whose time the others take over.
func (c *Clock) Lead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.steadyLocked(c.now())
	offsets := []time.Duration{c.wall().Sub(c.base.Round(0)) - steady}
	for host, sample := range c.samples {
		if steady-sample.at > agreementMaxAge {
			delete(c.samples, host)
			continue
		}
		offsets = append(offsets, sample.offset)
	}
	slices.Sort(offsets)
	c.offset, c.agreed, c.agreeAt = offsets[(len(offsets)-1)/2], true, steady
}

// Follow takes over the time of the fleet from another host, which read it between sent and
// received of the local clock.
func (c *Clock) Follow(fleet, sent, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, to := c.steadyLocked(sent), c.steadyLocked(received)
	if to-from > maxRoundTrip && c.agreedLocked(to) {
		return
	}
	c.offset, c.agreed, c.agreeAt = fleet.Sub(c.base.Round(0))-(from+to)/2, true, to
}

func (c *Clock) agreedLocked(steady time.Duration) bool {
	return c.agreed && steady-c.agreeAt <= agreementMaxAge
}

func (c *Clock) timeLocked(steady time.Duration) time.Time {
	offset := c.offset
	if !c.agreedLocked(steady) {
		now := c.now()
		offset = c.wall().Sub(c.base.Round(0)) - c.steadyLocked(now)
	}
	return c.base.Round(0).Add(steady + offset)
}

// steadyLocked returns the steady clock's reading at the local time at. c.mu is held.
func (c *Clock) steadyLocked(at time.Time) time.Duration {
	if c.base.IsZero() {
		c.base = at
	}
	return at.Sub(c.base)
}

// TimeOfDay returns the time of day of this host.
func (c *Clock) TimeOfDay() time.Time { return c.wall() }

func (c *Clock) wall() time.Time {
	if c.Wall != nil {
		return c.Wall()
	}
	return c.now().Round(0)
}

func (c *Clock) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}
