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

// TestSoundAnswerToUnreadUploadIsComplete guards against sound answers that are lost because their
// server doesn't read the upload to its end, so that a write fails before the answer is read.
func TestSoundAnswerToUnreadUploadIsComplete(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		end    func(*net.TCPConn)
	}{
		"no length":      {"HTTP/1.1 200 OK\r\n\r\ndone", httpconntest.EndStream},
		"length":         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", httpconntest.Leave},
		"length, closes": {"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone", httpconntest.Leave},
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", httpconntest.Leave},
	} {
		for orderName, order := range map[string]httpconntest.Order{
			"write fails first": httpconntest.WriteFailsFirst, "write fails before the head is read": httpconntest.ClosesFirst,
		} {
			t.Run(name+", "+orderName, func(t *testing.T) {
				is := is.New(t)
				body, err := upload(t, c.answer, order, c.end)
				is.NoErr(err)
				is.Equal(body, "done")
			})
		}
	}
}
