package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/entry/adminapi"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

func addDocumentDiff(parent *kingpin.CmdClause) command {
	cmd := parent.Command("diff", "Print the difference between two revisions of a document, or between a revision and a file.\n\nExample: nutmegway document diff reviewer --file reviewer.ini")
	service := cmd.Arg("service", "Name of the service.").Required().String()
	from := cmd.Flag("from", "Older revision; default is the one in force.").Int64()
	to := cmd.Flag("to", "Newer revision; default is the one in force.").Int64()
	file := cmd.Flag("file", "File to compare with instead of a newer revision.").String()
	admin := addAdminFlags(cmd)
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, _ io.Writer) error {
		client, err := admin.client()
		if err != nil {
			return err
		}
		older, err := client.Get(ctx, *service, *from)
		if err != nil {
			return err
		}
		newerName, newer, err := newerText(ctx, client, *service, *to, *file)
		if err != nil {
			return err
		}
		fmt.Fprint(stdout, document.Diff(fmt.Sprintf("revision %d", older.Revision), older.Text, newerName, newer))
		return nil
	}}
}

// newerText returns the name and the text of the newer side of the comparison: the
// file, or the revision if no file is given.
func newerText(ctx context.Context, client adminapi.Client, service string, revision int64, file string) (name, text string, err error) {
	if file != "" {
		content, err := os.ReadFile(file)
		return file, string(content), kind.Wrap(kind.BadRequest, err)
	}
	newer, err := client.Get(ctx, service, revision)
	return fmt.Sprintf("revision %d", newer.Revision), newer.Text, err
}
