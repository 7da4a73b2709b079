package logline_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/base/logline"
)

// TestTimeline compares the timeline of an id in the logs of each test case with the
// expected one.
func TestTimeline(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "*.txtar"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("found %d test cases in testdata, want at least 1 (error: %v)", len(paths), err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			archive := txtar.Parse(data)
			var lines []logline.Line
			var want string
			for _, f := range archive.Files {
				if f.Name == "timeline" {
					want = string(f.Data)
					continue
				}
				read, err := logline.Read(f.Name, strings.NewReader(string(f.Data)))
				is.NoErr(err)
				lines = append(lines, read...)
			}
			var got strings.Builder
			for _, line := range logline.Timeline(lines, strings.TrimSpace(string(archive.Comment))) {
				got.WriteString(line.String() + "\n")
			}
			is.Equal(got.String(), want)
		})
	}
}
