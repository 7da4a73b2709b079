// Package trainer is a stand-in for a trainer: it submits groups, reads its
// samples with a cursor, publishes versions, and checks each sample against
// what the engine stand-ins counted.
package trainer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
)

const (
	maxAnswer = 1 << 30
	readWait  = 2 * time.Second
	retryWait = 100 * time.Millisecond
)

// Group is the body of an order for samples.
type Group struct {
	// Accepted is false when the answer to the order was lost for good.
	Accepted       bool   `json:"-"`
	ID             string `json:"id"`
	MaxTokens      int    `json:"max-tokens"`
	Prompt         string `json:"prompt"`
	SampleCount    int    `json:"sample-count"`
	Seed           int64  `json:"seed"`
	StalenessBound int64  `json:"staleness-bound"`
}

// Span says which version produced the tokens from From up to To.
type Span struct {
	From    int   `json:"from"`
	To      int   `json:"to"`
	Version int64 `json:"version"`
}

// Sample is one line of the stream.
type Sample struct {
	Group    string `json:"group"`
	Index    int    `json:"index"`
	Position int64  `json:"position"`
	Spans    []Span `json:"spans"`
	Text     string `json:"text"`
	Tokens   int    `json:"tokens"`
	Void     bool   `json:"void"`
}

// Record is a sample as the trainer received it.
type Record struct {
	At     time.Time
	Sample Sample
	// Published is the newest version that was confirmed before the read.
	Published int64
}

// Versions numbers the versions that the trainers of a model publish.
type Versions struct {
	confirmed atomic.Int64
	last      atomic.Int64
}

// Next returns the next number.
func (v *Versions) Next() int64 { return v.last.Add(1) }

// Start makes number the first version in force.
func (v *Versions) Start(number int64) {
	v.last.Store(number)
	v.confirmed.Store(number)
}

// Confirm notes that the publication of number was accepted.
func (v *Versions) Confirm(number int64) {
	for {
		current := v.confirmed.Load()
		if number <= current || v.confirmed.CompareAndSwap(current, number) {
			return
		}
	}
}

// Confirmed returns the newest confirmed version.
func (v *Versions) Confirmed() int64 { return v.confirmed.Load() }

// Trainer is one trainer. The fields are set before Run.
type Trainer struct {
	// Ahead is the number of steps whose groups are ordered before the samples
	// of the current one are there.
	Ahead  int
	Caller *caller.Caller
	// GroupsPerStep is the number of groups that each step waits for.
	GroupsPerStep int
	MaxTokens     int
	Name          string
	// Prompt returns the prompt of a group; nil is a short one with its id.
	Prompt func(id string) string
	// Publish makes each step end with a new version.
	Publish        bool
	SampleCount    int
	Service        string
	StalenessBound int64
	// Steps ends the run; zero goes on until ctx ends.
	Steps int
	// TrainTime is how long the trainer computes between two steps.
	TrainTime time.Duration
	// Versions is shared by the trainers of a model.
	Versions *Versions

	mu      sync.Mutex
	cursor  int64
	groups  map[string]Group
	idle    time.Duration
	missing map[string]int
	// ordered is the number of steps whose groups are submitted.
	ordered int
	// stepOf is the step of each group.
	stepOf  map[string]int
	reads   int
	records []Record
	steps   int
}

// Run trains until Steps are done or ctx ends.
func (t *Trainer) Run(ctx context.Context) error {
	for step := 0; (t.Steps == 0 || step < t.Steps) && ctx.Err() == nil; step++ {
		begin := time.Now()
		t.submitAhead(ctx, step)
		t.collect(ctx, step)
		t.mu.Lock()
		t.idle += time.Since(begin)
		if !t.lacks(step) {
			t.steps++
		}
		t.mu.Unlock()
		if err := sleep(ctx, t.TrainTime); err != nil {
			return nil //nolint:nilerr // The end of ctx ends the training.
		}
		if t.Publish {
			t.publish(ctx)
		}
	}
	return nil
}

// Finish reads until no sample of a submitted group is missing or ctx ends.
func (t *Trainer) Finish(ctx context.Context) { t.collect(ctx, math.MaxInt) }

// submitAhead orders the groups of step and of the steps that Ahead allows.
func (t *Trainer) submitAhead(ctx context.Context, step int) {
	last := step + t.Ahead
	if t.Steps > 0 {
		last = min(last, t.Steps-1)
	}
	for ; t.ordered <= last; t.ordered++ {
		t.submit(ctx, t.ordered)
	}
}

func (t *Trainer) path(rest string) string {
	return "/v1/services/" + url.PathEscape(t.Service) + "/trainers/" + url.PathEscape(t.Name) + "/" + rest
}

func (t *Trainer) submit(ctx context.Context, step int) {
	for i := range t.GroupsPerStep {
		id := fmt.Sprintf("%s-%d-%d", t.Name, step, i)
		group := Group{
			ID: id, MaxTokens: t.MaxTokens, Prompt: t.prompt(id), SampleCount: t.SampleCount,
			Seed: int64(step * t.GroupsPerStep * t.SampleCount), StalenessBound: t.StalenessBound,
		}
		t.note(group, step)
		group.Accepted = t.post(ctx, "groups", group)
		t.note(group, step)
	}
}

func (t *Trainer) prompt(id string) string {
	if t.Prompt == nil {
		return "Assess " + id + "."
	}
	return t.Prompt(id)
}

// note keeps the group before its order is sent, since a lost answer may stand
// for an accepted order.
func (t *Trainer) note(group Group, step int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.groups == nil {
		t.groups = map[string]Group{}
		t.missing = map[string]int{}
		t.stepOf = map[string]int{}
	}
	t.groups[group.ID] = group
	t.stepOf[group.ID] = step
	if group.Accepted {
		t.missing[group.ID] = group.SampleCount
	}
}

// post repeats the order until it is accepted; all orders are idempotent.
func (t *Trainer) post(ctx context.Context, rest string, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	for ctx.Err() == nil {
		outcome := t.Caller.Do(ctx, caller.Request{Body: string(data), Idempotent: true, Method: http.MethodPost, Path: t.path(rest)})
		if outcome.Answered && outcome.Status < http.StatusMultipleChoices {
			return true
		}
		if outcome.Last().Refused && outcome.Last().Kind.Properties().RetryAfter == 0 {
			return false
		}
		if sleep(ctx, retryWait) != nil {
			return false
		}
	}
	return false
}

func (t *Trainer) publish(ctx context.Context) {
	number := t.Versions.Next()
	if t.post(ctx, "versions", struct {
		Version int64 `json:"version"`
	}{Version: number}) {
		t.Versions.Confirm(number)
	}
}

func (t *Trainer) collect(ctx context.Context, step int) {
	for ctx.Err() == nil && t.incomplete(step) {
		if err := t.read(ctx, step); err != nil {
			_ = sleep(ctx, retryWait) // The loop ends with ctx.
		}
	}
}

func (t *Trainer) incomplete(step int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lacks(step)
}

// lacks reports whether a sample of step or an earlier one is missing. The
// lock is held.
func (t *Trainer) lacks(step int) bool {
	for id := range t.missing {
		if t.stepOf[id] <= step {
			return true
		}
	}
	return false
}

// read takes lines until the answer ends or no sample of step is missing.
func (t *Trainer) read(ctx context.Context, step int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := t.Caller.Addresses(ctx)
	t.mu.Lock()
	address := addresses[t.reads%len(addresses)]
	target := "http://" + address + t.path("samples?cursor="+strconv.FormatInt(t.cursor, 10)+"&wait="+readWait.String())
	t.mu.Unlock()
	published := t.Versions.Confirmed()
	stall := time.AfterFunc(2*readWait, cancel)
	defer stall.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	response, err := t.httpClient().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	if response.StatusCode != http.StatusOK {
		return refusal.Read(response)
	}
	reader := bufio.NewReader(io.LimitReader(response.Body, maxAnswer))
	for t.incomplete(step) {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return ignoreEnd(err)
		}
		stall.Reset(2 * readWait)
		if err := t.take(line, published); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trainer) httpClient() *http.Client {
	if t.Caller.HTTP == nil {
		return http.DefaultClient
	}
	return t.Caller.HTTP
}

func (t *Trainer) take(line []byte, published int64) error {
	var s Sample
	if err := json.Unmarshal(bytes.TrimSpace(line), &s); err != nil {
		return kind.Wrap(kind.BackendFailed, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Position != t.cursor {
		return kind.New(kind.BackendFailed, "position %d where %d is due", s.Position, t.cursor)
	}
	t.cursor++
	if s.Void {
		return nil
	}
	t.records = append(t.records, Record{At: time.Now(), Published: published, Sample: s})
	if t.missing[s.Group]--; t.missing[s.Group] <= 0 {
		delete(t.missing, s.Group)
	}
	return nil
}

func ignoreEnd(err error) error {
	if err == io.EOF { //nolint:errorlint // The reader returns it unwrapped at the end.
		return nil
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// String tells how far the trainer has read and what it waits for.
func (t *Trainer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("trainer=%s cursor=%d groups-open=%d %v", t.Name, t.cursor, len(t.missing), t.missing)
}
