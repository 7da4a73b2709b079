package permit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/request/permit"
)

// load plays claims of several hosts at random times, and returns the times from the start
// at which permits were valid.
func load(a *permit.Allotter, perSecond, claimsPerSecond float64, length, maxWait time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	var valid []time.Duration
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / claimsPerSecond * float64(time.Second)) {
		grant := a.Claim(permit.Claim{MaxWait: maxWait, ObservedAt: start, PerSecond: perSecond, Server: "s"}, start.Add(at))
		if grant.Granted {
			valid = append(valid, at+grant.Wait)
		}
	}
	return valid
}

// most returns the largest number of times within any window.
func most(times []time.Duration, window time.Duration) int {
	n := 0
	for i := range times {
		j := i
		for j < len(times) && times[j]-times[i] < window {
			j++
		}
		n = max(n, j-i)
	}
	return n
}

func TestAllotterKeepsLimitAndUsesIt(t *testing.T) {
	const length, window = time.Minute, 4 * time.Second
	cases := map[string]struct{ perSecond, claimsPerSecond float64 }{
		"few more than the limit":  {perSecond: 2, claimsPerSecond: 3},
		"far more than the limit":  {perSecond: 1, claimsPerSecond: 200},
		"a limit below one":        {perSecond: 0.4, claimsPerSecond: 5},
		"a large limit, far above": {perSecond: 40, claimsPerSecond: 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &permit.Allotter{BurstTime: time.Second, InitialPermits: 1}
			valid := load(a, c.perSecond, c.claimsPerSecond, length, 50*time.Millisecond)
			// What was saved up in a second comes on top of the limit.
			is.True(float64(most(valid, window)) <= c.perSecond*(window.Seconds()+1)+1)
			is.True(float64(len(valid)) >= 0.9*c.perSecond*length.Seconds())
		})
	}
}

// TestNewAllotterStartsWithoutSavedPermits has the allotter of a server replaced in the
// middle of a window.
func TestNewAllotterStartsWithoutSavedPermits(t *testing.T) {
	is := is.New(t)
	valid := load(&permit.Allotter{BurstTime: time.Second, InitialPermits: 1}, 5, 100, 500*time.Millisecond, 0)
	is.True(len(valid) <= 4)
}

func TestZeroLimitIsProbed(t *testing.T) {
	is := is.New(t)
	valid := load(&permit.Allotter{BurstTime: time.Second, InitialPermits: 1}, 0, 100, time.Minute, 0)
	is.True(len(valid) > 0)
	is.True(most(valid, 4*time.Second) <= 5)
}

func TestNewestLimitApplies(t *testing.T) {
	is := is.New(t)
	a := &permit.Allotter{BurstTime: time.Second, InitialPermits: 1}
	start := time.Unix(0, 0)
	claim := func(at time.Duration, perSecond float64, observed time.Duration) permit.Grant {
		return a.Claim(permit.Claim{ObservedAt: start.Add(observed), PerSecond: perSecond, Server: "s"}, start.Add(at))
	}
	is.True(claim(0, 1, 0).Granted)
	is.Equal(claim(0, 1, 0).Wait, time.Second)
	is.Equal(claim(0, 4, time.Millisecond).Wait, 250*time.Millisecond)
	is.Equal(claim(0, 1, 0).Wait, 250*time.Millisecond) // observed earlier
}
