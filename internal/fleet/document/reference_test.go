package document_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

var referenceRow = regexp.MustCompile(`(?m)^\| ([a-z]+)\.([a-z-]+) \| ([^|]+) \|`)

// TestReferenceDefaultsMatch sets each key to the default that the reference page
// lists; the document must parse to the same result as one without the key.
func TestReferenceDefaultsMatch(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/reference/document.md")
	is.NoErr(err)
	rows := referenceRow.FindAllStringSubmatch(string(page), -1)
	is.True(len(rows) > 15)
	for _, row := range rows {
		section, key, value := row[1], row[2], strings.TrimSpace(row[3])
		if value == "required" || value == "none" || strings.Contains(value, " ") {
			continue
		}
		t.Run(section+"."+key, func(t *testing.T) {
			is := is.New(t)
			plain := "[service]\nkind = model-engine\nname = reviewer\nteam = brazos\n"
			want, mistakes := document.Parse([]byte(plain))
			is.Equal(len(mistakes), 0)
			got, mistakes := document.Parse(fmt.Appendf(nil, "%s[%s]\n%s = %s\n", plain, section, key, value))
			is.Equal(len(mistakes), 0)
			is.Equal(got, want)
		})
	}
}
