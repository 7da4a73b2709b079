package plain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// TestAnswerWithoutFinalStatusIsNoAnswer guards against bytes of a faulty server that are taken for
// an answer because the HTTP library accepts their status line. The request may have run, and what
// the header says of the server isn't believed.
func TestAnswerWithoutFinalStatusIsNoAnswer(t *testing.T) {
	const rest = "X-Server-Leaving: 1\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{
		"000 X", "001 X", "099 X", "100 Continue", "101 Switching Protocols", "199 X", "600 X", "999 X", "+20 OK", "-10 X", "abc X", "0x2 X", "20 OK", "2000 OK", "", "200OK",
	} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\n"+rest)
				_, _ = io.Copy(io.Discard, reader) // The client closes the connection.
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			client := &plain.Client{
				IsLeaving: func(http.Header) bool { return true },
				OnLeaving: func(string) { t.Error("the header was believed") },
			}
			request := newBooking()
			request.Server = "s"
			response, err := client.Do(ctx, address, request)
			if err == nil {
				_ = response.Body.Close()
				t.Fatalf("got an answer with status %d", response.StatusCode)
			}
			is.Equal(kind.Of(err).Ran, kind.RanUnknown)
			<-closed
		})
	}
}
