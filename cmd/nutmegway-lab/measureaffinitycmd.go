package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/affinity"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
)

func addMeasureAffinityCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("affinity", "Compare the hit rate of the prefix cache with the hit rate under perfect knowledge of the caches.")
	flags := addReportFlags(c)
	m := affinity.Measure{}
	var name string
	c.Flag("deployment", "Deployment to run.").Default("brazos").EnumVar(&name, "brazos", "halvorsen")
	c.Flag("documents", "Number of distinct documents that prompts refer to.").Default("150").IntVar(&m.Documents)
	c.Flag("length", "Length of the run of each routing policy.").Default("12s").DurationVar(&m.Duration)
	return command{name: "measure affinity", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
		m.Shape, _ = deployment.Named(name) // The flag allows only known names.
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
