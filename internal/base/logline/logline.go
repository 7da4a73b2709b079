// Package logline reads the log lines that telemetry.NewLogger writes, and
// picks those that tell the story of one request.
package logline

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

var classError = errs.Class("logline")

const (
	// maxLineBytes bounds one line.
	maxLineBytes = 1 << 20
	// around is how long before and after a request the changes of its servers,
	// hosts and store are told. A lease lapses within it.
	around = 3 * time.Second
)

// Line is one event of a process.
type Line struct {
	Attrs map[string]string
	// File names the process.
	File    string
	Message string
	Text    string
	Time    time.Time
}

// Read returns the lines of a log that can be read. Others, such as the trace of
// a crash, are left out.
func Read(file string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			line.File = file
			lines = append(lines, line)
		}
	}
	return lines, classError.Wrap(scanner.Err())
}

// parse reads key=value pairs; values with spaces are quoted.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Attrs: make(map[string]string), Text: text[start:]}
	for rest := line.Text; rest != ""; {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			return Line{}, false
		}
		var value, left string
		if quoted, err := strconv.QuotedPrefix(after); err == nil {
			left = strings.TrimPrefix(after[len(quoted):], " ")
			if value, err = strconv.Unquote(quoted); err != nil {
				return Line{}, false
			}
		} else {
			value, left, _ = strings.Cut(after, " ")
		}
		line.Attrs[key] = value
		rest = left
	}
	at, err := time.Parse(time.RFC3339Nano, line.Attrs["time"])
	if err != nil {
		return Line{}, false
	}
	line.Time, line.Message = at, line.Attrs["msg"]
	return line, line.Message != ""
}

// changes are the messages that tell of servers, hosts and the store, with the
// key that names what has changed; without one they concern the whole process.
var changes = map[string]string{
	"configuration in force":            "",
	"host gone":                         "host",
	"host leaves":                       "",
	"host starts":                       "",
	"owner of batches is silent":        "owner",
	"server changed":                    "server",
	"server entry gone":                 "server",
	"store answers again":               "",
	"store away, other hosts are asked": "",
	"store lost":                        "",
	"store regained":                    "",
}

// Story returns the lines that name id, those of the batches that it belongs to,
// and what happened around them to the servers and hosts that they name, in the
// order of time.
func Story(lines []Line, id string) []Line {
	var direct []Line
	named := make(map[string]bool)
	batches := make(map[string]bool)
	files := make(map[string]bool)
	for _, line := range lines {
		if !names(line, id) {
			continue
		}
		direct = append(direct, line)
		files[line.File] = true
		for _, key := range []string{"server", "owner", "from"} {
			named[line.Attrs[key]] = true
		}
		if b := line.Attrs["batch"]; b != "" {
			batches[b] = true
		}
	}
	if len(direct) == 0 {
		return nil
	}
	slices.SortStableFunc(direct, func(a, b Line) int { return a.Time.Compare(b.Time) })
	from, to := direct[0].Time.Add(-around), direct[len(direct)-1].Time.Add(around)
	story := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if names(line, id) {
			return false
		}
		if batches[line.Attrs["batch"]] && line.Attrs["item"] == "" {
			return false
		}
		key, isChange := changes[line.Message]
		if !isChange || line.Time.Before(from) || line.Time.After(to) || !files[line.File] {
			return true
		}
		return key != "" && !named[line.Attrs[key]]
	})
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

func names(line Line, id string) bool {
	for key, value := range line.Attrs {
		if value == id && key != "msg" {
			return true
		}
	}
	return false
}

// String returns the line with its process, without the keys that it repeats.
func (l Line) String() string {
	_, attrs, _ := strings.Cut(l.Text, " msg=")
	return fmt.Sprintf("%s %s %s", l.Time.Format("15:04:05.000"), l.File, attrs)
}
