package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/path"
)

func addMeasurePathCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("path", "Compare requests sent directly to a backend server with requests through an entry host.")
	flags := addReportFlags(c)
	m := path.Measure{}
	c.Flag("connections", "Number of concurrent callers in the throughput phases.").Default("64").IntVar(&m.Connections)
	c.Flag("phase", "Length of each phase.").Default("3s").DurationVar(&m.Phase)
	c.Flag("streams", "Number of idle streams whose memory use is measured.").Default("400").IntVar(&m.Streams)
	return command{name: "measure path", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
