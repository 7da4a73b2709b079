package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/telemetry"
	"github.com/nutmegway/nutmegway/internal/lab/quickstart"
)

// quickstartTimeout limits the whole run.
const quickstartTimeout = 2 * time.Minute

func addQuickstart(app *kingpin.Application) command {
	cmd := app.Command("quickstart", "Run a small deployment end to end in one process and check the results.\n\nExample: nutmegway quickstart")
	seed := cmd.Flag("seed", "Random seed of the callers.").Default("1").Uint64()
	verbose := cmd.Flag("verbose", "Log all components to standard error.").Bool()
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, stderr io.Writer) error {
		ctx, cancel := context.WithTimeout(ctx, quickstartTimeout)
		defer cancel()
		logger := slog.New(slog.DiscardHandler)
		if *verbose {
			logger = telemetry.NewLogger(stderr, slog.LevelDebug)
		}
		q := &quickstart.Quickstart{Logger: logger, Progress: stdout, Seed: *seed}
		result, err := q.Run(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintln(stdout, result.Line())
		return result.Err()
	}}
}
