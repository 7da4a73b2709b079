package permit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate is the lowest rate of permits per second. Without any request, no answer
	// would tell that a server has ended a limit of zero.
	minRate = 0.2
	// bucketRetention is how long an unused bucket is kept.
	bucketRetention = time.Minute
)

// Claim asks for one permit for a request to a server.
type Claim struct {
	Server string
	// PerSecond is the limit that the server named, and ObservedAt when.
	PerSecond  float64
	ObservedAt time.Time
	// MaxWait is how long the claimant waits for the permit.
	MaxWait time.Duration
}

// Grant answers a claim.
type Grant struct {
	Granted bool
	// Wait is the time until the permit is valid or, if none was granted, until the next
	// one will be free.
	Wait time.Duration
}

// Allotter grants permits for requests to servers with a request limit. It does no I/O. It
// is designed for this load: many hosts send requests at random times to a server that
// accepts a few per second from all of them together. The exported fields are set before the
// first claim.
type Allotter struct {
	// BurstTime is for how long an unused part of a limit is saved up.
	BurstTime time.Duration
	// InitialPermits is the number of permits of a server that are free at its first claim.
	InitialPermits int

	mu sync.Mutex
	// buckets holds the token buckets by server.
	buckets    map[string]*bucket
	lastPruned time.Time
}

// bucket is the token bucket of one server.
type bucket struct {
	*rate.Limiter

	perSecond  float64
	observedAt time.Time
	lastUsed   time.Time
}

// Claim grants a permit if one is free within the claim's MaxWait. The most recently
// observed limit of all claims applies.
func (a *Allotter) Claim(c Claim, now time.Time) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(c, now)
	reservation := b.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > c.MaxWait {
		reservation.CancelAt(now)
		return Grant{Wait: wait}
	}
	return Grant{Granted: true, Wait: wait}
}

// Forget discards what was saved up for a server.
func (a *Allotter) Forget(server string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.buckets, server)
}

// bucket returns the bucket of the claim's server. a.mu is held.
func (a *Allotter) bucket(c Claim, now time.Time) *bucket {
	a.prune(now)
	b, ok := a.buckets[c.Server]
	if !ok {
		b = &bucket{Limiter: rate.NewLimiter(a.rate(c.PerSecond), a.burst(c.PerSecond)), perSecond: c.PerSecond, observedAt: c.ObservedAt}
		b.AllowN(now, b.Burst()-min(a.InitialPermits, b.Burst()))
		if a.buckets == nil {
			a.buckets = make(map[string]*bucket)
		}
		a.buckets[c.Server] = b
	}
	b.lastUsed = now
	if c.PerSecond != b.perSecond && c.ObservedAt.After(b.observedAt) {
		b.perSecond = c.PerSecond
		b.SetLimitAt(now, a.rate(c.PerSecond))
		b.SetBurstAt(now, a.burst(c.PerSecond))
	}
	if c.ObservedAt.After(b.observedAt) {
		b.observedAt = c.ObservedAt
	}
	return b
}

func (*Allotter) rate(perSecond float64) rate.Limit { return rate.Limit(max(perSecond, minRate)) }

func (a *Allotter) burst(perSecond float64) int { return 1 + int(perSecond*a.BurstTime.Seconds()) }

// prune removes buckets that are no longer used. a.mu is held.
func (a *Allotter) prune(now time.Time) {
	if now.Sub(a.lastPruned) < bucketRetention {
		return
	}
	a.lastPruned = now
	for server, b := range a.buckets {
		if now.Sub(b.lastUsed) > bucketRetention {
			delete(a.buckets, server)
		}
	}
}
