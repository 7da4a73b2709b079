package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/telemetry"
	"github.com/nutmegway/nutmegway/internal/lab/chaos"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
)

func addChaosCommand(app *kingpin.Application) command {
	c := app.Command("chaos", "Run a deployment under random failures and check its guarantees.")
	flags := addReportFlags(c)
	run := chaos.Chaos{}
	var name string
	var processes, verbose bool
	var seconds int
	c.Flag("callers", "Number of concurrent callers.").Default("48").IntVar(&run.Callers)
	c.Flag("deployment", "Deployment to run.").Default("brazos").EnumVar(&name, "brazos", "halvorsen")
	c.Flag("processes", "Run each entry host as a process of the nutmegway binary in the folder of this binary.").BoolVar(&processes)
	c.Flag("seconds", "Length of the run, excluding the recovery after it.").Default("30").IntVar(&seconds)
	c.Flag("verbose", "Write the logs of all entry hosts to standard error.").BoolVar(&verbose)
	return command{name: "chaos", run: func(ctx context.Context, stdout, stderr io.Writer) error {
		shape, ok := deployment.Named(name)
		if !ok {
			return kind.New(kind.NotFound, "no deployment %q", name)
		}
		run.Logger = slog.New(slog.DiscardHandler)
		if verbose {
			run.Logger = telemetry.NewLogger(stderr, slog.LevelDebug)
		}
		if processes {
			if err := useProcesses(&run); err != nil {
				return err
			}
			defer os.RemoveAll(run.Dir) //nolint:errcheck // The directory is temporary.
		}
		run.Duration = time.Duration(seconds) * time.Second
		run.Progress, run.Seed, run.Shape = stderr, flags.seed, shape
		r, err := run.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}

// useProcesses configures run to start each entry host as a separate process.
func useProcesses(run *chaos.Chaos) (err error) {
	run.Binary, run.Dir, err = binaryAndTempDir()
	return err
}

// binaryAndTempDir returns the path of the nutmegway binary in the directory of this
// binary, and a new temporary directory for settings files.
func binaryAndTempDir() (binary, dir string, err error) {
	executable, err := os.Executable()
	if err != nil {
		return "", "", err
	}
	dir, err = os.MkdirTemp("", "nutmegway-lab-")
	return filepath.Join(filepath.Dir(executable), "nutmegway"), dir, err
}
