package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/rollout/criticalpath"
)

func addCriticalPath(app *kingpin.Application) command {
	cmd := app.Command("critical-path", "Print what the steps of trainers waited for, from the logs of all hosts: for each batch the time of the last item of its awaited groups by cause, and the sums of all batches.\n\nExample: nutmegway critical-path --batch 7c41e09b52d6a3f8 host-*.log")
	id := cmd.Flag("batch", "ID of a batch; all batches if not given.").String()
	files := cmd.Arg("file", "Log files, one for each host.").Required().Strings()
	return command{name: cmd.FullCommand(), run: func(_ context.Context, stdout, _ io.Writer) error {
		return criticalPath(stdout, *id, *files)
	}}
}

// criticalPath writes a line for each batch and, without an id, one with the sums.
func criticalPath(w io.Writer, id string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	var paths []criticalpath.Path
	for _, p := range criticalpath.Find(lines) {
		if id == "" || p.Batch == id {
			paths = append(paths, p)
		}
	}
	if len(paths) == 0 {
		return kind.New(kind.NotFound, "no batch with complete groups in %d files", len(files))
	}
	for _, p := range paths {
		fmt.Fprintf(w, "batch=%s step=%s submitted=%s item=%s total=%s%s\n", p.Batch, p.Step,
			p.Submitted.Format("15:04:05.000"), p.Item, p.Total().Round(time.Millisecond), formatCauses(p.Spent))
	}
	if id == "" {
		fmt.Fprintf(w, "batches=%d%s\n", len(paths), formatCauses(criticalpath.Sum(paths)))
	}
	return nil
}

// formatCauses formats the times that are not zero, in the order of the causes.
func formatCauses(spent map[criticalpath.Cause]time.Duration) string {
	var text strings.Builder
	for _, cause := range criticalpath.Causes() {
		if spent[cause] > 0 {
			fmt.Fprintf(&text, " %s=%s", cause, spent[cause].Round(time.Millisecond))
		}
	}
	return text.String()
}
