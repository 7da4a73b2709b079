package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

func addDocumentCheck(parent *kingpin.CmdClause) command {
	cmd := parent.Command("check", "Check a document file offline and print every mistake with its line.\n\nExample: nutmegway document check reviewer --file reviewer.ini")
	service := cmd.Arg("service", "Name of the service.").Required().String()
	file := cmd.Flag("file", "File with the document.").Required().String()
	return command{name: cmd.FullCommand(), run: func(_ context.Context, stdout, _ io.Writer) error {
		text, err := os.ReadFile(*file)
		if err != nil {
			return kind.Wrap(kind.BadRequest, err)
		}
		d, mistakes := document.Parse(text)
		if len(mistakes) > 0 {
			return document.InvalidError(mistakes)
		}
		if d.Service.Name != *service {
			return kind.New(kind.InvalidDocument, "document in %s is for service %q, expected %q", *file, d.Service.Name, *service)
		}
		fmt.Fprintf(stdout, "service=%s team=%s kind=%s ok\n", d.Service.Name, d.Service.Team, d.Service.Kind)
		return nil
	}}
}
