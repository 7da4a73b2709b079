package schedule_test

import (
	"bufio"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/rollout/sample"
	"github.com/nutmegway/nutmegway/internal/rollout/schedule"
)

// TestPolicyReplay checks policies against the states under testdata. Each line of
// a case sets a part of the state; the "want-" lines give the expected decision.
func TestPolicyReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d files testdata/*.txtar, want at least 1: %v", len(files), err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) { replay(t, string(f.Data)) })
		}
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// replay builds a state from the lines of testCase and checks the decisions.
func replay(t *testing.T, testCase string) {
	t.Helper()
	is := is.New(t)
	state := schedule.State{Engines: 4, Now: start.Add(time.Minute), Published: 1, TokenRate: 40, Window: 100}
	var policy schedule.Policy = schedule.Predictive{}
	lines := bufio.NewScanner(strings.NewReader(testCase))
	for lines.Scan() {
		verb, rest, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		fields := map[string]string{}
		for _, pair := range strings.Fields(rest) {
			key, value, _ := strings.Cut(pair, "=")
			fields[key] = value
		}
		switch verb {
		case "", "#":
		case "attempt":
			addAttempt(t, &state, fields)
		case "group":
			addGroup(t, &state, fields)
		case "policy":
			if rest == "fifo" {
				policy = schedule.FIFO{}
			}
		case "state":
			setState(t, &state, fields)
		case "want-cancel":
			is.Equal(strings.Join(policy.Decide(state).Cancel, " "), rest)
		case "want-starts":
			var got []string
			for _, s := range policy.Decide(state).Starts {
				got = append(got, describe(s))
			}
			is.Equal(strings.Join(got, " "), rest)
		default:
			t.Fatalf("unknown verb %q in line %q", verb, lines.Text())
		}
	}
}

// describe formats a start as in the expected decisions of the test data.
func describe(s schedule.Start) string {
	text := fmt.Sprintf("%s/%d@%d", s.Key.Group, s.Key.Index, s.MinVersion)
	if s.ResumeFrom != "" {
		text += "<" + s.ResumeFrom + "-" + s.Exclude
	}
	if s.Spare > 0 {
		text += "+" + strconv.Itoa(s.Spare)
	}
	return text
}

// number parses a number; an empty text is zero.
func number(t *testing.T, text string) float64 {
	t.Helper()
	if text == "" {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// setState sets fields of the state.
func setState(t *testing.T, state *schedule.State, fields map[string]string) {
	t.Helper()
	for key, text := range fields {
		n := number(t, text)
		switch key {
		case "idle-weight":
			state.CostWeights.IdleWeight = n
		case "mean":
			state.MeanTokens = n
		case "over-ask":
			state.SurplusSamples = int(n)
		case "publish-every":
			state.MeanPublishInterval = time.Duration(n * float64(time.Second))
		case "published":
			state.Published = int64(n)
		case "published-ago":
			state.PublishedAt = state.Now.Add(-time.Duration(n * float64(time.Second)))
		case "staleness-weight":
			state.CostWeights.StalenessWeight = n
		case "step":
			state.StepSize = int(n)
		case "unread":
			state.Unread = int(n)
		case "window":
			state.Window = int(n)
		default:
			t.Fatalf("unknown key %q in a state line", key)
		}
	}
}

// addGroup adds a group. Its first samples are finished, one for each length.
func addGroup(t *testing.T, state *schedule.State, fields map[string]string) {
	t.Helper()
	group := schedule.Group{Sequence: int64(len(state.Groups)), Order: sample.Group{
		ID: fields["id"], MaxTokens: 100, Priority: int(number(t, fields["priority"])),
		SampleCount: int(number(t, fields["samples"])), StalenessBound: int64(number(t, fields["bound"])),
	}}
	if fields["lengths"] != "" {
		for length := range strings.SplitSeq(fields["lengths"], ",") {
			group.Lengths = append(group.Lengths, int(number(t, length)))
		}
	}
	for i := len(group.Lengths); i < group.Order.SampleCount; i++ {
		group.Samples = append(group.Samples, schedule.Sample{Index: i})
	}
	state.Groups = append(state.Groups, group)
}

// addAttempt adds a running attempt to a sample of the last group. Times are given
// in seconds before now.
func addAttempt(t *testing.T, state *schedule.State, fields map[string]string) {
	t.Helper()
	ago := func(key string) time.Time {
		return state.Now.Add(-time.Duration(number(t, fields[key]) * float64(time.Second)))
	}
	attempt := schedule.Attempt{
		ID: fields["id"], Server: fields["server"], StartedAt: ago("started"),
		OldestVersion: int64(number(t, fields["oldest"])), Tokens: int(number(t, fields["tokens"])),
	}
	if attempt.Tokens > 0 {
		attempt.FirstChunkAt, attempt.LastChunkAt = ago("first"), ago("last")
	}
	group := &state.Groups[len(state.Groups)-1]
	for i := range group.Samples {
		if group.Samples[i].Index == int(number(t, fields["index"])) {
			group.Samples[i].Attempts = append(group.Samples[i].Attempts, attempt)
		}
	}
}
