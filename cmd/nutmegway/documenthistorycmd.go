package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func addDocumentHistory(parent *kingpin.CmdClause) command {
	cmd := parent.Command("history", "List the edits of a document, newest first.\n\nExample: nutmegway document history reviewer")
	service := cmd.Arg("service", "Name of the service.").Required().String()
	admin := addAdminFlags(cmd)
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, _ io.Writer) error {
		client, err := admin.client()
		if err != nil {
			return err
		}
		history, err := client.History(ctx, *service)
		if err != nil {
			return err
		}
		return writeOutput(stdout, admin.output, history, func(w io.Writer) {
			for _, revision := range history {
				fmt.Fprintf(w, "revision=%d at=%s author=%s change-id=%s\n", revision.Revision, revision.At.Format(time.RFC3339), revision.Author, revision.ChangeID)
			}
		})
	}}
}
