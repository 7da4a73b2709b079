package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
)

var headers = dialect.Dialect{BudgetMillis: "Budget", ExpectServer: "Expect", Load: "Load", NotRun: "Not-Run"}

// testServer is a backend server that counts the requests that it gets.
type testServer struct {
	*httptest.Server

	mu   sync.Mutex
	runs int
}

type handler func(w http.ResponseWriter, r *http.Request)

func newServer(t *testing.T, handle handler) *testServer {
	t.Helper()
	s := &testServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.runs++
		s.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		handle(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *testServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// answerComplete sends a complete and valid answer.
func answerComplete(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Stamp", "complete")
	fmt.Fprint(w, "complete")
}

// answerNotRun states that the server has not run the request.
func answerNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func answerMisdirected(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func answerInternalError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Stamp", "failed")
	w.WriteHeader(http.StatusInternalServerError)
	fmt.Fprint(w, "server error")
}

// answerTruncated sends less than the Content-Length.
func answerTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, "part")
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// answerOtherRequest sends an answer with the id of another request.
func answerOtherRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Request-Id", "other")
	fmt.Fprint(w, "other")
}

// hang does not answer until the client gives up.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestServe forwards a request to a first server that fails in different ways, and a second
// one that works. The first one has by far the lower cost, so it is tried first.
func TestServe(t *testing.T) {
	cases := map[string]struct {
		first    handler
		repeat   config.RepeatPolicy
		wantBody string
		wantKind kind.Kind
		// wantRuns is how often the second server gets the request.
		wantRuns int
	}{
		"answered":                                     {first: answerComplete, repeat: config.RepeatIdempotent, wantBody: "complete"},
		"refused, repeatable":                          {first: answerNotRun, repeat: config.RepeatIdempotent, wantBody: "complete", wantRuns: 1},
		"refused, not repeatable":                      {first: answerNotRun, repeat: config.RepeatNever, wantBody: "complete", wantRuns: 1},
		"misdirected":                                  {first: answerMisdirected, repeat: config.RepeatNever, wantBody: "complete", wantRuns: 1},
		"internal server error, repeatable":            {first: answerInternalError, repeat: config.RepeatIdempotent, wantBody: "complete", wantRuns: 1},
		"internal server error, not repeatable":        {first: answerInternalError, repeat: config.RepeatNever, wantBody: "server error"},
		"truncated, repeatable":                        {first: answerTruncated, repeat: config.RepeatIdempotent, wantBody: "complete", wantRuns: 1},
		"truncated, not repeatable":                    {first: answerTruncated, repeat: config.RepeatNever, wantKind: kind.OutcomeUnknown},
		"connection reset, repeatable":                 {first: resetConnection, repeat: config.RepeatIdempotent, wantBody: "complete", wantRuns: 1},
		"connection reset, not repeatable":             {first: resetConnection, repeat: config.RepeatNever, wantKind: kind.OutcomeUnknown},
		"answer to another request, repeatable":        {first: answerOtherRequest, repeat: config.RepeatIdempotent, wantBody: "complete", wantRuns: 1},
		"answer to another request, not repeatable":    {first: answerOtherRequest, repeat: config.RepeatNever, wantKind: kind.OutcomeUnknown},
		"no answer, repeatable: hedged":                {first: hang, repeat: config.RepeatIdempotent, wantBody: "complete", wantRuns: 1},
		"no answer, not repeatable: deadline exceeded": {first: hang, repeat: config.RepeatNever, wantKind: kind.DeadlineExceeded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := newServer(t, c.first), newServer(t, answerComplete)
			f := newForwarder(first, second)
			w := httptest.NewRecorder()
			err := f.Serve(t.Context(), w, request(), config.Route{
				MaxAttempts: 2, LatencySLO: 50 * time.Millisecond, Repeat: c.repeat,
				Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: 400 * time.Millisecond,
			})
			if c.wantKind != "" {
				is.True(kind.Is(err, c.wantKind))
			} else {
				is.NoErr(err)
				is.Equal(w.Body.String(), c.wantBody)
			}
			is.Equal(second.count(), c.wantRuns)
		})
	}
}

func TestAllServersRefuse(t *testing.T) {
	is := is.New(t)
	f := newForwarder(newServer(t, answerNotRun), newServer(t, answerNotRun))
	err := f.Serve(t.Context(), httptest.NewRecorder(), request(), config.Route{
		MaxAttempts: 2, Repeat: config.RepeatNever, Targets: []config.Target{{Service: "s", Weight: 1}},
	})
	e := kind.Of(err)
	is.Equal(e.Kind, kind.Unavailable)
	is.Equal(e.Ran, kind.RanNo)
	is.True(e.RetryAfter > 0)
}

func TestCallerDisconnectCancelsRequestAtServer(t *testing.T) {
	is := is.New(t)
	received, cancelled := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		return newForwarder(s).Serve(ctx, httptest.NewRecorder(), request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatNever, Targets: []config.Target{{Service: "s", Weight: 1}},
		})
	})
	<-received
	cancel()
	is.True(kind.Is(group.Wait(), kind.Cancelled))
	<-cancelled // the request is cancelled at the server too
}

func TestInterruptedStreamInterruptsAnswer(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f := newForwarder(s)
	var log bytes.Buffer
	f.Logger = slog.New(slog.NewTextHandler(&log, nil))
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = f.Serve(r.Context(), w, request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatNever, Streaming: true, Targets: []config.Target{{Service: "s", Weight: 1}},
		})
	}))
	defer entry.Close()
	response, err := http.Get(entry.URL)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.True(err != nil) // the caller does not mistake it for a complete answer
	is.Equal(string(body), "id: 1\ndata: a\n\n")
	entry.Close() // Waits for the handler.
	is.True(strings.Contains(log.String(), `msg="answer not passed on in full" request-id=r1 server=0 relayed=false status=200 ended-by-server=true`))
}

func TestParseLoad(t *testing.T) {
	for header, want := range map[string]int{"3,2,8": 5, "0,0,8": 0, "": -1, "x,1,8": -1, "1,2": -1, "-1,2,8": -1} {
		if got := forward.ParseLoad(header); got != want {
			t.Errorf("ParseLoad(%q) = %d, want %d", header, got, want)
		}
	}
}

func request() forward.Request {
	return forward.Request{
		Arrived: time.Now(), Body: []byte("body"), Header: http.Header{}, Host: "example", ID: "r1",
		Method: http.MethodPost, Target: "/p/x?q=1",
	}
}

// newForwarder returns a Forwarder with servers of service "s". Each one has a far lower cost
// than the next.
func newForwarder(servers ...*testServer) *forward.Forwarder {
	inv := &inventory.Inventory{}
	for i, s := range servers {
		inv.Set(inventory.Server{
			Address: strings.TrimPrefix(s.URL, "http://"), ID: strconv.Itoa(i), Service: "s", Slots: 100 / (1 + 99*i), Zone: "z",
		})
	}
	return &forward.Forwarder{
		Client: &plain.Client{}, Dialect: headers, Inventory: inv, Logger: slog.New(slog.DiscardHandler), Zone: "z",
	}
}

// countingWriter is an [http.ResponseWriter] that counts the bytes of the body and discards
// them.
type countingWriter struct {
	header http.Header
	bytes  int
}

func (w *countingWriter) Header() http.Header { return w.header }

func (*countingWriter) WriteHeader(int) {}

func (*countingWriter) Flush() {}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// TestEndlessBody forwards a body that never ends. The caller gets each part as it arrives.
// At the request's deadline the caller's connection is aborted, so that the caller does not
// mistake the body for a complete one.
func TestEndlessBody(t *testing.T) {
	is := is.New(t)
	endless := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		for chunk := make([]byte, 64<<10); r.Context().Err() == nil; {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	w := &countingWriter{header: http.Header{}}
	recovered := func() (cause any) {
		defer func() { cause = recover() }()
		_ = newForwarder(endless).Serve(t.Context(), w, request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatIdempotent, Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: 300 * time.Millisecond,
		})
		return nil
	}()
	is.Equal(recovered, http.ErrAbortHandler) // aborts the caller's connection
	is.True(w.bytes > 0)
}
