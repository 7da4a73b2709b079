package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/overload"
)

func addMeasureOverloadCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("overload", "Offer load of checks and rollouts up to three times the capacity of the engines.")
	flags := addReportFlags(c)
	m := overload.Measure{}
	var name string
	c.Flag("deployment", "Deployment to run.").Default("brazos").EnumVar(&name, "brazos", "halvorsen")
	c.Flag("phase", "Length of each phase.").Default("3500ms").DurationVar(&m.Phase)
	return command{name: "measure overload", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		m.Shape, _ = deployment.Named(name) // The flag allows only known names.
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
