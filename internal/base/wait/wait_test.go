package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/wait"
)

func TestForAndWithin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(wait.For(ctx, 400*time.Millisecond))
		is.True(wait.Within(ctx, 400*time.Millisecond))
		began := time.Now()
		is.True(!wait.Within(ctx, 400*time.Millisecond)) // the wait would pass the deadline
		is.Equal(time.Since(began), time.Duration(0))
		is.True(!wait.For(ctx, time.Minute))
		is.Equal(time.Since(began), 200*time.Millisecond)
	})
}

func TestJittered(t *testing.T) {
	for range 1000 {
		if d := wait.Jittered(time.Second); d < time.Second/2 || d > time.Second {
			t.Fatalf("Jittered(%s) = %s, want between %s and %s", time.Second, d, time.Second/2, time.Second)
		}
	}
}
