package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/retrystorm"
)

func addMeasureRetryStormCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("retry-storm", "Count the requests that reach failing servers, with and without a retry budget.")
	flags := addReportFlags(c)
	m := retrystorm.Measure{}
	c.Flag("failing", "Fraction of requests that each server fails during the storm, from 0 to 1.").Default("0.9").Float64Var(&m.Failing)
	c.Flag("nodes", "Number of proxies.").Default("6").IntVar(&m.Nodes)
	c.Flag("phase", "Length of each phase.").Default("5s").DurationVar(&m.Phase)
	c.Flag("rate", "Requests per second of all callers together.").Default("800").Float64Var(&m.Rate)
	c.Flag("servers", "Number of backend servers.").Default("3").IntVar(&m.Servers)
	return command{name: "measure retry-storm", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
