package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// newRawServer writes the bytes that answer returns to each connection that has sent a
// request, and closes it. It returns its address.
func newRawServer(t *testing.T, answer func() string) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The test has ended.
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, answer())
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

// forwardRaw forwards a request to the server at an address, through a host that a caller
// reaches over HTTP. It returns the caller's answer; complete is false if it was cut off.
func forwardRaw(t *testing.T, address string, streaming bool) (status int, body string, complete bool) {
	t.Helper()
	f := newForwarder()
	f.Inventory.Set(inventory.Server{Address: address, ID: "raw", Service: "s", Slots: 4})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := f.Serve(r.Context(), w, request(), config.Route{
			MaxAttempts: 1, Repeat: config.RepeatNever, Streaming: streaming, Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second,
		})
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	defer host.Close()
	outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodPost, host.URL, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := host.Client().Do(outgoing)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil
}

// TestTruncatedAnswerIsNoSuccess closes the connection after each number of bytes of a
// complete answer.
func TestTruncatedAnswerIsNoSuccess(t *testing.T) {
	answers := map[string]struct {
		answer    string
		streaming bool
	}{
		"length":             {answer: "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 11\r\n\r\nhello world"},
		"chunked":            {answer: "HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"},
		"stream":             {streaming: true, answer: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"},
		"stream with length": {streaming: true, answer: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 17\r\n\r\nid: 1\ndata: abc\n\n"},
	}
	for name, c := range answers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			length := 0
			address := newRawServer(t, func() string { return c.answer[:length] })
			for length = range len(c.answer) {
				status, body, complete := forwardRaw(t, address, c.streaming)
				if status == http.StatusOK && complete {
					t.Fatalf("answer cut after %q looks complete: %q", c.answer[:length], body)
				}
			}
			length = len(c.answer)
			status, _, complete := forwardRaw(t, address, c.streaming)
			is.Equal(status, http.StatusOK)
			is.True(complete)
		})
	}
}

// TestStreamThatEndsWithinEventIsCutOff has a server send a stream without a length, which
// ends with its connection.
func TestStreamThatEndsWithinEventIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	cases := map[string]struct {
		body string
		want bool
	}{
		"complete":              {body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", want: true},
		"complete, with CRLF":   {body: "id: 1\r\ndata: a\r\n\r\n", want: true},
		"end within a line":     {body: "id: 1\ndata: a\n\nid: 2\nda"},
		"end within an event":   {body: "id: 1\ndata: a\n\nid: 2\ndata: b\n"},
		"end within a long one": {body: "id: 1\ndata: a\n\nid: 2\ndata: " + strings.Repeat("b", 100<<10)},
		"no event":              {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, body, complete := forwardRaw(t, newRawServer(t, func() string { return head + c.body }), true)
			is.Equal(status == http.StatusOK && complete, c.want)
			is.True(strings.HasPrefix(c.body, body))
		})
	}
}

// TestCutRefusalPromisesNothing guards against requests that count as not run, and so are sent to
// another server or refused to their callers, because of the head of an answer whose body is cut.
func TestCutRefusalPromisesNothing(t *testing.T) {
	for name, answer := range map[string]string{
		"length":      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\npart",
		"chunked":     "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 9\r\n\r\n",
		"stream":      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sound := newServer(t, answerComplete)
			f := newForwarder(sound)
			f.Inventory.Set(inventory.Server{Address: newRawServer(t, func() string { return answer }), ID: "raw", Service: "s", Slots: 400, Zone: "z"})
			route := config.Route{MaxAttempts: 2, Repeat: config.RepeatNever, Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: time.Minute}
			err := f.Serve(t.Context(), httptest.NewRecorder(), request(), route)
			is.True(kind.Is(err, kind.OutcomeUnknown))
			is.Equal(sound.count(), 0)
			f.Inventory.RecordAnswer("raw", 0) // so that it is asked first again
			route.Repeat = config.RepeatIdempotent
			w := httptest.NewRecorder()
			is.NoErr(f.Serve(t.Context(), w, request(), route))
			is.Equal(w.Body.String(), "complete")
		})
	}
}

// TestLongAnswerCountsOnceItIsWhole guards against servers whose long answers break off and that
// count as sound all the same, because the part that is buffered arrived.
func TestLongAnswerCountsOnceItIsWhole(t *testing.T) {
	const length = 600 << 10
	head := "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	for name, sent := range map[string]int{"cut": length - 1, "whole": length} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder()
			f.Inventory.Set(inventory.Server{Address: newRawServer(t, func() string { return head + strings.Repeat("p", sent) }), ID: "raw", Service: "s", Slots: 4})
			began := time.Now()
			aborted := func() (aborted bool) {
				defer func() { aborted = recover() != nil }()
				is.NoErr(f.Serve(t.Context(), httptest.NewRecorder(), request(), config.Route{
					MaxAttempts: 1, Repeat: config.RepeatNever, Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: time.Minute,
				}))
				return false
			}()
			is.Equal(aborted, sent < length)
			is.Equal(f.Inventory.AnsweredSince("raw", began), sent == length)
		})
	}
}
