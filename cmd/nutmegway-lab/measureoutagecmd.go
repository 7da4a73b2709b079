package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/outage"
)

func addMeasureOutageCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("outage", "Stop the key-value service, restart nodes during the outage, and start the service again.")
	flags := addReportFlags(c)
	m := outage.Measure{}
	var name string
	c.Flag("deployment", "Deployment to run.").Default("brazos").EnumVar(&name, "brazos", "halvorsen")
	c.Flag("length", "Length of the outage.").Default("15s").DurationVar(&m.Duration)
	return command{name: "measure outage", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		m.Shape, _ = deployment.Named(name) // The flag allows only known names.
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
