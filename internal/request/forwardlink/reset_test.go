package forwardlink_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httpconn/httpconntest"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
)

// TestResetUploadOverTheLinkGetsNoPart guards against parts of answers that another host passes on as
// whole, because its server answers an upload early and then resets the connection.
func TestResetUploadOverTheLinkGetsNoPart(t *testing.T) {
	for name, answer := range map[string]string{
		"success": "HTTP/1.1 200 OK\r\n\r\npart",
		"failure": "HTTP/1.1 404 Not Found\r\n\r\npart",
		"stream":  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"long":    "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("p", 600<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &forward.Forwarder{
				Client:  &plain.Client{Dial: httpconntest.Dialer{AnswerBytes: len(answer)}.DialContext},
				Dialect: dialect.Dialect{BudgetMillis: "Budget", ExpectServer: "Expect", NotRun: "Not-Run"}, Inventory: &inventory.Inventory{}, Logger: slog.New(slog.DiscardHandler),
			}
			f.Inventory.Set(inventory.Server{Address: httpconntest.ServeEarly(t, answer, httpconntest.Reset), ID: "s1", Service: "s", Slots: 4})
			route := config.Route{MaxAttempts: 1, Repeat: config.RepeatNever, Streaming: name == "stream", Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: time.Minute}
			entry, _, _ := start(t, "h1", &fakeHost{serve: func(ctx context.Context, w http.ResponseWriter, r forward.Request) error {
				r.Body = []byte(strings.Repeat("u", httpconntest.UploadBytes))
				return f.Serve(ctx, w, r, route)
			}})
			response, _, err := newClient(t, entry).Forward(t.Context(), newRequest(), time.Now().Add(testTimeout), 1)
			if err == nil {
				defer func() { _ = response.Body.Close() }()
				_, err = io.ReadAll(response.Body)
			}
			is.True(err != nil)
			is.True(kind.Of(err).Ran != kind.RanNo)
		})
	}
}
