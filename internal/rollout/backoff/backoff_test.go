package backoff_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/rollout/backoff"
)

const ms = time.Millisecond

// waitOf returns how long the engine backs off from now on.
func waitOf(e *backoff.Engines, now time.Time) time.Duration {
	for wait := time.Duration(0); ; wait += 50 * ms {
		if !e.Active(now.Add(wait))["a"] {
			return wait
		}
	}
}

func TestFailuresInARowDoubleTheBackoff(t *testing.T) {
	is := is.New(t)
	var e backoff.Engines
	now := time.Now()
	for _, want := range []time.Duration{500 * ms, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		e.Failed("a", now, now.Add(ms))
		now = now.Add(ms)
		is.Equal(waitOf(&e, now), want)
		now = now.Add(want)
	}
	is.Equal(e.Active(now.Add(-ms)), map[string]bool{"a": true}) // other engines don't back off
	e.Answered("a")
	is.Equal(len(e.Active(now.Add(-ms))), 0)
}

// TestRunsThatFailTogetherCountOnce guards against a back-off of seconds after one moment in which
// all items on an engine failed.
func TestRunsThatFailTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	var e backoff.Engines
	began := time.Now()
	for n := range 16 {
		e.Failed("a", began, began.Add(time.Duration(n+1)*ms))
	}
	is.Equal(waitOf(&e, began.Add(ms)), 500*ms)
}

func TestRefusalsInARowSlowDownInTheEnd(t *testing.T) {
	is := is.New(t)
	var e backoff.Engines
	now := time.Now()
	for n := range 60 {
		e.Refused("a", now, now.Add(ms))
		now = now.Add(ms)
		wait := waitOf(&e, now)
		is.True(n >= 20 || wait == 150*ms) // an engine that loads weights refuses for a second or two
		is.True(n < 30 || wait == 2*time.Second)
		now = now.Add(wait)
	}
}
