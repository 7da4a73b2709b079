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
	c := app.Command("soak", "Run hosts as processes on a stand-in for the users' platform under random troubles and judge the promises.")
	flags := addReportFlags(c)
	run := soak.Soak{}
	var keep bool
	var seconds int
	c.Flag("keep", "Keep the folder with settings and logs, also when nothing was broken.").BoolVar(&keep)
	c.Flag("processes", "Number of hosts, each a process of the binary nutmegway that lies beside this one.").
		Default("4").IntVar(&run.Processes)
	c.Flag("seconds", "Length of the run, without its start and its end; troubles come in whole cycles of 21 s.").
		Default("63").IntVar(&seconds)
	return command{name: "soak", run: func(ctx context.Context, stdout, stderr io.Writer) (err error) {
		if run.Binary, run.Folder, err = besideThis(); err != nil {
			return err
		}
		run.Length = time.Duration(seconds) * time.Second
		run.Progress, run.Seed = stderr, flags.seed
		r, err := run.Run(ctx)
		if err == nil && len(r.Broken) == 0 && !keep {
			_ = os.RemoveAll(run.Folder) // The folder is temporary.
		} else {
			_, _ = io.WriteString(stderr, "settings and logs are in "+run.Folder+"\n") // A hint beside the report.
		}
		return flags.finish(stdout, r, err)
	}}
}
