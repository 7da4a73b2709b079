package engine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/httpconn"
	"github.com/nutmegway/nutmegway/internal/base/httpconn/httpconntest"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// TestOddStatusIsNoAnswer guards against calls that count as carried out because the engine's answer
// has a status that ends no exchange.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 X", "099 X", "101 X", "600 X", "999 X"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status)
				is.NoErr(conn.Close())
			}))
			defer server.Close()
			client := engine.Client{Address: strings.TrimPrefix(server.URL, "http://")}
			is.True(kind.Is(client.Order(t.Context(), engine.Order{}), kind.OutcomeUnknown))
			_, err := client.Generate(t.Context(), engine.Request{ID: "a"})
			is.True(kind.Is(err, kind.OutcomeUnknown))
		})
	}
}

// TestBrokenAnswerIsNoAnswer guards against answers of an engine that are believed although they are
// cut or have a line that is no field.
func TestBrokenAnswerIsNoAnswer(t *testing.T) {
	const refusal = `{"error":{"kind":"overloaded","message":"full","ran":"no"}}`
	for name, answer := range map[string]string{
		"cut":                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
		"cut refusal":            "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 200\r\n\r\n" + refusal,
		"cut chunks":             "HTTP/1.1 429 Too Many Requests\r\nTransfer-Encoding: chunked\r\n\r\n3b\r\n" + refusal + "\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a refusal":     "HTTP/1.1 429 Too Many Requests\r\nX Odd: 1\r\n\r\n" + refusal,
		"blank in a trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := engine.Client{Address: httpconntest.ServeEarly(t, answer, httpconntest.EndStream)}
			is.True(kind.Is(client.Order(t.Context(), engine.Order{}), kind.OutcomeUnknown))
			_, err := client.Status(t.Context())
			is.True(kind.Is(err, kind.OutcomeUnknown))
			stream, err := client.Generate(t.Context(), engine.Request{ID: "a"})
			if err == nil {
				_, err = stream.Next()
				_ = stream.Close()
			}
			is.True(err != nil)
			is.True(kind.Of(err).Ran != kind.RanNo)
		})
	}
}

// TestAnswerThatIsResetDuringAnUploadIsNone resets the connection while a cache is being sent. The
// answer would be whole if the connection ended in order.
func TestAnswerThatIsResetDuringAnUploadIsNone(t *testing.T) {
	for name, answer := range map[string]string{
		"success": "HTTP/1.1 200 OK\r\n\r\n{}",
		"refusal": "HTTP/1.1 429 Too Many Requests\r\n\r\n" + `{"error":{"kind":"overloaded","message":"full","ran":"no"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			dialer := httpconntest.Dialer{AnswerBytes: len(answer)}
			client := engine.Client{
				Address: httpconntest.ServeEarly(t, answer, httpconntest.Reset),
				HTTP:    &http.Client{Transport: &httpconn.Transport{Base: &http.Transport{DialContext: dialer.DialContext}}},
			}
			cache := `"` + strings.Repeat("c", httpconntest.UploadBytes) + `"`
			err := client.ImportCache(t.Context(), "a", []byte(cache))
			is.New(t).True(kind.Is(err, kind.OutcomeUnknown))
		})
	}
}
