package idempotency_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/request/idempotency"
)

func TestDecide(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/decide.txtar")
	is.New(t).NoErr(err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			is := is.New(t)
			lines := strings.Split(strings.TrimSpace(string(file.Data)), "\n")
			is.Equal(len(lines), 2) // input and decision
			decision := idempotency.Decide(decisionInput(t, lines[0]))
			is.Equal(strings.TrimSpace(string(decision.Action)+" "+string(decision.Kind)), lines[1])
		})
	}
}

func decisionInput(t *testing.T, line string) idempotency.DecisionInput {
	t.Helper()
	in := idempotency.DecisionInput{Fingerprint: "f"}
	for pair := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(pair, "=")
		seconds, err := strconv.Atoi(value)
		at := time.Unix(int64(seconds), 0)
		switch name {
		case "deadline":
			in.Deadline = at
		case "fingerprint":
			in.Record.Fingerprint, err = value, nil
		case "holder":
			in.Holder, err = idempotency.HolderState(value), nil
		case "now":
			in.Now = at
		case "state":
			in.Record.State, err = idempotency.State(value), nil
		case "waiting-since":
			in.WaitingSince = at
		}
		is.New(t).NoErr(err)
	}
	return in
}
