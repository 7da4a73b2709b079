// Package trainer implements a stand-in for a trainer. It submits groups, reads its
// samples with a cursor, publishes weight versions, and checks each sample against the
// ground truth of the engine stand-ins.
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

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
)

const (
	maxResponseBytes = 1 << 30
	longPollWait     = 2 * time.Second
	retryInterval    = 100 * time.Millisecond
)

// Group is the body of a request for samples.
type Group struct {
	// Accepted is false if the request was refused or never got a response.
	Accepted       bool   `json:"-"`
	ID             string `json:"id"`
	MaxTokens      int    `json:"max-tokens"`
	Prompt         string `json:"prompt"`
	SampleCount    int    `json:"sample-count"`
	Seed           int64  `json:"seed"`
	StalenessBound int64  `json:"staleness-bound"`
}

// Span is the range of tokens from From up to, but not including, To that a weight
// version generated.
type Span struct {
	From    int   `json:"from"`
	To      int   `json:"to"`
	Version int64 `json:"version"`
}

// Sample is one line of the stream of samples.
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
	// Published is the newest version that was confirmed before the read started.
	Published int64
}

// Versions allocates the numbers of the versions that the trainers of a model publish.
type Versions struct {
	confirmed atomic.Int64
	last      atomic.Int64
}

// Next allocates and returns the next number.
func (v *Versions) Next() int64 { return v.last.Add(1) }

// SetInitial sets number as the last allocated and the newest confirmed version.
func (v *Versions) SetInitial(number int64) {
	v.last.Store(number)
	v.confirmed.Store(number)
}

// Confirm records that the publication of number was accepted.
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

// Trainer is a stand-in for one trainer. Its exported fields must be set before Run.
type Trainer struct {
	// StepsAhead is the number of further steps whose groups are submitted before the
	// samples of the current step have arrived.
	StepsAhead int
	Caller     *caller.Caller
	// GroupsPerStep is the number of groups that each step waits for.
	GroupsPerStep int
	MaxTokens     int
	Name          string
	// Prompt returns the prompt of a group. Nil selects a short prompt that contains
	// the id.
	Prompt func(id string) string
	// Publish makes the trainer publish a new version at the end of each step.
	Publish        bool
	SampleCount    int
	Service        string
	StalenessBound int64
	// Steps is the number of steps to run; zero means until ctx ends.
	Steps int
	// TrainTime is the simulated time of computation after each step.
	TrainTime time.Duration
	// Versions is shared by the trainers of a model.
	Versions *Versions

	mu      sync.Mutex
	cursor  int64
	groups  map[string]Group
	idle    time.Duration
	missing map[string]int
	// submittedSteps is the number of steps whose groups have been submitted.
	submittedSteps int
	// stepOf is the step of each group.
	stepOf  map[string]int
	reads   int
	records []Record
	steps   int
}

// Run runs until Steps steps are done or ctx ends.
func (t *Trainer) Run(ctx context.Context) error {
	for step := 0; (t.Steps == 0 || step < t.Steps) && ctx.Err() == nil; step++ {
		begin := time.Now()
		t.submitAhead(ctx, step)
		t.readUntilComplete(ctx, step)
		t.mu.Lock()
		t.idle += time.Since(begin)
		if !t.hasMissing(step) {
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
func (t *Trainer) Finish(ctx context.Context) { t.readUntilComplete(ctx, math.MaxInt) }

// submitAhead submits the groups of step and of the next StepsAhead steps, unless they
// have been submitted before.
func (t *Trainer) submitAhead(ctx context.Context, step int) {
	last := step + t.StepsAhead
	if t.Steps > 0 {
		last = min(last, t.Steps-1)
	}
	for ; t.submittedSteps <= last; t.submittedSteps++ {
		t.submit(ctx, t.submittedSteps)
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
		t.recordGroup(group, step)
		group.Accepted = t.post(ctx, "groups", group)
		t.recordGroup(group, step)
	}
}

func (t *Trainer) prompt(id string) string {
	if t.Prompt == nil {
		return "Assess " + id + "."
	}
	return t.Prompt(id)
}

// recordGroup records the group. It is called before the request is sent, because a
// request whose response is lost may have been accepted, and again with the result.
func (t *Trainer) recordGroup(group Group, step int) {
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

// post retries the request until it is accepted, refused for good, or ctx ends. All
// requests are idempotent.
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
		if outcome.LastAttempt().Refused && outcome.LastAttempt().Kind.Properties().RetryAfter == 0 {
			return false
		}
		if sleep(ctx, retryInterval) != nil {
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

func (t *Trainer) readUntilComplete(ctx context.Context, step int) {
	for ctx.Err() == nil && t.isIncomplete(step) {
		if err := t.read(ctx, step); err != nil {
			_ = sleep(ctx, retryInterval) // The loop ends with ctx.
		}
	}
}

func (t *Trainer) isIncomplete(step int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasMissing(step)
}

// hasMissing reports whether a sample of step or of an earlier step is missing. t.mu
// must be held.
func (t *Trainer) hasMissing(step int) bool {
	for id := range t.missing {
		if t.stepOf[id] <= step {
			return true
		}
	}
	return false
}

// read reads samples until the response ends or no sample of step or of an earlier
// step is missing.
func (t *Trainer) read(ctx context.Context, step int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := t.Caller.Addresses(ctx)
	t.mu.Lock()
	address := addresses[t.reads%len(addresses)]
	target := "http://" + address + t.path("samples?cursor="+strconv.FormatInt(t.cursor, 10)+"&wait="+longPollWait.String())
	t.mu.Unlock()
	published := t.Versions.Confirmed()
	stallTimer := time.AfterFunc(2*longPollWait, cancel)
	defer stallTimer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	response, err := t.httpClient().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	if response.StatusCode != http.StatusOK {
		return httperror.Read(response)
	}
	reader := bufio.NewReader(io.LimitReader(response.Body, maxResponseBytes))
	for t.isIncomplete(step) {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return ignoreEOF(err)
		}
		stallTimer.Reset(2 * longPollWait)
		if err := t.handleLine(line, published); err != nil {
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

func (t *Trainer) handleLine(line []byte, published int64) error {
	var s Sample
	if err := json.Unmarshal(bytes.TrimSpace(line), &s); err != nil {
		return kind.Wrap(kind.BackendFailed, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Position != t.cursor {
		return kind.New(kind.BackendFailed, "sample %s/%d has position %d, want %d", s.Group, s.Index, s.Position, t.cursor)
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

func ignoreEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // The reader returns io.EOF unwrapped.
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

// String returns the trainer's cursor and the number of missing samples by group.
func (t *Trainer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("trainer=%s cursor=%d groups-open=%d %v", t.Name, t.cursor, len(t.missing), t.missing)
}
