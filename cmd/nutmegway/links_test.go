package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var markdownLink = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)

// TestLinks checks that relative links between Markdown pages point to existing
// files.
func TestLinks(t *testing.T) {
	is := is.New(t)
	checked := 0
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range markdownLink.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			checked++
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), match[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", path, match[1])
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(checked > 0)
}
