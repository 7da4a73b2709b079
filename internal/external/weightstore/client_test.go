package weightstore_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/httpconn/httpconntest"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
)

// TestOddStatusPublishesNothing guards against a version that counts as published because the
// store's answer has a status that ends no exchange.
func TestOddStatusPublishesNothing(t *testing.T) {
	for status, want := range map[string]kind.Kind{"000 X": kind.Unavailable, "099 X": kind.Unavailable, "101 X": kind.Unavailable, "600 X": kind.Unavailable, "204 X": ""} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
				is.NoErr(conn.Close())
			}))
			defer server.Close()
			err := weightstore.Client{BaseURL: server.URL}.Publish(t.Context(), weightstore.Version{Model: "m", Number: 2})
			is.Equal(err == nil, want == "")
			is.True(want == "" || kind.Is(err, want))
		})
	}
}

// TestBrokenAnswerPublishesNothing guards against answers of the store that are believed although
// they are cut or have a line that is no field.
func TestBrokenAnswerPublishesNothing(t *testing.T) {
	for name, answer := range map[string]string{
		"cut":                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[]",
		"cut conflict":           "HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\n{}",
		"cut chunks":             "HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\n[]",
		"blank in a trailer":     "HTTP/1.1 429 Too Many Requests\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\nX Odd: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := weightstore.Client{BaseURL: "http://" + httpconntest.ServeEarly(t, answer, httpconntest.EndStream)}
			is.True(kind.Is(client.Publish(t.Context(), weightstore.Version{Model: "m", Number: 2}), kind.Unavailable))
			_, err := client.Versions(t.Context(), "m")
			is.True(kind.Is(err, kind.Unavailable))
		})
	}
}
