package plain_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httpconn/httpconntest"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// upload sends a long upload to a server that answers early and then calls end. It returns the
// result of reading the answer's body.
func upload(t *testing.T, answer string, order httpconntest.Order, end func(*net.TCPConn)) (body string, err error) {
	t.Helper()
	address := httpconntest.ServeEarly(t, answer, end)
	client := &plain.Client{Dial: httpconntest.Dialer{AnswerBytes: len(answer), Order: order}.DialContext}
	request := newBooking()
	request.Body, request.Length = strings.NewReader(strings.Repeat("u", httpconntest.UploadBytes)), httpconntest.UploadBytes
	response, err := client.Do(t.Context(), address, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// TestAnswerThatIsResetDuringUploadIsIncomplete guards against parts of answers that count as
// complete because a write has met the reset of the connection. The kernel then tells the reader
// of no error, but of the end of the stream.
func TestAnswerThatIsResetDuringUploadIsIncomplete(t *testing.T) {
	for name, answer := range map[string]string{
		"no length":    "HTTP/1.1 200 OK\r\n\r\npart",
		"event stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"failure":      "HTTP/1.1 500 Internal Server Error\r\n\r\npart",
		"HTTP/1.0":     "HTTP/1.0 200 OK\r\n\r\npart",
		"length":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart",
		"chunked":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"head":         "HTTP/1.1 200 OK\r\nContent-Len",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := upload(t, answer, httpconntest.WriteFailsFirst, httpconntest.Reset)
			if err == nil {
				t.Fatalf("the part %q counts as complete", body)
			}
			is.New(t).True(kind.Of(err).Ran != kind.RanNo)
		})
	}
}
