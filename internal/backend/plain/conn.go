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
)

// connections are the open connections to each address.
type connections struct {
	mu   sync.Mutex
	open map[string]map[*countedConn]struct{}
}

func (c *connections) add(conn net.Conn, address string) *countedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[string]map[*countedConn]struct{})
	}
	if c.open[address] == nil {
		c.open[address] = make(map[*countedConn]struct{})
	}
	counted := &countedConn{Conn: conn, address: address, owner: c}
	c.open[address][counted] = struct{}{}
	return counted
}

func (c *connections) remove(conn *countedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open[conn.address], conn)
	if len(c.open[conn.address]) == 0 {
		delete(c.open, conn.address)
	}
}

// retire closes the connections that are open to an address as soon as they are idle.
func (c *connections) retire(address string) {
	c.mu.Lock()
	conns := slices.Collect(maps.Keys(c.open[address]))
	c.mu.Unlock()
	for _, conn := range conns {
		conn.retire()
	}
}

// countedConn counts the bytes that were handed to the connection.
type countedConn struct {
	net.Conn

	address string
	owner   *connections

	sealed atomic.Bool
	mu     sync.Mutex
	// idle is set while no request has the connection.
	idle bool
	// retired is set once no further request is to have it.
	retired bool
	// uses counts the requests that have had the connection.
	uses    int
	written int64
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

// use notes that a request has the connection, and returns its number.
func (c *countedConn) use() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.uses++
	return c.uses
}

// park notes that the connection is idle after a request, unless another one has it by
// now: the HTTP library tells of it late.
func (c *countedConn) park(use int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if use != c.uses {
		return
	}
	c.idle = true
	if c.retired {
		_ = c.Close() // Nothing is under way on it.
	}
}

func (c *countedConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if c.idle {
		_ = c.Close() // Nothing is under way on it.
	}
}

// Write counts what the connection took. A sealed connection takes nothing.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// seal closes the connection and returns the number of bytes that it took in
// its whole life. Nothing is written after that.
func (c *countedConn) seal() int64 {
	c.sealed.Store(true)
	// Closing ends a write that is under way and holds the lock.
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

var errResent = errors.New("the connection broke after a part of the request was sent")

// sentWatch follows one request over the connections that carry it. The HTTP
// library sends some requests again by itself when a kept connection breaks;
// sentWatch lets it do so only while nothing was sent.
type sentWatch struct {
	// cancel ends the request.
	cancel context.CancelCauseFunc
	// check refuses the request before it is sent; nil doesn't.
	check func() error

	mu    sync.Mutex
	conn  *countedConn
	sent  bool
	start int64
	use   int
}

// gotConn notes the connection that the request is about to be written to.
func (w *sentWatch) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil && w.conn.count() > w.start {
		w.sent = true
	}
	if conn, ok := info.Conn.(*countedConn); ok {
		w.use = conn.use()
	}
	if !w.sent && w.check != nil {
		if err := w.check(); err != nil {
			w.refuse(info.Conn, err)
			return
		}
	}
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		// Nothing is known of the connection, so the request counts as sent.
		w.sent = true
		return
	}
	if w.sent {
		conn.seal()
		w.cancel(errResent)
		return
	}
	w.conn, w.start = conn, conn.count()
}

// refuse ends the request before anything is written.
func (w *sentWatch) refuse(conn net.Conn, err error) {
	if counted, ok := conn.(*countedConn); ok {
		w.conn, w.start = counted, counted.seal()
	}
	w.cancel(err)
}

// putIdle notes that the connection of the request is idle.
func (w *sentWatch) putIdle(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil && err == nil {
		w.conn.park(w.use)
	}
}

// seal closes the connection and reports whether a byte of the request was
// handed to one.
func (w *sentWatch) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil && w.conn.seal() > w.start {
		w.sent = true
	}
	return w.sent
}
