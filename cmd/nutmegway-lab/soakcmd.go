package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/soak"
)

func addSoakCommand(app *kingpin.Application) command {
	c := app.Command("soak", "Run hosts as processes on a stand-in for the users' platform, inject random faults and check the guarantees.")
	flags := addReportFlags(c)
	run := soak.Soak{}
	var keep bool
	var seconds int
	c.Flag("keep", "Keep the folder with settings and logs even if no guarantee was violated.").BoolVar(&keep)
	c.Flag("other-binary", "Another build of nutmegway. Hosts begin with either build and change it at each start.").
		StringVar(&run.OtherBinary)
	c.Flag("processes", "Number of hosts, each a process of the nutmegway binary in the folder of this binary.").
		Default("4").IntVar(&run.Processes)
	c.Flag("seconds", "Length of the run, excluding start and shutdown; faults come in whole cycles of 21 s.").
		Default("63").IntVar(&seconds)
	return command{name: "soak", run: func(ctx context.Context, stdout, stderr io.Writer) (err error) {
		if run.Binary, run.Dir, err = binaryAndTempDir(); err != nil {
			return err
		}
		run.Duration = time.Duration(seconds) * time.Second
		run.Progress, run.Seed = stderr, flags.seed
		r, err := run.Run(ctx)
		if err == nil && len(r.Broken) == 0 && !keep {
			_ = os.RemoveAll(run.Dir) // The directory is temporary.
		} else {
			_, _ = io.WriteString(stderr, "settings and logs are in "+run.Dir+"\n") // The report does not depend on this hint.
		}
		return flags.finish(stdout, r, err)
	}}
}
