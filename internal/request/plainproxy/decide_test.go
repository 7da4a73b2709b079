package plainproxy_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/request/plainproxy"
)

func TestDecide(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/decide.txtar")
	is.New(t).NoErr(err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			is := is.New(t)
			lines := strings.Split(strings.TrimSpace(string(file.Data)), "\n")
			is.Equal(len(lines), 2)
			is.Equal(string(plainproxy.Decide(parseState(t, lines[0]))), lines[1])
		})
	}
}

// parseState parses a line of key=value pairs.
func parseState(t *testing.T, line string) plainproxy.AttemptState {
	t.Helper()
	s := plainproxy.AttemptState{Attempts: 1, BodyReplayable: true, Deadline: time.Unix(1, 0), Now: time.Unix(0, 0), ServersLeft: true}
	for pair := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(pair, "=")
		var err error
		switch name {
		case "attempts":
			s.Attempts, err = strconv.Atoi(value)
		case "body":
			s.BodyReplayable = value != "spent"
		case "deadline":
			s.Now = s.Deadline
		case "kind":
			s.Kind = kind.Kind(value)
		case "ran":
			s.Ran = kind.Ran(value)
		case "repeat":
			s.Repeat = document.RepeatPolicy(value)
		case "servers":
			s.ServersLeft = value != "none"
		case "status":
			s.Status, err = strconv.Atoi(value)
		}
		is.New(t).NoErr(err)
	}
	return s
}
