package forward_test

import (
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

// server is a backend server that answers as its script says.
type server struct {
	*httptest.Server

	mu   sync.Mutex
	runs int
}

type handler func(w http.ResponseWriter, r *http.Request)

func newServer(t *testing.T, handle handler) *server {
	t.Helper()
	s := &server{}
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

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

func sound(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Stamp", "sound")
	fmt.Fprint(w, "whole")
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func misdirected(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func fail(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Stamp", "failed")
	w.WriteHeader(http.StatusInternalServerError)
	fmt.Fprint(w, "broken")
}

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, "who")
}

func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func another(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Request-Id", "another")
	fmt.Fprint(w, "another's")
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestServe has a first server that fails in some way and a second, sound one.
// The first is the cheaper one by far.
func TestServe(t *testing.T) {
	cases := map[string]struct {
		first    handler
		repeat   config.Repeat
		wantBody string
		wantKind kind.Kind
		// wantRuns is how often the sound server runs the request.
		wantRuns int
	}{
		"sound":                                  {first: sound, repeat: config.RepeatIdempotent, wantBody: "whole"},
		"refused, repeatable":                    {first: refuse, repeat: config.RepeatIdempotent, wantBody: "whole", wantRuns: 1},
		"refused, not repeatable":                {first: refuse, repeat: config.RepeatNever, wantBody: "whole", wantRuns: 1},
		"address of another server":              {first: misdirected, repeat: config.RepeatNever, wantBody: "whole", wantRuns: 1},
		"failed, repeatable":                     {first: fail, repeat: config.RepeatIdempotent, wantBody: "whole", wantRuns: 1},
		"failed, not repeatable":                 {first: fail, repeat: config.RepeatNever, wantBody: "broken"},
		"cut off, repeatable":                    {first: truncate, repeat: config.RepeatIdempotent, wantBody: "whole", wantRuns: 1},
		"cut off, not repeatable":                {first: truncate, repeat: config.RepeatNever, wantKind: kind.OutcomeUnknown},
		"reset, repeatable":                      {first: reset, repeat: config.RepeatIdempotent, wantBody: "whole", wantRuns: 1},
		"reset, not repeatable":                  {first: reset, repeat: config.RepeatNever, wantKind: kind.OutcomeUnknown},
		"another's answer, repeatable":           {first: another, repeat: config.RepeatIdempotent, wantBody: "whole", wantRuns: 1},
		"another's answer, not repeatable":       {first: another, repeat: config.RepeatNever, wantKind: kind.OutcomeUnknown},
		"silent, repeatable: a second is asked":  {first: silent, repeat: config.RepeatIdempotent, wantBody: "whole", wantRuns: 1},
		"silent, not repeatable: the time is up": {first: silent, repeat: config.RepeatNever, wantKind: kind.DeadlineExceeded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := newServer(t, c.first), newServer(t, sound)
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

func TestAllRefuseIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newForwarder(newServer(t, refuse), newServer(t, refuse))
	err := f.Serve(t.Context(), httptest.NewRecorder(), request(), config.Route{
		MaxAttempts: 2, Repeat: config.RepeatNever, Targets: []config.Target{{Service: "s", Weight: 1}},
	})
	e := kind.Of(err)
	is.Equal(e.Kind, kind.Unavailable)
	is.Equal(e.Ran, kind.RanNo)
	is.True(e.RetryAfter > 0)
}

func TestCallerWhoLeavesEndsTheRun(t *testing.T) {
	is := is.New(t)
	reached, ended := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		return newForwarder(s).Serve(ctx, httptest.NewRecorder(), request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatNever, Targets: []config.Target{{Service: "s", Weight: 1}},
		})
	})
	<-reached
	cancel()
	is.True(kind.Is(group.Wait(), kind.Cancelled))
	<-ended // the server learns of it
}

func TestStreamThatBreaksOffBreaksTheAnswer(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f := newForwarder(s)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = f.Serve(r.Context(), w, request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatNever, Streaming: true, Targets: []config.Target{{Service: "s", Weight: 1}},
		})
	}))
	defer front.Close()
	response, err := http.Get(front.URL)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.True(err != nil) // the caller can't take it for a whole one
	is.Equal(string(body), "id: 1\ndata: a\n\n")
}

func TestLoadTold(t *testing.T) {
	for header, want := range map[string]int{"3,2,8": 5, "0,0,8": 0, "": -1, "x,1,8": -1, "1,2": -1, "-1,2,8": -1} {
		if got := forward.LoadTold(header); got != want {
			t.Errorf("LoadTold(%q) = %d, want %d", header, got, want)
		}
	}
}

func request() forward.Request {
	return forward.Request{
		Arrived: time.Now(), Body: []byte("body"), Header: http.Header{}, Host: "example", ID: "r1",
		Method: http.MethodPost, Target: "/p/x?q=1",
	}
}

// newForwarder knows servers of which each earlier one has a far lower cost.
func newForwarder(servers ...*server) *forward.Forwarder {
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

// countingWriter drops what a caller would read.
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

// TestBodyWithoutEnd has a server whose body never ends. It is passed on as it comes and
// breaks off at the request's time, so that it can't be taken for a whole one.
func TestBodyWithoutEnd(t *testing.T) {
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
	broken := func() (cause any) {
		defer func() { cause = recover() }()
		_ = newForwarder(endless).Serve(t.Context(), w, request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatIdempotent, Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: 300 * time.Millisecond,
		})
		return nil
	}()
	is.Equal(broken, http.ErrAbortHandler) // the caller's connection is broken off
	is.True(w.bytes > 0)
}
