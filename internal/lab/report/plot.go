package report

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotHeight = 10 * vg.Centimeter
	plotWidth  = 16 * vg.Centimeter
)

// Point is one point of a curve, in the units that the report's XLabel and YLabel name.
type Point struct {
	X, Y float64
}

// Curve is a named line in a plot.
type Curve struct {
	Name   string
	Points []Point
}

// Cumulative returns the empirical cumulative distribution of values: at each x, the
// fraction of values that are at most x.
func Cumulative(name string, values []float64) Curve {
	sorted := slices.Sorted(slices.Values(values))
	curve := Curve{Name: name}
	for i, v := range sorted {
		curve.Points = append(curve.Points, Point{X: v, Y: float64(i+1) / float64(len(sorted))})
	}
	return curve
}

// Plot draws the curves into a PNG file.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = r.XLabel
	p.Y.Label.Text = r.YLabel
	p.Legend.Top = true
	for i, curve := range r.Curves {
		points := make(plotter.XYs, 0, len(curve.Points))
		for _, point := range curve.Points {
			points = append(points, plotter.XY{X: point.X, Y: point.Y})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(curve.Name, l)
	}
	return p.Save(plotWidth, plotHeight, file)
}
