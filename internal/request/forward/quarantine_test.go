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

// fakeQuarantine is a [forward.Quarantine] with fixed results. It counts the calls of
// RecordResponse.
type fakeQuarantine struct {
	admission poison.Admission
	answered  int
	err       error
	refuses   bool
}

func (q *fakeQuarantine) Admit(context.Context, uint64) (poison.Admission, error) {
	return q.admission, q.err
}

func (q *fakeQuarantine) RecordResponse(uint64) { q.answered++ }

func (q *fakeQuarantine) Refuses(uint64) bool { return q.refuses }

// TestQuarantineLimitsAttempts forwards a request to three servers that all behave in the
// same way.
func TestQuarantineLimitsAttempts(t *testing.T) {
	errRefused := kind.New(kind.Quarantined, "refused").WithRan(kind.RanNo)
	cases := map[string]struct {
		quarantine fakeQuarantine
		servers    handler
		wantKind   kind.Kind
		wantRuns   int
		// wantAnswered is the number of answers reported to the quarantine.
		wantAnswered int
	}{
		"not suspected: hedged at a second server":                    {servers: hang, wantRuns: 2, wantKind: kind.DeadlineExceeded},
		"suspected: not hedged":                                       {quarantine: fakeQuarantine{admission: poison.Admission{Sequential: true}}, servers: hang, wantRuns: 1, wantKind: kind.DeadlineExceeded},
		"suspected: retried after a connection reset":                 {quarantine: fakeQuarantine{admission: poison.Admission{Sequential: true}}, servers: resetConnection, wantRuns: 2, wantKind: kind.OutcomeUnknown},
		"quarantined meanwhile: not retried after a connection reset": {quarantine: fakeQuarantine{refuses: true}, servers: resetConnection, wantRuns: 1, wantKind: kind.OutcomeUnknown},
		"quarantined meanwhile: retried after refusals by servers":    {quarantine: fakeQuarantine{refuses: true}, servers: answerNotRun, wantRuns: 3, wantKind: kind.Unavailable},
		"quarantined: not sent":                                       {quarantine: fakeQuarantine{err: errRefused}, servers: answerComplete, wantRuns: 0, wantKind: kind.Quarantined},
		"answered":                                                    {servers: answerComplete, wantRuns: 1, wantAnswered: 1},
		"internal server error: reported as answered": {
			quarantine: fakeQuarantine{admission: poison.Admission{Sequential: true}}, servers: answerInternalError, wantRuns: 2, wantAnswered: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := []*testServer{newServer(t, c.servers), newServer(t, c.servers), newServer(t, c.servers)}
			f := newForwarder(servers...)
			f.Quarantine = &c.quarantine
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
			is.Equal(c.quarantine.answered, c.wantAnswered)
		})
	}
}

// TestInterruptedStreamIsNotReportedAnswered has a server that aborts a stream after its
// first event.
func TestInterruptedStreamIsNotReportedAnswered(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f := newForwarder(s)
	quarantine := &fakeQuarantine{}
	f.Quarantine = quarantine
	recovered := func() (cause any) {
		defer func() { cause = recover() }()
		_ = f.Serve(t.Context(), httptest.NewRecorder(), request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatNever, Streaming: true, Targets: []config.Target{{Service: "s", Weight: 1}},
		})
		return nil
	}()
	err, _ := recovered.(error)
	is.True(errors.Is(err, http.ErrAbortHandler))
	is.Equal(quarantine.answered, 0)
}

var _ forward.Quarantine = (*fakeQuarantine)(nil)
