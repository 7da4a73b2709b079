package generation_test

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httpconn/httpconntest"
)

// TestRunThatIsResetDuringItsUploadIsBroken guards against texts that count as complete, and items
// that count as failed, because the engine reset the connection while the item was being sent.
func TestRunThatIsResetDuringItsUploadIsBroken(t *testing.T) {
	for name, answer := range map[string]string{
		"stream":             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"failure":            "HTTP/1.1 500 Internal Server Error\r\n\r\nfailed",
		"item is impossible": "HTTP/1.1 422 Unprocessable Content\r\n\r\nimpossible",
		"refusal":            "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\nfull",
	} {
		t.Run(name, func(t *testing.T) {
			client := &generation.Client{
				Dialect: testDialect, Logger: slog.New(slog.DiscardHandler),
				Plain: &plain.Client{Dial: httpconntest.Dialer{AnswerBytes: len(answer)}.DialContext},
			}
			outcome, err := client.Run(t.Context(), generation.Request{
				Address: httpconntest.ServeEarly(t, answer, httpconntest.Reset), Body: []byte(strings.Repeat("u", httpconntest.UploadBytes)),
				EventTimeout: time.Minute, FirstEventTimeout: time.Minute, ID: "i1", Target: "/r/x",
			}, func(string) {}, func(generation.Event) error { return nil })
			is.New(t).Equal(outcome, generation.OutcomeBroken)
			is.New(t).True(err != nil)
		})
	}
}
