package forward_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

// contents admits as its fields say.
type contents struct {
	admission poison.Admission
	answered  int
	err       error
	refuses   bool
}

func (c *contents) Admit(context.Context, uint64) (poison.Admission, error) {
	return c.admission, c.err
}

func (c *contents) Answered(uint64) { c.answered++ }

func (c *contents) Refuses(uint64) bool { return c.refuses }

// TestContentsBoundAnAttempt has three servers that all do the same.
func TestContentsBoundAnAttempt(t *testing.T) {
	errRefused := kind.New(kind.Quarantined, "refused").WithRan(kind.RanNo)
	cases := map[string]struct {
		contents contents
		servers  handler
		wantKind kind.Kind
		wantRuns int
		// wantAnswered is how often the content is cleared.
		wantAnswered int
	}{
		"clear: a second server is asked while the first works":     {servers: silent, wantRuns: 2, wantKind: kind.DeadlineExceeded},
		"suspected: one server after the other":                     {contents: contents{admission: poison.Admission{OneByOne: true}}, servers: silent, wantRuns: 1, wantKind: kind.DeadlineExceeded},
		"suspected: goes on after a broken try":                     {contents: contents{admission: poison.Admission{OneByOne: true}}, servers: reset, wantRuns: 2, wantKind: kind.OutcomeUnknown},
		"refused meanwhile: does not go on after a broken try":      {contents: contents{refuses: true}, servers: reset, wantRuns: 1, wantKind: kind.OutcomeUnknown},
		"refused meanwhile: goes on after servers that took it not": {contents: contents{refuses: true}, servers: refuse, wantRuns: 3, wantKind: kind.Unavailable},
		"refused at once": {contents: contents{err: errRefused}, servers: sound, wantRuns: 0, wantKind: kind.Quarantined},
		"answered":        {servers: sound, wantRuns: 1, wantAnswered: 1},
		"failed by the server, which lives": {
			contents: contents{admission: poison.Admission{OneByOne: true}}, servers: fail, wantRuns: 2, wantAnswered: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := []*server{newServer(t, c.servers), newServer(t, c.servers), newServer(t, c.servers)}
			f := newForwarder(servers...)
			f.Contents = &c.contents
			err := f.Serve(t.Context(), httptest.NewRecorder(), request(), config.Route{
				MaxAttempts: 2, LatencySLO: 50 * time.Millisecond, Repeat: config.RepeatIdempotent,
				Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: 300 * time.Millisecond,
			})
			if c.wantKind == "" {
				is.NoErr(err)
			} else {
				is.True(kind.Is(err, c.wantKind))
			}
			is.Equal(servers[0].count()+servers[1].count()+servers[2].count(), c.wantRuns)
			is.Equal(c.contents.answered, c.wantAnswered)
		})
	}
}

// TestStreamThatBreaksOffClearsNothing breaks a stream after its first event.
func TestStreamThatBreaksOffClearsNothing(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f := newForwarder(s)
	c := &contents{}
	f.Contents = c
	broken := func() (cause any) {
		defer func() { cause = recover() }()
		_ = f.Serve(t.Context(), httptest.NewRecorder(), request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatNever, Streaming: true, Targets: []config.Target{{Service: "s", Weight: 1}},
		})
		return nil
	}()
	err, _ := broken.(error)
	is.True(errors.Is(err, http.ErrAbortHandler))
	is.Equal(c.answered, 0)
}

var _ forward.Contents = (*contents)(nil)
