package criticalpath_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/base/logline"
	"github.com/nutmegway/nutmegway/internal/rollout/criticalpath"
)

// TestFind compares the critical paths of the recorded lines of each case with the
// expected ones.
func TestFind(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d test cases in testdata, want at least 1 (error: %v)", len(files), err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			var lines []logline.Line
			var want string
			for _, f := range txtar.Parse(data).Files {
				if f.Name == "paths" {
					want = string(f.Data)
					continue
				}
				read, err := logline.Read(f.Name, strings.NewReader(string(f.Data)))
				is.NoErr(err)
				lines = append(lines, read...)
			}
			var got strings.Builder
			for _, p := range criticalpath.Find(lines) {
				fmt.Fprintf(&got, "%s step %s item %s %s\n", p.Batch, p.Step, p.Item, p.Total())
				for _, cause := range criticalpath.Causes() {
					if spent := p.Spent[cause]; spent > 0 {
						fmt.Fprintf(&got, "  %s %s\n", cause, spent.Round(time.Millisecond))
					}
				}
			}
			is.Equal(got.String(), want)
		})
	}
}
