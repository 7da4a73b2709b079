package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/poison"
)

func addMeasurePoisonCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("poison", "Send a request that crashes its backend server many times, one after the other and all at once.")
	flags := addReportFlags(c)
	m := poison.Measure{}
	var name string
	c.Flag("deployment", "Deployment to run.").Default("brazos").EnumVar(&name, "brazos", "halvorsen")
	c.Flag("repeats", "Number of times that the request is sent.").Default("30").IntVar(&m.Repeats)
	return command{name: "measure poison", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		m.Shape, _ = deployment.Named(name) // The flag allows only known names.
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
