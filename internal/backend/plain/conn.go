package plain

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/nutmegway/nutmegway/internal/backend/reach"
	"github.com/nutmegway/nutmegway/internal/base/httpconn"
)

// connTracker holds the open connections to each address.
type connTracker struct {
	mu   sync.Mutex
	open map[string]map[*trackedConn]struct{}
}

func (c *connTracker) add(conn *httpconn.Conn, address string, monitor *reach.Monitor) *trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[string]map[*trackedConn]struct{})
	}
	if c.open[address] == nil {
		c.open[address] = make(map[*trackedConn]struct{})
	}
	tracked := &trackedConn{Conn: conn, address: address, reach: monitor, tracker: c}
	c.open[address][tracked] = struct{}{}
	return tracked
}

func (c *connTracker) remove(conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open[conn.address], conn)
	if len(c.open[conn.address]) == 0 {
		delete(c.open, conn.address)
	}
}

// hasIdle reports whether an idle connection to an address is open.
func (c *connTracker) hasIdle(address string) bool {
	c.mu.Lock()
	conns := slices.Collect(maps.Keys(c.open[address]))
	c.mu.Unlock()
	return slices.ContainsFunc(conns, (*trackedConn).isIdle)
}

// closeWhenIdle closes each connection that is now open to an address as soon as it is idle.
func (c *connTracker) closeWhenIdle(address string) {
	c.mu.Lock()
	conns := slices.Collect(maps.Keys(c.open[address]))
	c.mu.Unlock()
	for _, conn := range conns {
		conn.closeWhenIdle()
	}
}

// trackedConn is a connection that counts the bytes written to it and the requests that used
// it.
type trackedConn struct {
	*httpconn.Conn

	address string
	reach   *reach.Monitor
	tracker *connTracker

	// resetOnClose is set while the request that uses the connection must not arrive after
	// it was given up.
	resetOnClose atomic.Bool
	// sealed is set once nothing may be written any more.
	sealed atomic.Bool
	mu     sync.Mutex
	// idle is set while no request uses the connection.
	idle bool
	// closing is set once the connection must be closed as soon as it is idle.
	closing bool
	// uses counts the requests that have used the connection.
	uses    int
	written int64
}

// Close closes the connection. If resetOnClose is set, the bytes that the peer has not
// acknowledged are discarded; otherwise the kernel still sends them.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	if tcp, ok := c.NetConn().(*net.TCPConn); ok && c.resetOnClose.Load() {
		_ = tcp.SetLinger(0) // An error means that the connection is closed already.
	}
	return c.Conn.Close()
}

// acquire records that a request uses the connection, and returns the number of that use.
func (c *trackedConn) acquire() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.uses++
	return c.uses
}

// markIdle records that the connection is idle after the given use. It does nothing if a
// later use has begun, which can happen because the HTTP library reports idle connections
// with a delay.
func (c *trackedConn) markIdle(use int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if use != c.uses {
		return
	}
	c.idle = true
	c.resetOnClose.Store(false)
	if c.closing {
		_ = c.Close() // No request uses it.
	}
}

func (c *trackedConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle && !c.closing
}

func (c *trackedConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.idle {
		_ = c.Close() // No request uses it.
	}
}

// Read reads from the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reach.Heard()
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.reach.Suspect(c.address, reach.ReasonLost)
	}
	return n, err
}

// Write writes to the connection and counts the bytes written. A sealed connection accepts
// none.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// seal closes the connection and returns the total number of bytes written to it. Nothing
// is written afterwards.
func (c *trackedConn) seal() int64 {
	c.sealed.Store(true)
	// Close before taking the lock: it unblocks a write in progress, which holds the lock.
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

var errPartlySent = errors.New("connection broke after part of the request was sent; not resent")

// sendTracker tracks one request over the connections that it is written to. The HTTP
// library resends some requests by itself when a pooled connection breaks; sendTracker
// allows this only as long as no byte of the request was written.
type sendTracker struct {
	// cancel cancels the request.
	cancel context.CancelCauseFunc
	// beforeSend returns an error if the request must not be sent; nil allows it.
	beforeSend func() error
	// method is the method of the request.
	method string
	// resetOnClose has the meaning of [trackedConn].
	resetOnClose bool

	mu sync.Mutex
	// conn is the connection that the request was last written to, and writtenBefore the
	// number of bytes written to it by earlier requests.
	conn          *trackedConn
	sent          bool
	writtenBefore int64
	use           int
}

// gotConn records the connection that the request is about to be written to.
func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.bytesWritten() > s.writtenBefore {
		s.sent = true
	}
	if conn, ok := info.Conn.(*trackedConn); ok {
		s.use = conn.acquire()
		conn.BeginRequest(s.method)
		conn.resetOnClose.Store(s.resetOnClose)
	}
	if !s.sent && s.beforeSend != nil {
		if err := s.beforeSend(); err != nil {
			s.reject(info.Conn, err)
			return
		}
	}
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		// Writes to an untracked connection aren't counted, so the request counts as sent.
		s.sent = true
		return
	}
	if s.sent {
		conn.seal()
		s.cancel(errPartlySent)
		return
	}
	s.conn, s.writtenBefore = conn, conn.bytesWritten()
}

// reject cancels the request before anything is written to conn.
func (s *sendTracker) reject(conn net.Conn, err error) {
	if tracked, ok := conn.(*trackedConn); ok {
		s.conn, s.writtenBefore = tracked, tracked.seal()
	}
	s.cancel(err)
}

// putIdle records that the connection of the request is idle.
func (s *sendTracker) putIdle(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && err == nil {
		s.conn.markIdle(s.use)
	}
}

// seal closes the connection and reports whether any byte of the request was written to a
// connection.
func (s *sendTracker) seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.seal() > s.writtenBefore {
		s.sent = true
	}
	return s.sent
}
