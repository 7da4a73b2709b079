package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/capacity"
)

func addCapacityCommand(app *kingpin.Application) command {
	c := app.Command("capacity", "Measure how costs grow with size and print the table of docs/CAPACITY.md.")
	run := capacity.Capacity{Logger: slog.New(slog.DiscardHandler)}
	var page string
	c.Flag("length", "Length of the measurement of each size.").Default("2s").DurationVar(&run.Duration)
	c.Flag("page", "Page in which the table of measurements is replaced.").ExistingFileVar(&page)
	c.Flag("settle", "Settling time before each measurement.").Default("1500ms").DurationVar(&run.Settle)
	return command{name: "capacity", run: func(ctx context.Context, stdout, stderr io.Writer) error {
		run.Progress = stderr
		slopes, err := run.Run(ctx)
		if err != nil {
			return err
		}
		table := capacity.Table(slopes)
		fmt.Fprint(stdout, table)
		if page == "" {
			return nil
		}
		return replaceTable(page, table)
	}}
}

// replaceTable replaces the table of measurements in a page.
func replaceTable(file, table string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	replaced, err := capacity.ReplaceTable(string(text), table)
	if err != nil {
		return err
	}
	const pageMode = 0o644
	return os.WriteFile(file, []byte(replaced), pageMode) //nolint:gosec // The operator names the page.
}
