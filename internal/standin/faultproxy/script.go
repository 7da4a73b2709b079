package faultproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors in fault scripts.
var Error = errs.Class("fault script")

// Step is a change of one link at an offset from the start of the script.
type Step struct {
	At   time.Duration
	Link string
	// Fault replaces the fault of the link unless Reset is true. The zero Fault clears it.
	Fault Fault
	// Reset closes the link's connections with a TCP reset.
	Reset bool
}

// ParseScript reads steps, one per line: "AT LINK ACTION [VALUE]". The actions
// are bandwidth BYTES-A-SECOND, blackhole, clear, delay DURATION, half-open,
// lose-reply, refuse and reset. Empty lines and lines that start with # are
// skipped.
func ParseScript(r io.Reader) ([]Step, error) {
	var steps []Step
	scanner := bufio.NewScanner(r)
	for number := 1; scanner.Scan(); number++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		step, err := parseStep(fields)
		if err != nil {
			return nil, Error.New("line %d: %w", number, err)
		}
		steps = append(steps, step)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, Error.Wrap(scanner.Err())
}

func parseStep(fields []string) (Step, error) {
	if len(fields) < 3 {
		return Step{}, errs.New("got %d fields, want AT LINK ACTION [VALUE]", len(fields))
	}
	at, err := time.ParseDuration(fields[0])
	if err != nil {
		return Step{}, err
	}
	value := strings.Join(fields[3:], " ")
	step := Step{At: at, Link: fields[1]}
	switch action := fields[2]; action {
	case "bandwidth":
		step.Fault.Bandwidth, err = strconv.Atoi(value)
	case "blackhole":
		step.Fault.Blackhole = true
	case "clear":
	case "delay":
		step.Fault.Delay, err = time.ParseDuration(value)
	case "half-open":
		step.Fault.HalfOpen = true
	case "lose-reply":
		step.Fault.LoseReply = true
	case "refuse":
		step.Fault.Refuse = true
	case "reset":
		step.Reset = true
	default:
		return Step{}, errs.New("unknown action %q", action)
	}
	return step, err
}

// String returns the step as a line of a script.
func (s Step) String() string {
	action := "clear"
	switch {
	case s.Reset:
		action = "reset"
	case s.Fault.Bandwidth > 0:
		action = fmt.Sprintf("bandwidth %d", s.Fault.Bandwidth)
	case s.Fault.Blackhole:
		action = "blackhole"
	case s.Fault.Delay > 0:
		action = "delay " + s.Fault.Delay.String()
	case s.Fault.HalfOpen:
		action = "half-open"
	case s.Fault.LoseReply:
		action = "lose-reply"
	case s.Fault.Refuse:
		action = "refuse"
	}
	return fmt.Sprintf("%s %s %s", s.At, s.Link, action)
}

// RandomScript returns a script with count faults that start on random links within
// length. A fault lasts at most a quarter of length; the link's connections are then
// reset and its fault is cleared, even if another fault of the link has begun meanwhile.
// The same seed gives the same script.
func RandomScript(seed uint64, links []string, count int, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := []Fault{
		{Blackhole: true},
		{Delay: 20 * time.Millisecond},
		{HalfOpen: true},
		{LoseReply: true},
		{Refuse: true},
		{Bandwidth: 100_000},
	}
	var steps []Step
	for range count {
		at := time.Duration(random.Int64N(int64(length))).Round(time.Millisecond)
		link := links[random.IntN(len(links))]
		fault := kinds[random.IntN(len(kinds))]
		end := at + time.Duration(random.Int64N(int64(length/4))).Round(time.Millisecond)
		steps = append(steps, Step{At: at, Link: link, Fault: fault}, Step{At: end, Link: link, Reset: true}, Step{At: end, Link: link})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// RunScript applies the steps, which must be sorted by time, to their links when they are
// due. It returns an error if a step names a link that links does not contain, and nil
// early if ctx ends.
func RunScript(ctx context.Context, steps []Step, links map[string]*Proxy) error {
	start := time.Now()
	for _, step := range steps {
		timer := time.NewTimer(time.Until(start.Add(step.At)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		proxy, ok := links[step.Link]
		if !ok {
			return Error.New("step at %s names unknown link %q", step.At, step.Link)
		}
		if step.Reset {
			proxy.ResetAll()
			continue
		}
		proxy.SetFault(step.Fault)
	}
	return nil
}
