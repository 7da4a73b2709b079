package outlier_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/request/outlier"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

func TestEjectedShareIsBounded(t *testing.T) {
	is := is.New(t)
	var detector outlier.Detector
	const servers = 9
	for range 20 {
		for i := range servers { // All servers fail.
			detector.Observe(start, strconv.Itoa(i), true, servers)
		}
	}
	ejected := 0
	for i := range servers {
		if detector.Ejected(start, strconv.Itoa(i)) {
			ejected++
		}
	}
	is.Equal(ejected, 3)
	is.True(!detector.Ejected(start.Add(time.Minute), "0"))
}

func TestFailureRateFallsAfterSuccess(t *testing.T) {
	is := is.New(t)
	var detector outlier.Detector
	for range 10 {
		detector.Observe(start, "a", true, 1) // The only server is never ejected.
	}
	is.True(!detector.Ejected(start, "a"))
	high := detector.FailureRate(start, "a")
	is.True(high > 0.8)
	for range 10 {
		detector.Observe(start, "a", false, 1)
	}
	is.True(detector.FailureRate(start, "a") < 0.2)
	is.Equal(detector.FailureRate(start, "b"), 0.0)
}
