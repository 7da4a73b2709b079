package mirror

import (
	"cmp"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/base/elapsed"
)

// DefaultMaxAge is the MaxAge of a mirror that has none.
const DefaultMaxAge = 3 * time.Second

// minWatchShare is the shortest watch, as a share of MaxAge.
const minWatchShare = 0.15

// confirmation tells when the store itself last answered. Times include those during which
// the process stood still.
type confirmation struct {
	at elapsed.Mark
	// delay is how old the answer was at least when it was read.
	delay time.Duration
	known bool
}

// age returns the time since the answer.
func (c confirmation) age() time.Duration { return c.at.Since(nil) + c.delay }

// delayOf returns how old an answer of the store to a call that began at began is at least.
// The store answers within WatchTimeout; a later answer has waited to be read.
func (m *Mirror) delayOf(began elapsed.Mark) time.Duration {
	if m.WatchTimeout == 0 {
		return 0
	}
	return max(began.Since(nil)-m.WatchTimeout, 0)
}

// watchTimeout returns the bound on the next watch call; zero leaves it to the store's client.
// If the copy would be too old for followers before a whole watch ends, as after a watch
// without an answer or on a host that has just become a reader, the watch is shorter: each of
// the followers would otherwise read the store itself. lost is set if the call before failed.
// Once the copy is too old after failures, the store is away, and short watches gain nothing.
func (m *Mirror) watchTimeout(lost bool) time.Duration {
	if m.WatchTimeout == 0 {
		return 0
	}
	maxAge := cmp.Or(m.MaxAge, DefaultMaxAge)
	shortest := time.Duration(minWatchShare * float64(maxAge))
	m.mu.Lock()
	defer m.mu.Unlock()
	rest := time.Duration(0)
	if m.confirmation.known {
		rest = maxAge - m.confirmation.age()
	}
	if lost && rest <= 0 {
		return m.WatchTimeout
	}
	return min(max(rest, shortest), m.WatchTimeout)
}

// DeliveredAge returns at most how old the state is that OnChange has received: the time since
// the call was sent that the store answered with it, on this host or on the one that this host
// follows. It returns false if that isn't known.
func (m *Mirror) DeliveredAge() (time.Duration, bool) {
	asOf := m.deliveredAsOf.Load()
	if asOf == 0 {
		return 0, false
	}
	return m.now().Sub(boottime.Instant(asOf)), true
}

func (m *Mirror) now() boottime.Instant {
	if m.Now != nil {
		return m.Now()
	}
	return boottime.Now()
}
