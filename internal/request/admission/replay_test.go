package admission_test

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

// TestReplay replays the traces in testdata and compares the decisions of the queue with
// the expected ones. A line of a trace is a time, an action and its arguments.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no traces testdata/*.txtar (error: %v)", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			r := &traceReplay{t: t, ids: map[string]uint64{}, names: map[uint64]string{}}
			for line := range strings.Lines(string(archive.Files[0].Data)) {
				r.step(strings.Fields(line))
			}
			if want := string(archive.Files[1].Data); r.decisions.String() != want {
				t.Errorf("got decisions:\n%swant:\n%s", r.decisions.String(), want)
			}
		})
	}
}

// traceReplay is a queue and the decisions that it has made in a trace.
type traceReplay struct {
	t         *testing.T
	queue     admission.Queue
	ids       map[string]uint64
	names     map[uint64]string
	decisions strings.Builder
}

func (r *traceReplay) step(fields []string) {
	r.t.Helper()
	if len(fields) < 2 {
		return
	}
	at := r.duration(fields[0])
	now := start.Add(at)
	args := map[string]string{}
	for _, field := range fields[2:] {
		key, value, _ := strings.Cut(field, "=")
		args[key] = value
	}
	switch fields[1] {
	case "settings":
		r.queue.Settings = admission.Settings{
			QueueLimit: r.number(args["queue-limit"]), RolloutFloor: float64(r.number(args["floor-percent"])) / 100,
			SlotLimit: r.number(args["slot-limit"]),
		}
	case "report":
		r.queue.ObserveLoad(now, engine.Load{
			Queued: r.number(args["queued"]), Running: r.number(args["running"]), Slots: r.number(args["slots"]),
		})
	case "push":
		r.push(now, at, args)
	case "cancel":
		r.queue.Cancel(r.ids[args["id"]])
	case "done":
		r.queue.Done(r.ids[args["id"]], admission.Outcome{
			Duration: r.duration(args["took"]), Failed: args["failed"] == "true", FirstToken: r.duration(args["first"]), Tokens: r.number(args["tokens"]),
		})
	default:
		r.t.Fatalf("unknown action %q in trace", fields[1])
	}
	r.write(at, r.queue.Next(now))
}

func (r *traceReplay) push(now time.Time, at time.Duration, args map[string]string) {
	item := admission.Item{
		Isolated: args["alone"] == "true", Class: dispatch.Class(args["class"]), Retry: args["repeat"] == "true",
		Share: args["share"], Tokens: r.number(args["tokens"]),
	}
	if args["deadline"] != "" {
		item.Deadline = start.Add(r.duration(args["deadline"]))
	}
	id, decision, err := r.queue.Push(now, item)
	r.write(at, decision)
	if err != nil {
		fmt.Fprintf(&r.decisions, "%s refuse %s %s ran=%s retry-after=%s\n", at, args["id"], err.Kind, err.Ran, err.RetryAfter.Round(time.Millisecond))
		return
	}
	r.ids[args["id"]], r.names[id] = id, args["id"]
}

func (r *traceReplay) write(at time.Duration, decision admission.Decision) {
	for _, refusal := range decision.Refused {
		fmt.Fprintf(&r.decisions, "%s refuse %s %s ran=%s retry-after=%s\n", at, r.names[refusal.ID],
			refusal.Err.Kind, refusal.Err.Ran, refusal.Err.RetryAfter.Round(time.Millisecond))
	}
	for _, id := range decision.Start {
		fmt.Fprintf(&r.decisions, "%s start %s\n", at, r.names[id])
	}
}

func (r *traceReplay) duration(text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return d
}

func (r *traceReplay) number(text string) int {
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return n
}
