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
	cmd := parent.Command("check", "Check a file without an entry host and print every mistake with its line.\n\nExample: nutmegway document check reviewer --file reviewer.ini")
	service := cmd.Arg("service", "The service.").Required().String()
	file := cmd.Flag("file", "The document.").Required().String()
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
			return kind.New(kind.InvalidDocument, "the document is for %q, not for %q", d.Service.Name, *service)
		}
		fmt.Fprintf(stdout, "service=%s team=%s kind=%s ok\n", d.Service.Name, d.Service.Team, d.Service.Kind)
		return nil
	}}
}
