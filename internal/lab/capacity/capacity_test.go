package capacity_test

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/lab/capacity"
	"github.com/nutmegway/nutmegway/internal/lab/report"
)

func TestLinear(t *testing.T) {
	is := is.New(t)
	fit := capacity.Linear([]report.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}})
	is.True(math.Abs(fit.At(10)-23) < 1e-9)
	is.True(fit.Residual < 1e-9)
}

func TestTableMarksCostsOverBudget(t *testing.T) {
	is := is.New(t)
	table := capacity.Table([]capacity.Slope{{
		Budget: 10, Cost: "calls", Design: 720, Points: []report.Point{{X: 1, Y: 1}, {X: 2, Y: 2}, {X: 3, Y: 3}}, Role: "node", Size: "nodes",
	}})
	is.True(strings.Contains(table, "| 720 at 720 | 10 | **over** |"))
	page, err := capacity.ReplaceTable("a\n<!-- measured: begin -->\nold\n<!-- measured: end -->\nb\n", table)
	is.NoErr(err)
	is.True(strings.HasPrefix(page, "a\n") && strings.HasSuffix(page, "\nb\n"))
	is.True(!strings.Contains(page, "old"))
	_, err = capacity.ReplaceTable("no markers", table)
	is.True(err != nil)
}
