// Package wait provides delays that end early with a context.
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

// Within waits for d unless ctx's deadline comes first, in which case it returns false
// at once. It reports whether d passed before ctx ended.
func Within(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return false
	}
	return For(ctx, d)
}

// Jittered returns a random duration between d/2 and d, so that callers that failed
// together don't all retry at the same time.
func Jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
