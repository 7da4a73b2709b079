// Package wait pauses until a time has passed or a context has ended.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d and reports whether it passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Within waits for d if it ends before ctx's deadline, and reports whether it
// did.
func Within(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return false
	}
	return For(ctx, d)
}

// Jittered returns a time between half of d and d, so that many callers that
// failed at once don't come back at once.
func Jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
