package owner_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
)

// trainer submits groups, reads its stream and keeps the samples received so
// far.
type trainer struct {
	name    string
	fixture *fixture
	// host is the index of the node that requests go to.
	host   int
	cursor int64
	// received holds the newest line read at each position.
	received map[int64][]byte
	samples  map[sample.Key]sample.Sample
	// conflicts lists violations of the stream's guarantees.
	conflicts []string
}

func (f *fixture) trainer(name string) *trainer {
	return &trainer{fixture: f, name: name, received: map[int64][]byte{}, samples: map[sample.Key]sample.Sample{}}
}

func (tr *trainer) url(path string) string {
	for tr.fixture.nodes[tr.host].dead.Load() {
		tr.host = (tr.host + 1) % len(tr.fixture.nodes)
	}
	return tr.fixture.nodes[tr.host].api.URL + "/v1/services/" + service + "/trainers/" + tr.name + "/" + path
}

// post sends body to one node after the other until it is accepted. A refusal
// without a retry time is final.
func (tr *trainer) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, tr.url(path), bytes.NewReader(data))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil && response.StatusCode == http.StatusAccepted {
			return response.Body.Close()
		}
		if err == nil {
			refused := httperror.Read(response)
			_ = response.Body.Close()
			if refused.RetryAfter == 0 {
				return refused
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		tr.host = (tr.host + 1) % len(tr.fixture.nodes)
		time.Sleep(50 * time.Millisecond)
	}
}

// read sends one read request and accepts the lines of its response.
func (tr *trainer) read(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, tr.url(fmt.Sprintf("samples?cursor=%d&wait=300ms", tr.cursor)), http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	if response.StatusCode != http.StatusOK {
		return httperror.Read(response)
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := tr.accept(line); err != nil {
			return err
		}
	}
}

// accept records one line of the stream, whose position must be the cursor. A
// void line replaces a sample that was read before at its position.
func (tr *trainer) accept(line []byte) error {
	var s sample.Sample
	if err := json.Unmarshal(line, &s); err != nil {
		return err
	}
	if s.Position != tr.cursor {
		return fmt.Errorf("stream line at position %d, expected %d", s.Position, tr.cursor)
	}
	previous, repeated := tr.received[s.Position]
	switch {
	case repeated && !s.Void && !bytes.Equal(previous, line):
		tr.conflicts = append(tr.conflicts, fmt.Sprintf("position %d: the line changed from %q to %q", s.Position, previous, line))
	case repeated && s.Void:
		var old sample.Sample
		if json.Unmarshal(previous, &old) == nil && tr.samples[old.Key()].Position == s.Position {
			delete(tr.samples, old.Key())
		}
	}
	tr.received[s.Position] = bytes.Clone(line)
	tr.cursor++
	if s.Void {
		return nil
	}
	if other, ok := tr.samples[s.Key()]; ok && other.Position != s.Position {
		tr.conflicts = append(tr.conflicts, fmt.Sprintf("sample %v at positions %d and %d", s.Key(), other.Position, s.Position))
	}
	tr.samples[s.Key()] = s
	return nil
}

// readUntil reads until the trainer has count samples, changing to the next node
// after each failed read.
func (tr *trainer) readUntil(ctx context.Context, count int) error {
	for len(tr.samples) < count {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%w: read %d of %d samples", err, len(tr.samples), count)
		}
		if err := tr.read(ctx); err != nil {
			tr.host = (tr.host + 1) % len(tr.fixture.nodes)
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// verify checks the samples against the text and token count that the engines
// generate for each prompt and seed.
func (tr *trainer) verify(t *testing.T, groups []sample.Group) {
	t.Helper()
	is := is.New(t)
	is.Equal(tr.conflicts, nil)
	for _, g := range groups {
		for i := range g.SampleCount {
			s, ok := tr.samples[sample.Key{Group: g.ID, Index: i}]
			is.True(ok) // the sample is lost
			text, tokens := standinengine.ExpectedCompletion(g.Prompt, g.Seed+int64(i), g.MaxTokens)
			is.Equal(s.Text, text)
			is.Equal(s.Tokens, tokens)
			is.True(len(s.Spans) > 0)
			is.Equal(s.Spans[len(s.Spans)-1].To, tokens)
		}
	}
}

func makeGroups(count, tokens int) []sample.Group {
	const samples = 4
	groups := make([]sample.Group, count)
	for i := range groups {
		groups[i] = sample.Group{
			ID: fmt.Sprintf("group-%03d", i), MaxTokens: tokens, Prompt: fmt.Sprintf("Assess extension request %d", i),
			SampleCount: samples, Seed: int64(1000 * i), StalenessBound: 2,
		}
	}
	return groups
}
