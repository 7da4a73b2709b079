package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/bookings"
)

func addMeasureBookingsCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("bookings", "Send bookings while entry hosts, servers and the store fail, and count those that ran twice.")
	flags := addReportFlags(c)
	m := bookings.Measure{}
	c.Flag("bookings", "Number of bookings; every second one has an idempotency key.").Default("10000").IntVar(&m.Bookings)
	c.Flag("callers", "Number of bookings in flight.").Default("256").IntVar(&m.Callers)
	c.Flag("deployment", "Shape of the deployment.").Default("halvorsen").EnumVar(&m.Deployment, "brazos", "halvorsen")
	processes := c.Flag("processes", "Run each entry host as a process of the nutmegway binary in the folder of this binary.").Bool()
	return command{name: "measure bookings", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m.Seed = flags.seed
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
