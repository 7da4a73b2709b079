package generation_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
)

// TestErrorIsNotTakenForRestOfText resumes a text at event 3 at a server that answers with
// something other than the rest of the stream.
func TestErrorIsNotTakenForRestOfText(t *testing.T) {
	cases := map[string]struct {
		contentType, body string
		want              generation.Outcome
	}{
		"the rest":                     {contentType: "text/event-stream", body: "id: 4\ndata: d\n\n", want: generation.OutcomeCompleted},
		"nothing is left":              {contentType: "text/event-stream", want: generation.OutcomeCompleted},
		"empty answer of another type": {contentType: "text/plain", want: generation.OutcomeBroken},
		"empty answer without a type":  {want: generation.OutcomeBroken},
		"error page":                   {contentType: "text/html", body: "<p>no server\n\n", want: generation.OutcomeBroken},
		"error text as a stream":       {contentType: "text/event-stream", body: "no server available\n\n", want: generation.OutcomeBroken},
		"error as data of an event":    {contentType: "text/event-stream", body: "data: no server available\n\n", want: generation.OutcomeBroken},
		"head of an answer":            {contentType: "text/event-stream", body: "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n", want: generation.OutcomeBroken},
		"the last event again":         {contentType: "text/event-stream", body: "id: 3\ndata: c\n\n", want: generation.OutcomeBroken},
		"the text from the start":      {contentType: "text/event-stream", body: "id: 1\ndata: a\n\n", want: generation.OutcomeBroken},
		"an event twice":               {contentType: "text/event-stream", body: "id: 4\ndata: d\n\nid: 4\ndata: d\n\n", want: generation.OutcomeBroken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outcome, err := runGeneration(t, generation.Request{ResumeAfter: "3"}, func(w http.ResponseWriter, _ *http.Request) {
				if c.contentType == "" {
					w.Header()["Content-Type"] = nil
				} else {
					w.Header().Set("Content-Type", c.contentType)
				}
				fmt.Fprint(w, c.body)
			}, func(event generation.Event) error {
				is.Equal(event.Data, "d")
				return nil
			})
			is.Equal(outcome, c.want)
			is.Equal(err == nil, c.want == generation.OutcomeCompleted)
		})
	}
}

// TestAnswerThatEndsInItsHeadIsBroken closes the connection after each number of bytes of a
// complete answer.
func TestAnswerThatEndsInItsHeadIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 17\r\nX-Request-Id: i1\r\n\r\n"
	const answer = head + "id: 12\ndata: ab\n\n"
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	length := 0
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The test has ended.
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, answer[:length])
			}
			_ = conn.Close()
		}
	})
	defer func() {
		_ = listener.Close()
		_ = group.Wait()
	}()
	client := &generation.Client{Dialect: testDialect, Logger: slog.New(slog.DiscardHandler), Plain: &plain.Client{}}
	for length = range len(answer) + 1 {
		is := is.New(t)
		outcome, err := client.Run(context.Background(), generation.Request{
			Address: listener.Addr().String(), ID: "i1", Target: "/r/x", FirstEventTimeout: time.Minute, EventTimeout: time.Minute,
			ResumeAfter: "3",
		}, func(string) {}, func(generation.Event) error { return nil })
		if length == len(answer) {
			is.NoErr(err)
			is.Equal(outcome, generation.OutcomeCompleted)
			continue
		}
		if outcome != generation.OutcomeBroken {
			t.Fatalf("after %q the run is %s", strings.TrimPrefix(answer[:length], head), outcome)
		}
	}
}
