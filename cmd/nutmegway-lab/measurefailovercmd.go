package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/failover"
)

func addMeasureFailoverCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("failover", "Pause the owner of a job until its lease expires and time the takeover by another node.")
	flags := addReportFlags(c)
	m := failover.Measure{}
	c.Flag("rounds", "Number of pauses.").Default("2").IntVar(&m.Rounds)
	processes := c.Flag("processes", "Also run entry hosts as processes of the nutmegway binary in the folder of this binary, and kill and pause the one that orders weights.").Bool()
	return command{name: "measure failover", run: func(ctx context.Context, stdout, _ io.Writer) error {
		if *processes {
			binary, dir, err := binaryAndTempDir()
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir) //nolint:errcheck // The directory is temporary.
			m.Binary, m.Dir = binary, dir
		}
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
