package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/lab/catalog"
)

// TestReferenceIsCurrent compares the generated reference pages with the source. Run
// make reference to update them.
func TestReferenceIsCurrent(t *testing.T) {
	is := is.New(t)
	root := filepath.Join("..", "..")
	c, err := catalog.Read(root)
	is.NoErr(err)
	is.True(len(c.Events) > 0)
	is.True(len(c.Metrics) > 0)
	for _, page := range []struct {
		name  string
		write func(io.Writer)
	}{
		{name: "log-events.md", write: c.WriteEvents},
		{name: "metrics.md", write: c.WriteMetrics},
	} {
		t.Run(page.name, func(t *testing.T) {
			is := is.New(t)
			var want bytes.Buffer
			page.write(&want)
			got, err := os.ReadFile(filepath.Join(root, "docs", "reference", page.name))
			is.NoErr(err)
			is.Equal(string(got), want.String()) // run make reference
		})
	}
}
