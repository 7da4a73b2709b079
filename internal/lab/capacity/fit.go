// Package capacity measures the cost of each role at several sizes and
// extrapolates it to the design size with a linear fit.
package capacity

import (
	"math"

	"github.com/nutmegway/nutmegway/internal/lab/report"
)

// Fit is a straight line through measured points.
type Fit struct {
	Base float64
	// Residual is the largest distance of a point from the line, as a share of
	// the largest value.
	Residual float64
	Slope    float64
}

// Linear returns the least-squares line through points.
func Linear(points []report.Point) Fit {
	var sumX, sumY, sumXX, sumXY, largest float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		largest = max(largest, math.Abs(p.Y))
	}
	n := float64(len(points))
	var fit Fit
	if spread := n*sumXX - sumX*sumX; spread != 0 {
		fit.Slope = (n*sumXY - sumX*sumY) / spread
	}
	fit.Base = (sumY - fit.Slope*sumX) / n
	for _, p := range points {
		if largest > 0 {
			fit.Residual = max(fit.Residual, math.Abs(p.Y-fit.At(p.X))/largest)
		}
	}
	return fit
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }
