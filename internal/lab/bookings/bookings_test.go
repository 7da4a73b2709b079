package bookings_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/lab/bookings"
)

// TestBookingsRunAtMostOnce runs the measure with fewer bookings and the same
// faults.
func TestBookingsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	report, err := bookings.Measure{Bookings: 1500, Callers: 48, Deployment: "halvorsen", Seed: 7}.Run(t.Context())
	is.NoErr(err)
	is.NoErr(report.Err())
}
