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
	// maxHeaderBytes bounds the head of a request. Configurations allow less.
	maxHeaderBytes = 256 << 10
	// defaultBodyBytes bounds a body while no configuration says more.
	defaultBodyBytes = 32 << 20
	// bodyTimeout bounds the time in which a body comes. It is above what callers
	// wait for an answer.
	bodyTimeout = 30 * time.Second
	// callerShare is the share of the descriptors that callers' connections take;
	// the rest is for backend servers, other hosts and the store.
	callerShare = 0.5
	// fullInterval is the least time between two log lines on refused connections.
	fullInterval = time.Second
)

// ReadBody reads the body of a caller's request, within the limits on its length and
// time. Its errors say that the request has not run.
func ReadBody(w http.ResponseWriter, r *http.Request, limits config.Limits) ([]byte, error) {
	limit := int64(defaultBodyBytes)
	if limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		return nil, kind.New(kind.TooLarge, "the body is over %d bytes", limit)
	}
	controller := http.NewResponseController(w)
	// A writer without deadlines, as in tests, reads without one.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	_ = controller.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, kind.New(kind.DeadlineUnmet, "the body did not come within %s", bodyTimeout)
	case err != nil:
		return nil, kind.New(kind.BadRequest, "the body could not be read: %v", err)
	case int64(len(body)) > limit:
		return nil, kind.New(kind.TooLarge, "the body is over %d bytes", limit)
	}
	return body, nil
}

// limitedListener closes connections beyond a limit at once, so that idle ones never
// take the descriptors that requests need.
type limitedListener struct {
	net.Listener

	limit  int64
	logger *slog.Logger

	open   atomic.Int64
	mu     sync.Mutex
	logged time.Time
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
		_ = conn.Close() // Nothing was read from it.
		l.refused()
	}
}

func (l *limitedListener) refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.logged) >= fullInterval {
		l.logged = now
		l.logger.Warn("connections of callers refused", slog.Int64("open", l.open.Load()), slog.Int64("limit", l.limit))
	}
}

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
