package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

func addErrors(app *kingpin.Application) command {
	cmd := app.Command("errors", "Print the table of error kinds with their HTTP status and exit code.\n\nExample: nutmegway errors")
	return command{name: cmd.FullCommand(), run: func(_ context.Context, stdout, _ io.Writer) error {
		fmt.Fprintln(stdout, "| kind | status | ran | retry after | exit | meaning |")
		fmt.Fprintln(stdout, "| --- | --- | --- | --- | --- | --- |")
		for _, k := range kind.All() {
			properties := k.Properties()
			fmt.Fprintf(stdout, "| %s | %d | %s | %s | %d | %s |\n", k, properties.Status, properties.Ran, properties.RetryAfter, properties.ExitCode, properties.Description)
		}
		return nil
	}}
}
