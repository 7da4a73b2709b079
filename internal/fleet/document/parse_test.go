package document_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

var update = flag.Bool("update", false, "write the reported mistakes to testdata/parse.txtar")

func TestParseReportsEveryMistake(t *testing.T) {
	const file = "testdata/parse.txtar"
	archive, err := txtar.ParseFile(file)
	is.New(t).NoErr(err)
	for i := 0; i+1 < len(archive.Files); i += 2 {
		source, want := archive.Files[i], &archive.Files[i+1]
		name := strings.TrimSuffix(source.Name, ".ini")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(want.Name, name+".mistakes")
			var found bytes.Buffer
			_, mistakes := document.Parse(source.Data)
			for _, mistake := range mistakes {
				found.WriteString(mistake.String() + "\n")
			}
			if *update {
				want.Data = found.Bytes()
				return
			}
			is.Equal(found.String(), string(want.Data))
		})
	}
	if *update {
		is.New(t).NoErr(os.WriteFile(file, txtar.Format(archive), 0o600))
	}
}

func TestMalformedDocumentsAreRejectedWithLine(t *testing.T) {
	valid := "[service]\nkind = plain\nname = portal\nteam = halvorsen\n"
	cases := map[string]string{
		"control character": valid + "[retry]\nbudget = 0.1\x1b[2J\n",
		"invalid utf-8":     valid + "[retry]\nbudget = \xff\n",
		"long line":         valid + "[retry]\nbudget = " + strings.Repeat("9", 200_000) + "\n",
		"megabyte":          valid + strings.Repeat("# comment\n", 110_000),
		"nul":               valid + "[retry]\nbudget = 0\x00\n",
		"many sections":     valid + strings.Repeat("[x]\n", 50_000),
		"self reference":    valid + "[retry]\nbudget = %(budget)s%(budget)s\n",
		"utf-16":            "\xff\xfe[\x00s\x00]\x00",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, mistakes := document.Parse([]byte(text))
			is.True(len(mistakes) > 0)
			is.True(mistakes[0].Line > 0)
			message := document.InvalidError(mistakes).Error()
			is.True(len(message) < 100_000)
			is.True(kind.Is(document.InvalidError(mistakes), kind.InvalidDocument))
		})
	}
}

func TestFirstMatchingRuleApplies(t *testing.T) {
	is := is.New(t)
	retry := document.Retry{Default: document.RepeatNever, Rules: []document.RepeatRule{
		{Method: "POST", PathPrefix: "/plots/book", Repeat: document.RepeatNever},
		{Method: "*", PathPrefix: "/plots/", Repeat: document.RepeatAlways},
	}}
	is.Equal(retry.RepeatFor("POST", "/plots/book/7"), document.RepeatNever)
	is.Equal(retry.RepeatFor("POST", "/plots/bookings"), document.RepeatAlways)
	is.Equal(retry.RepeatFor("GET", "/plots"), document.RepeatAlways)
	is.Equal(retry.RepeatFor("GET", "/plotsam"), document.RepeatNever)
}

func FuzzParse(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/parse.txtar")
	is.New(f).NoErr(err)
	for _, file := range archive.Files {
		f.Add(file.Data)
	}
	f.Add([]byte("[service]\nkind=plain\nname=a\nteam=b\n[repeat \"GET /\"]\nrepeat=always"))
	f.Add([]byte("\xef\xbb\xbf[service]\n-=1\n`a`=`"))
	f.Fuzz(func(t *testing.T, text []byte) {
		is := is.New(t)
		d, mistakes := document.Parse(text)
		for _, mistake := range mistakes {
			is.True(mistake.Line > 0)
			is.True(mistake.Line <= bytes.Count(text, []byte("\n"))+1)
		}
		if len(mistakes) > 0 {
			return
		}
		is.True(d.Service.Name != "" && d.Service.Team != "")
		is.True(d.Admission.QueueLimit >= 0 && d.Retry.Budget >= 0 && d.Retry.Budget <= 1)
	})
}
