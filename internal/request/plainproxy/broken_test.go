package plainproxy_test

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httpconn/httpconntest"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// has reports whether a line holds all texts.
func (b *logBuffer) has(texts ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.data.String()) {
		found := true
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			return true
		}
	}
	return false
}

// TestResetUploadGetsNoPart guards against callers that get a part of a response as the whole one,
// because the server answers an upload early and then resets the connection.
func TestResetUploadGetsNoPart(t *testing.T) {
	for name, answer := range map[string]string{
		"success": "HTTP/1.1 200 OK\r\n\r\npart",
		"failure": "HTTP/1.1 404 Not Found\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &logBuffer{}
			client := &plain.Client{Dial: httpconntest.Dialer{AnswerBytes: len(answer)}.DialContext}
			fx := newFixtureWith(t, 0, client, slog.NewTextHandler(log, nil))
			fx.addServer(httpconntest.ServeEarly(t, answer, httpconntest.Reset))
			upload := strings.NewReader(strings.Repeat("u", httpconntest.UploadBytes))
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fx.url+"/bookings", upload)
			is.NoErr(err)
			request.Header.Set("X-Request-Id", "r1")
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				is.NoErr(response.Body.Close())
			}
			is.True(err != nil)
			is.True(log.has("not passed on in full", "request-id=r1", "server=s0", "reset"))
		})
	}
}

// TestBrokenResponseIsNone guards against responses that are passed on or recorded although they are
// cut or have a line that is no field.
func TestBrokenResponseIsNone(t *testing.T) {
	for name, answer := range map[string]string{
		"blank before the colon": "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 3\r\n\r\nodd",
		"blank in the length":    "HTTP/1.1 200 OK\r\nContent Length: 1\r\n\r\nodd",
		"blank in interim head":  "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &logBuffer{}
			fx := newFixtureWith(t, 0, &plain.Client{}, slog.NewTextHandler(log, nil))
			fx.addServer(httpconntest.ServeEarly(t, answer, httpconntest.EndStream))
			_, refused := fx.do(t, http.MethodPost, "/bookings", "x", http.Header{"X-Request-Id": {"r1"}})
			is.True(refused != nil)
			is.Equal(refused.Kind, kind.OutcomeUnknown)
			is.True(log.has("attempt at a plain server failed", "request-id=r1", "server=s0", "ran=unknown"))
		})
	}
}
