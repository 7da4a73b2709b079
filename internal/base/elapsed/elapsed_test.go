package elapsed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/elapsed"
)

// TestSince uses a reading of both clocks, made with Add, and one of the wall clock
// only, made with Round, as after a suspension.
func TestSince(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	mark := elapsed.Now(func() time.Time { return start })
	is.Equal(mark.Since(func() time.Time { return start.Add(time.Second) }), time.Second)
	suspended := start.Round(0).Add(5 * time.Second)
	is.Equal(mark.Since(func() time.Time { return suspended }), 5*time.Second)
	is.True(elapsed.Now(nil).Since(nil) >= 0)
}
