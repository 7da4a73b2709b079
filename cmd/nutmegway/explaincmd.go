package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/logline"
)

func addExplain(app *kingpin.Application) command {
	cmd := app.Command("explain", "Print the log lines about one request and the related events of hosts and servers, from the logs of several hosts in order of time.\n\nExample: nutmegway explain --id 9c41d07be2a35f68 host-*.log")
	id := cmd.Flag("id", "ID of a request, an item or a batch.").Required().String()
	files := cmd.Arg("file", "Log files, one for each host.").Required().Strings()
	return command{name: cmd.FullCommand(), run: func(_ context.Context, stdout, _ io.Writer) error {
		return explain(stdout, *id, *files)
	}}
}

// explain writes the log lines that mention the ID and the related events of hosts and
// servers, in order of time.
func explain(w io.Writer, id string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	timeline := logline.Timeline(lines, id)
	if len(timeline) == 0 {
		return kind.New(kind.NotFound, "no log line in %d files mentions %q", len(files), id)
	}
	for _, line := range timeline {
		fmt.Fprintln(w, line)
	}
	return nil
}

func readLogs(files []string) ([]logline.Line, error) {
	var lines []logline.Line
	for _, path := range files {
		read, err := readLog(path)
		if err != nil {
			return nil, kind.Wrap(kind.BadRequest, err)
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(path string) ([]logline.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return logline.Read(path, file)
}
