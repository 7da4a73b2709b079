package forward_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httpconn/httpconntest"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
)

// newUploadHost starts a host whose first server answers uploads early and resets the connection.
// A write meets the reset before the host's reader does. It returns the host and its
// log, which may be read once the host is closed.
func newUploadHost(t *testing.T, answer string, route config.Route) (host *httptest.Server, log *bytes.Buffer) {
	t.Helper()
	address := httpconntest.ServeEarly(t, answer, httpconntest.Reset)
	f := newForwarder()
	log = &bytes.Buffer{}
	f.Logger = slog.New(slog.NewTextHandler(log, nil))
	f.Inventory.Set(inventory.Server{Address: address, ID: "resets", Service: "s", Slots: 400})
	if sound := newServer(t, answerComplete); route.MaxAttempts > 1 {
		f.Inventory.Set(inventory.Server{Address: sound.Listener.Addr().String(), ID: "sound", Service: "s", Slots: 1})
	}
	f.Client = &plain.Client{Dial: func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == address {
			return httpconntest.Dialer{AnswerBytes: len(answer)}.DialContext(ctx, network, to)
		}
		return (&net.Dialer{}).DialContext(ctx, network, to)
	}}
	route.Targets, route.Timeout = []config.Target{{Service: "s", Weight: 1}}, time.Minute
	host = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		err := f.Serve(r.Context(), w, forward.Request{Arrived: time.Now(), Body: body, Header: r.Header, ID: "r1", Method: r.Method, Target: "/"}, route)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(w, err.Error())
		}
	}))
	t.Cleanup(host.Close)
	return host, log
}

// TestResetUploadGetsNoPart guards against callers that get a part of an answer as the whole one,
// because its server answers an upload early and then resets the connection.
func TestResetUploadGetsNoPart(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
	cases := map[string]struct {
		answer string
		route  config.Route
		// wantBody is empty if the caller must get a part that ends with a broken connection.
		wantBody   string
		wantStatus int
	}{
		"may be repeated": {
			answer: "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\npart", route: config.Route{MaxAttempts: 2, Repeat: config.RepeatIdempotent},
			wantStatus: http.StatusOK, wantBody: "complete",
		},
		"at most once": {
			answer: "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\npart", route: config.Route{MaxAttempts: 2, Repeat: config.RepeatNever},
			wantStatus: http.StatusBadGateway, wantBody: "may have run",
		},
		"failure": {
			answer: "HTTP/1.1 404 Not Found\r\nStamp: s\r\n\r\npart", route: config.Route{MaxAttempts: 1, Repeat: config.RepeatNever},
			wantStatus: http.StatusBadGateway, wantBody: "may have run",
		},
		"stream": {
			answer: "HTTP/1.1 200 OK\r\n" + stream, route: config.Route{MaxAttempts: 1, Repeat: config.RepeatNever, Streaming: true},
			wantStatus: http.StatusOK,
		},
		"long": {
			answer: "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n" + strings.Repeat("p", 600<<10), route: config.Route{MaxAttempts: 1, Repeat: config.RepeatNever},
			wantStatus: http.StatusOK,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			host, log := newUploadHost(t, c.answer, c.route)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, host.URL, strings.NewReader(strings.Repeat("u", httpconntest.UploadBytes)))
			is.NoErr(err)
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			is.Equal(response.StatusCode, c.wantStatus)
			is.Equal(err == nil, c.wantBody != "")
			is.True(strings.Contains(string(body), c.wantBody))
			host.Close()
			is.True(strings.Contains(log.String(), "request-id=r1"))
			is.True(strings.Contains(log.String(), "server=resets"))
		})
	}
}
