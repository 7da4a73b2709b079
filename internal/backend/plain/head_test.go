package plain_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// oddFieldLines are lines that are no fields (RFC 9112, section 5). The HTTP library takes most of
// those with blanks.
var oddFieldLines = []string{
	"X-Odd : 1", "X Odd: 1", " X-Odd: 1", "\tX-Odd: 1", "X-Odd\t: 1", " ", ": 1", "X-\x01Odd: 1", "X-Odd\x00: 1", "X-Odd\x7f: 1", "X-\rOdd: 1",
	"X-\x80: 1", "X-Odd", "X-Odd: \x01", "Content-Length : 1", "Transfer-Encoding : chunked", " Content-Length: 1", "Content Length: 1",
}

// observingGate is a [plain.Gate] that admits all requests and fails the test if it gets a header.
type observingGate struct {
	fakeGate

	t *testing.T
}

func (g observingGate) Observe(string, http.Header, time.Time) {
	g.t.Error("the gate got the header")
}

// TestHeadWithOddFieldLineIsNotBelieved guards against heads that the HTTP library takes although
// they hold a line that is no field. The request may have run, whatever the head says.
func TestHeadWithOddFieldLineIsNotBelieved(t *testing.T) {
	for _, line := range oddFieldLines {
		for place, head := range map[string]string{
			"first":   "HTTP/1.1 200 OK\r\n" + line + "\r\nX-Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
			"last":    "HTTP/1.1 503 Service Unavailable\r\nX-Server-Leaving: 1\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok",
			"interim": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nX-Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
		} {
			t.Run(line+" "+place, func(t *testing.T) {
				is := is.New(t)
				address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, head)
					_, _ = io.Copy(io.Discard, reader) // The client closes the connection.
				})
				client := &plain.Client{
					Gate:      observingGate{t: t},
					IsLeaving: func(header http.Header) bool { return header.Get("X-Server-Leaving") != "" },
					OnLeaving: func(string) { t.Error("the header was believed") },
				}
				request := newBooking()
				request.Server = "s"
				response, err := client.Do(t.Context(), address, request)
				if err == nil {
					_ = response.Body.Close()
					t.Fatalf("got an answer with header %v", response.Header)
				}
				is.Equal(kind.Of(err).Ran, kind.RanUnknown)
			})
		}
	}
}
