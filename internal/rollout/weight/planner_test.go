package weight

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
)

// TestSwapPlannerReplaysTraces replays the traces under testdata. A line that
// starts with "at" sets the time in milliseconds since the start, one that
// starts with "want" checks the result, and the other lines are settings and
// events.
func TestSwapPlannerReplaysTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces in testdata:", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range archive.Files {
				t.Run(f.Name, func(t *testing.T) { replay(t, string(f.Data)) })
			}
		})
	}
}

type replayer struct {
	is         *is.I
	now        time.Time
	start      time.Time
	planner    SwapPlanner
	leaseUntil time.Time
	// orders is the last version that each server was ordered to load.
	orders map[string]int64
}

func replay(t *testing.T, trace string) {
	t.Helper()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &replayer{
		is: is.New(t), start: start, leaseUntil: start.Add(time.Hour), orders: map[string]int64{},
		planner: SwapPlanner{FencingToken: 1, Random: rand.New(rand.NewPCG(1, 2))},
	}
	lines := bufio.NewScanner(strings.NewReader(trace))
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 0 && fields[0] != "#" {
			t.Log(lines.Text())
			r.step(t, fields)
		}
	}
}

func (r *replayer) step(t *testing.T, fields []string) {
	t.Helper()
	number := func(i int) int64 {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		r.is.NoErr(err)
		return n
	}
	switch fields[0] {
	case "at":
		r.now = r.start.Add(time.Duration(number(1)) * time.Millisecond)
	case "floor":
		floor, err := strconv.ParseFloat(fields[1], 64)
		r.is.NoErr(err)
		r.planner.CapacityFloor = floor
	case "unreachable":
		r.planner.HandleUnreachable(fields[1])
	case "order": // send the due orders to the given servers, in this sequence
		for _, id := range fields[1:] {
			if order, ok := r.planner.NextOrder(r.now, r.leaseUntil, id); ok {
				r.orders[id] = order.Version
			}
		}
	case "report": // report ID VERSION LOADING START, with START in seconds
		r.planner.HandleStatus(r.now, fields[1], engine.Status{
			Version: number(2), Loading: number(3), StartedAt: r.start.Add(time.Duration(number(4)) * time.Second),
		})
	case "outcome":
		outcomes := map[string]Outcome{"accepted": OutcomeAccepted, "refused": OutcomeRefused, "unknown": OutcomeUnknown}
		r.planner.HandleOutcome(r.now, fields[1], outcomes[fields[2]])
	case "servers":
		r.planner.SetServers(fields[1:])
	case "target":
		r.planner.Target = number(1)
	case "lease-until":
		r.leaseUntil = r.start.Add(time.Duration(number(1)) * time.Millisecond)
	case "want-excluded":
		r.is.Equal(strings.Join(r.planner.Excluded(), " "), strings.Join(fields[1:], " "))
	case "want-orders": // the orders since the last want-orders
		var got []string
		for _, id := range []string{"a", "b", "c", "d"} {
			if v, ok := r.orders[id]; ok {
				got = append(got, fmt.Sprintf("%s:%d", id, v))
			}
		}
		r.is.Equal(strings.Join(got, " "), strings.Join(fields[1:], " "))
		r.orders = map[string]int64{}
	default:
		t.Fatalf("unknown command %q in trace", fields[0])
	}
}
