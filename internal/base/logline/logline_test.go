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

// TestStory reads the logs of a case and compares the story of its id.
func TestStory(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "*.txtar"))
	if err != nil || len(paths) == 0 {
		t.Fatal("no cases", err)
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
				if f.Name == "story" {
					want = string(f.Data)
					continue
				}
				read, err := logline.Read(f.Name, strings.NewReader(string(f.Data)))
				is.NoErr(err)
				lines = append(lines, read...)
			}
			var got strings.Builder
			for _, line := range logline.Story(lines, strings.TrimSpace(string(archive.Comment))) {
				got.WriteString(line.String() + "\n")
			}
			is.Equal(got.String(), want)
		})
	}
}
