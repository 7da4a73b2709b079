package ledger

import "github.com/nutmegway/nutmegway/internal/lab/report"

// Report adds a row for each finding and the totals to a report. A guarantee that was
// never checked counts as a failure.
func Report(result *report.Report, seed uint64, findings []Finding) {
	var broken, unchecked, checked int
	for _, f := range findings {
		row := []report.Value{
			{Key: "invariant", Value: f.Invariant}, {Key: "checked", Value: f.Checked}, {Key: "broken", Value: f.Broken},
		}
		if f.FirstViolation != "" {
			row = append(row, report.Value{Key: "first-broken", Value: f.FirstViolation})
		}
		result.AddRow(row...)
		broken += f.Broken
		checked += f.Checked
		if f.Checked == 0 {
			unchecked++
		}
		result.Requiref(f.Checked > 0, "%s was never checked", f.Invariant)
		result.Requiref(f.Broken == 0, "%s was broken %d times: %s", f.Invariant, f.Broken, f.FirstViolation)
	}
	result.Add("seed", seed)
	result.Add("checked", checked)
	result.Add("broken", broken)
	result.Add("unchecked", unchecked)
}
