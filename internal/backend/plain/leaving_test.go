package plain_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// TestConnectionsOfLeavingServerCloseOnceIdle has two requests in flight at a server that
// announces in its answer to the first that it is leaving. The second one must still get
// its answer before its connection is closed.
func TestConnectionsOfLeavingServerCloseOnceIdle(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	closed := make(chan struct{}, 2)
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/second" {
			<-second
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok")
		_, err = reader.ReadByte()
		if errors.Is(err, io.EOF) {
			closed <- struct{}{}
		}
	})
	var leaving []string
	client := &plain.Client{
		IsLeaving: func(header http.Header) bool { return header.Get("Leaving") != "" },
		OnLeaving: func(server string) { leaving = append(leaving, server) },
	}
	get := func(target string) string {
		response, err := client.Do(t.Context(), address, plain.Request{Method: http.MethodGet, RequestID: "r", Server: "a", Target: target})
		if err != nil {
			return err.Error()
		}
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return string(body)
	}
	var group errgroup.Group
	group.Go(func() error {
		is.Equal(get("/second"), "ok")
		return nil
	})
	time.Sleep(20 * time.Millisecond) // The second request has reached the server.
	is.Equal(get("/first"), "ok")
	<-closed
	close(second)
	is.NoErr(group.Wait())
	<-closed
	is.Equal(leaving, []string{"a", "a"})
}

// TestBeforeSendErrorPreventsSend rejects requests once they have a connection. The server
// must not receive a byte.
func TestBeforeSendErrorPreventsSend(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		if _, err := reader.ReadByte(); err == nil {
			received.Add(1)
		}
	})
	for _, atMostOnce := range []bool{false, true} {
		request := newBooking()
		request.AtMostOnce = atMostOnce
		request.BeforeSend = func() error { return errors.New("server is leaving") }
		_, err := (&plain.Client{}).Do(t.Context(), address, request)
		is.Equal(kind.Of(err).Kind, kind.Unavailable)
		is.Equal(kind.Of(err).Ran, kind.RanNo)
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(received.Load(), int32(0))
}
