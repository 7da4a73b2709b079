package main

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/report"
)

// reportFlags holds the flags of all commands that write a report.
type reportFlags struct {
	output string
	plot   string
	seed   uint64
}

// addReportFlags adds the flags of a report to the command c.
func addReportFlags(c *kingpin.CmdClause) *reportFlags {
	f := &reportFlags{}
	c.Flag("output", "Format of the report: text or json.").Default(string(report.OutputText)).
		EnumVar(&f.output, string(report.OutputText), string(report.OutputJSON))
	c.Flag("plot", "PNG file to plot the curves to.").PlaceHolder("FILE").StringVar(&f.plot)
	c.Flag("seed", "Random seed of the run.").Default("1").Uint64Var(&f.seed)
	return f
}

// finish returns err if it is set. Otherwise it writes the report and its plot, and returns
// an error if the report shows a violated guarantee.
func (f *reportFlags) finish(w io.Writer, r *report.Report, err error) error {
	if err != nil {
		return err
	}
	if err := r.Write(w, report.Output(f.output)); err != nil {
		return err
	}
	if f.plot != "" {
		if err := r.Plot(f.plot); err != nil {
			return err
		}
	}
	return r.Err()
}
