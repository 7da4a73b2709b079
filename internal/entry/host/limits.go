package host

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

const (
	// maxHeaderBytes bounds the header of a request. Configurations set lower limits, which
	// the host doesn't enforce.
	maxHeaderBytes = 256 << 10
	// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
	defaultMaxBodyBytes = 32 << 20
	// bodyTimeout bounds the time to read a body. Callers wait less than this for an
	// answer, so it only ends requests whose caller has given up.
	bodyTimeout = 30 * time.Second
	// callerDescriptorShare is the share of the file descriptors that callers'
	// connections may take. The rest is for backend servers, other hosts and the store.
	callerDescriptorShare = 0.5
	// refusalLogInterval is the shortest time between two log lines on refused connections.
	refusalLogInterval = time.Second
)

// ReadBody reads the body of a caller's request. A body that is longer than
// limits.BodyBytes or takes longer than bodyTimeout is an error. All errors say that the
// request has not run.
func ReadBody(w http.ResponseWriter, r *http.Request, limits config.Limits) ([]byte, error) {
	limit := int64(defaultMaxBodyBytes)
	if limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		return nil, kind.New(kind.TooLarge, "the body has %d bytes, the limit is %d bytes", r.ContentLength, limit)
	}
	controller := http.NewResponseController(w)
	// The body is read without a deadline if the writer supports none, as in tests.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	_ = controller.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, kind.New(kind.DeadlineUnmet, "the body was not complete after %s: got %d bytes", bodyTimeout, len(body))
	case err != nil:
		return nil, kind.New(kind.BadRequest, "the body could not be read after %d bytes: %v", len(body), err)
	case int64(len(body)) > limit:
		return nil, kind.New(kind.TooLarge, "the body exceeds the limit of %d bytes", limit)
	}
	return body, nil
}

// limitedListener closes new connections beyond a limit at once, so that idle
// connections never take the file descriptors that requests need.
type limitedListener struct {
	net.Listener

	limit  int64
	logger *slog.Logger

	open       atomic.Int64
	mu         sync.Mutex
	lastLogged time.Time
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close() // No request is lost: nothing was read from the connection.
		l.logRefusal()
	}
}

// logRefusal logs a refused connection, at most once in refusalLogInterval.
func (l *limitedListener) logRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.lastLogged) >= refusalLogInterval {
		l.lastLogged = now
		l.logger.Warn("caller connections refused at limit", slog.Int64("open", l.open.Load()), slog.Int64("limit", l.limit))
	}
}

// limitedConn is a connection that counts towards its listener's limit until it closes.
type limitedConn struct {
	net.Conn

	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
