// Package logline parses the log lines that telemetry.NewLogger writes and selects those
// that concern one request.
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
	// contextWindow extends the time for which a timeline includes context messages, both
	// before the first and after the last line that mentions the id. It is longer than
	// leases live, so that the expiry of a lease is included.
	contextWindow = 3 * time.Second
)

// Line is a log line of a process. Text is the line from its time on, and Attrs holds all
// its pairs, including time, level and msg.
type Line struct {
	Attrs map[string]string
	// File is the name of the log file, which identifies the process.
	File    string
	Message string
	Text    string
	Time    time.Time
}

// Read returns the lines of a log. It skips text that is not a log line, such as the
// stack trace of a crash.
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

// parse parses a line of key=value pairs, in which values with spaces are quoted. It
// reports whether text is a log line.
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
		var value, next string
		if quoted, err := strconv.QuotedPrefix(after); err == nil {
			next = strings.TrimPrefix(after[len(quoted):], " ")
			if value, err = strconv.Unquote(quoted); err != nil {
				return Line{}, false
			}
		} else {
			value, next, _ = strings.Cut(after, " ")
		}
		line.Attrs[key] = value
		rest = next
	}
	at, err := time.Parse(time.RFC3339Nano, line.Attrs["time"])
	if err != nil {
		return Line{}, false
	}
	line.Time, line.Message = at, line.Attrs["msg"]
	return line, line.Message != ""
}

// contextMessages maps the messages about changes of servers, hosts and the store to the
// attribute that names what has changed. An empty attribute means that the message
// concerns the whole process.
var contextMessages = map[string]string{
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

// Timeline returns the log lines that concern id, sorted by time: the lines that mention
// id, the lines about their batches that concern no single item, and context messages. The
// context messages are those from the same files, within contextWindow, about the whole
// process or about servers and hosts that the lines mentioning id name.
func Timeline(lines []Line, id string) []Line {
	var matching []Line
	components := make(map[string]bool)
	batches := make(map[string]bool)
	files := make(map[string]bool)
	for _, line := range lines {
		if !mentions(line, id) {
			continue
		}
		matching = append(matching, line)
		files[line.File] = true
		for _, key := range []string{"server", "owner", "from"} {
			components[line.Attrs[key]] = true
		}
		if b := line.Attrs["batch"]; b != "" {
			batches[b] = true
		}
	}
	if len(matching) == 0 {
		return nil
	}
	slices.SortStableFunc(matching, func(a, b Line) int { return a.Time.Compare(b.Time) })
	from, to := matching[0].Time.Add(-contextWindow), matching[len(matching)-1].Time.Add(contextWindow)
	timeline := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if mentions(line, id) {
			return false
		}
		if batches[line.Attrs["batch"]] && line.Attrs["item"] == "" {
			return false
		}
		key, isContext := contextMessages[line.Message]
		if !isContext || line.Time.Before(from) || line.Time.After(to) || !files[line.File] {
			return true
		}
		return key != "" && !components[line.Attrs[key]]
	})
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline
}

// mentions reports whether an attribute other than the message has the value id.
func mentions(line Line, id string) bool {
	for key, value := range line.Attrs {
		if value == id && key != "msg" {
			return true
		}
	}
	return false
}

// String returns the line as time of day, file, message and attributes, without the keys
// time, level and msg.
func (l Line) String() string {
	_, attrs, _ := strings.Cut(l.Text, " msg=")
	return fmt.Sprintf("%s %s %s", l.Time.Format("15:04:05.000"), l.File, attrs)
}
