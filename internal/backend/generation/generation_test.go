package generation_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
)

var testDialect = dialect.Dialect{
	BudgetMillis: "Budget", ExpectServer: "Expect-Server", Load: "Load", NotRun: "Not-Run",
	ResumeAfter: "Resume-After", WeightVersion: "Weight-Version",
}

// runGeneration runs an item at an engine that answers with handle.
func runGeneration(
	t *testing.T, request generation.Request, handle http.HandlerFunc, onEvent func(generation.Event) error,
) (generation.Outcome, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		handle(w, r)
	}))
	defer server.Close()
	client := &generation.Client{Dialect: testDialect, Logger: slog.New(slog.DiscardHandler), Plain: &plain.Client{}}
	request.Address, request.ID, request.Target = strings.TrimPrefix(server.URL, "http://"), "i1", "/r/x"
	if request.FirstEventTimeout == 0 {
		request.FirstEventTimeout, request.EventTimeout = time.Minute, time.Minute
	}
	return client.Run(t.Context(), request, func(string) {}, onEvent)
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// TestOutcomeOfEachAnswer checks which outcome a run reports for each kind of answer.
func TestOutcomeOfEachAnswer(t *testing.T) {
	cases := map[string]struct {
		handle http.HandlerFunc
		want   generation.Outcome
		events int
	}{
		"complete stream": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		}, generation.OutcomeCompleted, 2},
		"no events": {func(http.ResponseWriter, *http.Request) {}, generation.OutcomeCompleted, 0},
		"end within an event": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n")
		}, generation.OutcomeBroken, 1},
		"connection reset": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "id: 1\ndata: a\n\n")
			flush(w)
			panic(http.ErrAbortHandler)
		}, generation.OutcomeBroken, 1},
		"version is not a number": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "weight-version: new\nid: 1\ndata: a\n\n")
		}, generation.OutcomeBroken, 0},
		"server is full": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, generation.OutcomeNotRun, 0},
		"different server at the address": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, generation.OutcomeNotRun, 0},
		"503 without a not-run header": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, generation.OutcomeBroken, 0},
		"run failed":         {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, generation.OutcomeFailed, 0},
		"item is impossible": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnprocessableEntity) }, generation.OutcomeImpossible, 0},
		"cut refusal": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Content-Length", "9")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, generation.OutcomeBroken, 0},
		"cut answer of another server": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, generation.OutcomeBroken, 0},
		"cut failure": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			flush(w)
			panic(http.ErrAbortHandler)
		}, generation.OutcomeBroken, 0},
		"cut answer that the item is impossible": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			w.WriteHeader(http.StatusUnprocessableEntity)
			fmt.Fprint(w, "part")
		}, generation.OutcomeBroken, 0},
		"answer to another request": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "i2")
			fmt.Fprint(w, "id: 1\ndata: other\n\n")
		}, generation.OutcomeBroken, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			events := 0
			outcome, err := runGeneration(t, generation.Request{}, c.handle, func(generation.Event) error {
				events++
				return nil
			})
			is.Equal(outcome, c.want)
			is.Equal(err == nil, c.want == generation.OutcomeCompleted)
			is.Equal(events, c.events) // complete events only
		})
	}
}

// TestVersionChangesWithinStream sends a stream whose second event names a new version. The
// third event keeps it.
func TestVersionChangesWithinStream(t *testing.T) {
	is := is.New(t)
	var events []generation.Event
	_, err := runGeneration(t, generation.Request{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Weight-Version", "3")
		fmt.Fprint(w, "id: 1\ndata: a\n\nweight-version: 4\nid: 2\ndata: b1\ndata: b2\n\nid: 3\ndata: c\n\n")
	}, func(e generation.Event) error {
		events = append(events, e)
		return nil
	})
	is.NoErr(err)
	is.Equal(events, []generation.Event{
		{Data: "a", ID: "1", Version: 3}, {Data: "b1\nb2", ID: "2", Version: 4}, {Data: "c", ID: "3", Version: 4},
	})
}

func TestHeadersOfResumedRequest(t *testing.T) {
	is := is.New(t)
	var got http.Header
	_, err := runGeneration(t, generation.Request{
		Budget: 1500 * time.Millisecond, Header: map[string]string{"X-Own": "kept"}, ResumeAfter: "7", Server: "e1",
	}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		got = r.Header
	}, func(generation.Event) error { return nil })
	is.NoErr(err)
	is.Equal(got.Get("Resume-After"), "7")
	is.Equal(got.Get("Expect-Server"), "e1")
	is.Equal(got.Get("Budget"), "1500")
	is.Equal(got.Get("X-Own"), "kept")
}

// TestMissingEventStallsRun has an engine whose first or second event is overdue. The run
// ends as stalled, and the engine's request context is cancelled.
func TestMissingEventStallsRun(t *testing.T) {
	for name, first := range map[string]bool{"before the first event": true, "between events": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			outcome, err := runGeneration(t, generation.Request{FirstEventTimeout: 50 * time.Millisecond, EventTimeout: 50 * time.Millisecond},
				func(w http.ResponseWriter, r *http.Request) {
					if !first {
						fmt.Fprint(w, "id: 1\ndata: a\n\n")
						flush(w)
					}
					<-r.Context().Done()
					close(ended)
				}, func(generation.Event) error { return nil })
			is.Equal(outcome, generation.OutcomeStalled)
			is.True(err != nil)
			<-ended
		})
	}
}

func TestCallerStopsRun(t *testing.T) {
	is := is.New(t)
	stop := errors.New("stop")
	outcome, err := runGeneration(t, generation.Request{}, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
		flush(w)
		<-r.Context().Done()
	}, func(generation.Event) error { return stop })
	is.Equal(outcome, generation.OutcomeBroken)
	is.True(errors.Is(err, stop))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client := &generation.Client{Dialect: testDialect, Logger: slog.New(slog.DiscardHandler), Plain: &plain.Client{}}
	outcome, _ = client.Run(ctx, generation.Request{Address: "127.0.0.1:1", FirstEventTimeout: time.Minute}, func(string) {}, nil)
	is.Equal(outcome, generation.OutcomeStopped)
}

// TestEndlessAnswersAreBounded has engines that send data until the connection is closed.
// Each run must end through a bound on its input, long before its time-out, and use little
// memory.
func TestEndlessAnswersAreBounded(t *testing.T) {
	long := strings.Repeat("x", 1000)
	cases := map[string]struct {
		// The engine sends first once, and repeated until the connection is closed.
		first, repeated string
		// raw is set if the engine writes the status line and headers itself.
		raw bool
	}{
		"data lines of one event": {"id: 1\n", "data: " + long + "\n", false},
		"one line":                {"data: ", long, false},
		"valid events":            {"", "id: 1\ndata: x\n\n", false},
		"long valid events":       {"", "id: 1\ndata: " + long + "\n\n", false},
		"comments":                {"", ": " + long + "\n", false},
		"empty lines":             {"", "\n", false},
		"one header line":         {"HTTP/1.1 200 OK\r\nX-Long: ", long, true},
		"many header lines":       {"HTTP/1.1 200 OK\r\n", "X-Long: " + long + "\r\n", true},
		"status line":             {"HTTP/1.1 200 ", long, true},
		"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\nX-Long: " + long + "\r\n\r\n", true},
		"chunk extension":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", long, true},
		"trailers":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Long: " + long + "\r\n", true},
		"not an HTTP response":    {"", long, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			outcome, err := runGeneration(t, generation.Request{MaxTokens: 1000}, func(w http.ResponseWriter, r *http.Request) {
				write := func(text string) error {
					n, err := io.WriteString(w, text)
					sent.Add(int64(n))
					return err
				}
				if c.raw {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					write = func(text string) error {
						n, err := io.WriteString(conn, text)
						sent.Add(int64(n))
						return err
					}
				}
				err := write(c.first)
				for err == nil && r.Context().Err() == nil {
					err = write(c.repeated)
				}
			}, func(generation.Event) error { return nil })
			is.Equal(outcome, generation.OutcomeBroken)
			is.True(err != nil)
			// Buffers of the sockets and the HTTP library come on top of the limits.
			is.True(sent.Load() < 32<<20)
		})
	}
}
