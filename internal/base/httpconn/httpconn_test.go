package httpconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/nutmegway/nutmegway/internal/base/httpconn"
)

// scriptedConn is a connection whose server sends the given bytes once something is written, at
// most pieceBytes at a time, and ends its stream. It takes all that is written.
type scriptedConn struct {
	net.Conn

	once       sync.Once
	pieceBytes int
	sent       *strings.Reader
	written    chan struct{}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	<-c.written
	return c.sent.Read(p[:min(len(p), c.pieceBytes)])
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.written) })
	return len(p), nil
}

// TestAnswers plays the answers of the data file, in one piece and in several.
func TestAnswers(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/answers.txtar")
	is.New(t).NoErr(err)
	for _, file := range archive.Files {
		var sent strings.Builder
		for line := range strings.Lines(string(file.Data)) {
			text, err := strconv.Unquote(strings.TrimSpace(line))
			is.New(t).NoErr(err)
			sent.WriteString(text)
		}
		want, _, _ := strings.Cut(file.Name, " (")
		for _, pieceBytes := range []int{1, 7, sent.Len()} {
			t.Run(file.Name+" "+strconv.Itoa(pieceBytes), func(t *testing.T) {
				dial := func(context.Context, string, string) (net.Conn, error) {
					conn, _ := net.Pipe()
					return &scriptedConn{Conn: conn, pieceBytes: pieceBytes, sent: strings.NewReader(sent.String()), written: make(chan struct{})}, nil
				}
				transport := &httpconn.Transport{Base: &http.Transport{DialContext: dial}}
				defer transport.CloseIdleConnections()
				got := "refused"
				if body, err := get(t, transport, http.MethodGet, "http://h/"); err == nil {
					got = strings.TrimSpace("sound: " + body)
				}
				is.New(t).Equal(got, want)
			})
		}
	}
}

// get sends a request and returns the body of the answer.
func get(t *testing.T, transport http.RoundTripper, method, url string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, http.NoBody)
	is.New(t).NoErr(err)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestConnectionsAreReused sends requests of several kinds one after the other, over one connection.
func TestConnectionsAreReused(t *testing.T) {
	for name, start := range map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			remotes := make(map[string]bool)
			server := start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				remotes[r.RemoteAddr] = true
				switch r.URL.Path {
				case "/empty":
				case "/none":
					w.WriteHeader(http.StatusNoContent)
				case "/chunked":
					w.Header().Set("Trailer", "X-Sum")
					_, _ = io.WriteString(w, "a")
					_ = http.NewResponseController(w).Flush()
					_, _ = io.WriteString(w, strings.Repeat("b", 100<<10))
					w.Header().Set("X-Sum", "1")
				default:
					_, _ = io.WriteString(w, "body")
				}
			}))
			defer server.Close()
			base, ok := server.Client().Transport.(*http.Transport)
			is.True(ok)
			transport := &httpconn.Transport{Base: &http.Transport{TLSClientConfig: base.TLSClientConfig}}
			defer transport.CloseIdleConnections()
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				for path, want := range map[string]int{"/empty": 0, "/none": 0, "/body": 4, "/chunked": 1 + 100<<10} {
					body, err := get(t, transport, method, server.URL+path)
					is.NoErr(err)
					is.True(len(body) == want || method == http.MethodHead)
				}
			}
			is.Equal(len(remotes), 1)
		})
	}
}

// TestAnswerBeforeRequestIsRefused has a server send an answer as soon as it accepts a connection.
func TestAnswerBeforeRequestIsRefused(t *testing.T) {
	is := is.New(t)
	conn := &httpconn.Conn{Conn: &scriptedConn{pieceBytes: 1 << 10, sent: strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"), written: closedChannel()}}
	_, err := conn.Read(make([]byte, 10))
	is.True(err != nil)
	conn.BeginRequest(http.MethodGet)
	n, err := conn.Write([]byte("GET"))
	is.True(err != nil)
	is.Equal(n, 0)
}

// TestConnectionWithAdditionalBytesIsNotUsed has a server send more than its answer. The connection
// fails at once, without waiting for further bytes, and takes no other request.
func TestConnectionWithAdditionalBytesIsNotUsed(t *testing.T) {
	is := is.New(t)
	sent := strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 404 Not Found\r\n")
	conn := &httpconn.Conn{Conn: &scriptedConn{pieceBytes: 1 << 10, sent: sent, written: make(chan struct{})}}
	conn.BeginRequest(http.MethodGet)
	_, err := conn.Write([]byte("GET"))
	is.NoErr(err)
	buffer := make([]byte, 1<<10)
	n, err := conn.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	conn.Conn = nil // Another use of it would panic.
	_, err = conn.Read(buffer)
	is.True(err != nil)
	conn.BeginRequest(http.MethodGet)
	n, err = conn.Write([]byte("GET"))
	is.True(err != nil)
	is.Equal(n, 0)
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
