// Package report prints the results of a measurement: rows, one closing line of
// key=value pairs, and the guarantees that were broken.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors that name broken guarantees.
var Error = errs.Class("broken guarantee")

// Output is the format of a report.
type Output string

// The formats.
const (
	OutputJSON Output = "json"
	OutputText Output = "text"
)

// Value is one value with its kebab-case key. The key includes the unit.
type Value struct {
	Key   string
	Value any
}

// Report is the result of one measurement.
type Report struct {
	// Broken describes each guarantee that did not hold.
	Broken []string
	// Curves are drawn by Plot.
	Curves []Curve
	// Name is the first word of the closing line and the title of the plot.
	Name string
	// Rows are printed before the closing line.
	Rows [][]Value
	// Values are the pairs of the closing line, in order.
	Values []Value
	XLabel string
	YLabel string
}

// Add appends a pair to the closing line.
func (r *Report) Add(key string, value any) {
	r.Values = append(r.Values, Value{Key: key, Value: value})
}

// AddRow appends a row.
func (r *Report) AddRow(row ...Value) { r.Rows = append(r.Rows, row) }

// Requiref records a broken guarantee, described by format and args, if held is false.
func (r *Report) Requiref(held bool, format string, args ...any) {
	if !held {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

// Err returns an error that describes the broken guarantees, or nil if all held.
func (r *Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return Error.New("%s", strings.Join(r.Broken, "; "))
}

// Write prints the report to w. OutputText ends with the closing line; OutputJSON is
// one object on one line.
func (r *Report) Write(w io.Writer, output Output) error {
	if output == OutputJSON {
		return r.writeJSON(w)
	}
	for _, row := range r.Rows {
		if _, err := fmt.Fprintln(w, formatPairs(row)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, r.Name+" "+formatPairs(r.Values))
	return err
}

func (r *Report) writeJSON(w io.Writer) error {
	rows := make([]map[string]any, 0, len(r.Rows))
	for _, row := range r.Rows {
		rows = append(rows, valueMap(row))
	}
	return json.NewEncoder(w).Encode(struct {
		Broken []string         `json:"broken"`
		Name   string           `json:"name"`
		Rows   []map[string]any `json:"rows"`
		Values map[string]any   `json:"values"`
	}{Broken: r.Broken, Name: r.Name, Rows: rows, Values: valueMap(r.Values)})
}

func valueMap(values []Value) map[string]any {
	o := make(map[string]any, len(values))
	for _, v := range values {
		o[v.Key] = v.Value
	}
	return o
}

func formatPairs(values []Value) string {
	pairs := make([]string, 0, len(values))
	for _, v := range values {
		pairs = append(pairs, v.Key+"="+formatValue(v.Value))
	}
	return strings.Join(pairs, " ")
}

// formatValue formats a value for a key=value pair. Strings are quoted where needed;
// floats have three decimal places.
func formatValue(value any) string {
	switch v := value.(type) {
	case float64:
		return strconv.FormatFloat(v, 'f', 3, 64)
	case string:
		if v == "" || strings.ContainsAny(v, " \"=\n") {
			return strconv.Quote(v)
		}
		return v
	default:
		return fmt.Sprint(v)
	}
}
