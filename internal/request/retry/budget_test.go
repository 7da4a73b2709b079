package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/request/retry"
)

// TestAmplificationIsBounded checks that the number of retries stays within the
// budget if every attempt fails.
func TestAmplificationIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budgets retry.Budgets[string]
		now := time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)
		begin := now
		ratio := rapid.Float64Range(0, 0.3).Draw(t, "ratio")
		calls, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "calls") {
			calls++
			budgets.Deposit(now, "team", ratio)
			for budgets.Withdraw(now, "team", ratio) {
				retries++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
		}
		const burst, perSecond = 10, 0.2
		if limit := burst + ratio*float64(calls) + perSecond*now.Sub(begin).Seconds() + 1; float64(retries) > limit {
			t.Fatalf("got %d retries for %d calls, want at most %.1f", retries, calls, limit)
		}
	})
}

func TestHedgeDelayIsQuantile(t *testing.T) {
	is := is.New(t)
	var latency retry.Latency
	_, ok := latency.HedgeDelay()
	is.True(!ok)
	for i := range 100 {
		latency.Observe(time.Duration(i) * time.Millisecond)
	}
	delay, ok := latency.HedgeDelay()
	is.True(ok)
	is.Equal(delay, 94*time.Millisecond)
}
