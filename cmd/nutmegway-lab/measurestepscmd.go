package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/steps"
)

func addMeasureStepsCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("steps", "Compare the training steps of trainers that share the engines with a baseline.")
	flags := addReportFlags(c)
	m := steps.Measure{}
	c.Flag("deployment", "Deployment whose weights for idle time and staleness are used.").Default("brazos").
		EnumVar(&m.Deployment, "brazos", "halvorsen")
	c.Flag("faults", "Inject faults during the run.").BoolVar(&m.Faults)
	c.Flag("trainers", "Number of trainers.").Default("3").IntVar(&m.Trainers)
	return command{name: "measure steps", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
