package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/entry/settings"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// keyColumn matches the first column of a table of keys.
var keyColumn = regexp.MustCompile(`(?m)^\| ([a-z-]+(?: "[^"]+")?\.[A-Za-z0-9-]+) \|`)

// TestReferenceListsAllKeys compares the tables in the reference pages with the keys
// that the code reads.
func TestReferenceListsAllKeys(t *testing.T) {
	documentKeys := append(document.Keys(document.KindModelEngine), document.Keys(document.KindPlain)...)
	slices.Sort(documentKeys)
	for _, tt := range []struct {
		keys []string
		name string
	}{
		{name: "document.md", keys: slices.Compact(documentKeys)},
		{name: "settings.md", keys: settings.Keys()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var listed []string
			for _, match := range keyColumn.FindAllStringSubmatch(readReference(t, tt.name), -1) {
				listed = append(listed, match[1])
			}
			slices.Sort(listed)
			is.Equal(listed, tt.keys)
		})
	}
}

// TestReferenceListsAllErrors compares the reference page with the output of the
// command errors.
func TestReferenceListsAllErrors(t *testing.T) {
	is := is.New(t)
	var table, stderr bytes.Buffer
	is.Equal(run([]string{"errors"}, &table, &stderr), 0)
	is.True(strings.HasSuffix(readReference(t, "errors.md"), table.String()))
}

// TestReferenceListsAllCommands compares the reference page with the output of
// --help-long.
func TestReferenceListsAllCommands(t *testing.T) {
	is := is.New(t)
	var help, stderr bytes.Buffer
	app, _ := newApp(&help, &stderr)
	app.UsageTemplate(kingpin.LongHelpTemplate).Usage(nil)
	is.True(strings.HasSuffix(readReference(t, "commands.md"), "```text\n"+help.String()+"```\n")) // run make reference
}

func readReference(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "reference", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
