package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/overlay"
)

func addMeasureOverlayCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("overlay", "Compare the hops of a small-world overlay with those of the trees in use.")
	flags := addReportFlags(c)
	m := overlay.Measure{}
	c.Flag("links", "Number of long-range links of each overlay node.").Default("9").IntVar(&m.Links)
	c.Flag("nodes", "Number of entry hosts.").Default("720").IntVar(&m.Nodes)
	return command{name: "measure overlay", run: func(_ context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		r := m.Run()
		return flags.finish(stdout, r, nil)
	}}
}
