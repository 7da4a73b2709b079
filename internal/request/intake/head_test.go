package intake_test

import (
	"bufio"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/request/intake"
)

// TestLongHeadIsAnswered sends a head beyond the limit. Its caller has to learn why the
// connection closes.
func TestLongHeadIsAnswered(t *testing.T) {
	is := is.New(t)
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	budget := &intake.Budget{HeadBytes: func() int { return 4 << 10 }, Logger: slog.New(slog.DiscardHandler)}
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	budget.Configure(server)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(&intake.Listener{Listener: inner, Budget: budget}) })
	defer func() {
		is.NoErr(server.Close())
		is.True(errors.Is(group.Wait(), http.ErrServerClosed))
	}()
	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 12<<10)))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
