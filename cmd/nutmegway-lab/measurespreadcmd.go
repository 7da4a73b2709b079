package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/spread"
)

func addMeasureSpreadCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("spread", "Measure the time until an edit of a document is in force on all nodes, which share one process.")
	flags := addReportFlags(c)
	m := spread.Measure{}
	c.Flag("edits", "Number of edits for each variant.").Default("50").IntVar(&m.Edits)
	c.Flag("nodes", "Number of entry hosts.").Default("60").IntVar(&m.Nodes)
	return command{name: "measure spread", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
