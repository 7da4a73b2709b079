package main

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/lab/catalog"
)

func addReferenceCommand(app *kingpin.Application) command {
	cmd := app.Command("reference", "Generate the reference pages of metrics and log events from the source.\n\nExample: nutmegway-lab reference --root .")
	root := cmd.Flag("root", "Root of the source tree.").Default(".").ExistingDir()
	return command{name: cmd.FullCommand(), run: func(context.Context, io.Writer, io.Writer) error {
		c, err := catalog.Read(*root)
		if err != nil {
			return err
		}
		folder := filepath.Join(*root, "docs", "reference")
		if err := writePage(filepath.Join(folder, "log-events.md"), c.WriteEvents); err != nil {
			return err
		}
		return writePage(filepath.Join(folder, "metrics.md"), c.WriteMetrics)
	}}
}

// writePage creates or replaces the file with the output of write.
func writePage(path string, write func(io.Writer)) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	write(file)
	return file.Close()
}
