package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

func addDocumentGet(parent *kingpin.CmdClause) command {
	cmd := parent.Command("get", "Print the document of a service; its revision goes to standard error.\n\nExample: nutmegway document get reviewer > reviewer.ini")
	service := cmd.Arg("service", "Name of the service.").Required().String()
	revision := cmd.Flag("revision", "Revision to print; default is the one in force.").Int64()
	admin := addAdminFlags(cmd)
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, stderr io.Writer) error {
		client, err := admin.client()
		if err != nil {
			return err
		}
		document, err := client.Get(ctx, *service, *revision)
		if err != nil {
			return err
		}
		return writeOutput(stdout, admin.output, document, func(w io.Writer) {
			fmt.Fprintf(stderr, "service=%s revision=%d author=%s\n", document.Service, document.Revision, document.Author)
			fmt.Fprint(w, document.Text)
		})
	}}
}
