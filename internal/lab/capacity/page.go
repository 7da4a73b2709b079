package capacity

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/lab/report"
)

// Error is the class of errors of this package.
var Error = errs.Class("capacity page")

// The markers that enclose the measured table in the capacity page.
const (
	markerBegin = "<!-- measured: begin -->\n"
	markerEnd   = "<!-- measured: end -->\n"
)

// Slope is one cost of a role, measured at several sizes.
type Slope struct {
	// Budget is the largest allowed value at the design size. Zero means no budget.
	Budget float64
	// Cost is the name of the measured quantity, with its unit.
	Cost string
	// Design is the size to which the cost is extrapolated, in the unit that Size names.
	Design float64
	// Points are the measured values (Y) by size (X).
	Points []report.Point
	Role   string
	// Size is the unit of the sizes, such as nodes.
	Size string
}

// Table returns the slopes as a Markdown table.
func Table(slopes []Slope) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Written by `make capacity` on %d cores (%s/%s).\n\n", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH)
	b.WriteString("| role | cost | grows with | measured (size: value) | fit | residual | at design size | budget | verdict |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		fit := Linear(s.Points)
		at := max(fit.At(s.Design), largestValue(s.Points))
		budget, verdict := "none", "no budget"
		if s.Budget > 0 {
			budget, verdict = formatNumber(s.Budget), "within"
			if at > s.Budget {
				verdict = "**over**"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s + %s × size | %.0f%% | %s at %s | %s | %s |\n",
			s.Role, s.Cost, s.Size, formatPoints(s.Points), formatNumber(fit.Base), formatNumber(fit.Slope), 100*fit.Residual,
			formatNumber(at), formatNumber(s.Design), budget, verdict)
	}
	return b.String()
}

func largestValue(list []report.Point) float64 {
	var highest float64
	for _, p := range list {
		highest = max(highest, p.Y)
	}
	return highest
}

func formatPoints(list []report.Point) string {
	texts := make([]string, 0, len(list))
	for _, p := range list {
		texts = append(texts, formatNumber(p.X)+": "+formatNumber(p.Y))
	}
	return strings.Join(texts, ", ")
}

// formatNumber formats v with three significant digits.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }

// ReplaceTable replaces the text between the markers of page with table.
func ReplaceTable(page, table string) (string, error) {
	before, rest, ok := strings.Cut(page, markerBegin)
	if !ok {
		return "", Error.New("marker line %q not found", strings.TrimSpace(markerBegin))
	}
	_, after, ok := strings.Cut(rest, markerEnd)
	if !ok {
		return "", Error.New("marker line %q not found", strings.TrimSpace(markerEnd))
	}
	return before + markerBegin + table + markerEnd + after, nil
}
