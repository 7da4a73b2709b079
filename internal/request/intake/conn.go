package intake

import (
	"bytes"
	"io"
	"math"
	"net"
	"os"
	"time"
)

const (
	// lineBytes is what a line of a head takes once it is decoded and sent on.
	lineBytes = 256
	// minLineBytes is the length of the shortest line of a head.
	minLineBytes = 4
	// headSlack is how much longer than a configuration's limit a head may be, beside as much
	// again for its first line.
	headSlack = 4 << 10
	// refusalTimeout bounds the write of the answer to a head that is too long.
	refusalTimeout = 50 * time.Millisecond
	// writeBytes is the size of the parts in which answers are written.
	writeBytes = 64 << 10
)

const tooLargeHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Listener returns measured connections. The exported fields are set before the first use.
type Listener struct {
	net.Listener

	Budget *Budget
	// MaxConnections bounds the open connections; zero leaves them unbounded.
	MaxConnections int
	// Unmeasured is set if the connections carry no requests of HTTP/1. Such a connection only
	// counts, and may be ended until its first byte has come.
	Unmeasured bool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.Budget.admit(conn, l); ok {
			return c, nil
		}
		_ = conn.Close() // No request is lost: nothing was read from the connection.
	}
}

// Conn is a connection of a caller. What it holds is given back when its request ends.
type Conn struct {
	net.Conn

	budget   *Budget
	measured bool

	// The fields below are guarded by budget.mu.
	closed bool
	holder holder
	// headBytes and headLines count what has been read of a head.
	headBytes, headLines int
	// inBody is set once the head of the request is complete.
	inBody bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.checkHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if cost := c.received(p[:n]); cost > 0 && c.budget.take(c, cost) != nil {
			return 0, io.EOF
		}
	}
	return n, err
}

// checkHead returns an error if the connection was ended or what it has sent of a head is too
// long. The server doesn't read on once a head is complete, so only incomplete ones are too long.
func (c *Conn) checkHead() error {
	switch {
	case c.isEnded():
		return os.ErrDeadlineExceeded
	case !c.hasLongHead():
		return nil
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, tooLargeHead) // The connection closes either way.
	return io.EOF
}

func (c *Conn) isEnded() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.holder.ended
}

// hasLongHead reports whether what has come of a head is too long, and records it.
func (c *Conn) hasLongHead() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.measured || c.inBody || c.budget.HeadBytes == nil {
		return false
	}
	limit := c.budget.HeadBytes()
	if limit <= 0 || c.headBytes <= 2*limit+headSlack && c.headLines <= limit/minLineBytes {
		return false
	}
	c.budget.record(reasonHead)
	return true
}

// received records what was read and returns the memory that it takes.
func (c *Conn) received(data []byte) int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	now := time.Now()
	if !c.measured {
		c.holder.begin(now, running)
		return 0
	}
	if c.holder.phase == idle {
		c.holder.begin(now, receiving)
	}
	c.holder.move(now, len(data))
	if c.inBody {
		return 0
	}
	lines := bytes.Count(data, []byte("\n"))
	c.headBytes += len(data)
	c.headLines += lines
	return int64(2*len(data) + lineBytes*lines)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	for err == nil && written < len(p) {
		var n int
		c.setPhase(running, sending)
		n, err = c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		c.setPhase(sending, running)
		written += n
	}
	return written, err
}

// setPhase begins phase to if the connection is in phase from.
func (c *Conn) setPhase(from, to phase) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.measured && c.holder.phase == from {
		c.holder.begin(time.Now(), to)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.holder.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.budget.mu.Lock()
	if !c.closed {
		c.closed = true
		c.budget.ledger.remove(&c.holder)
		delete(c.budget.conns, &c.holder)
		c.budget.notify()
	}
	c.budget.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the answers, so that a caller reads the last one before the connection closes.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// interrupt lets the server give the connection up. budget.mu must be held. While a body is read,
// the read fails, so that the request can still be answered.
func (c *Conn) interrupt() {
	if c.holder.phase == sending || !c.measured {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now())
}

// serve records that the head of a request is complete.
func (c *Conn) serve() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.inBody = true
	c.holder.begin(time.Now(), running)
	c.budget.ledger.charge(&c.holder, requestBytes)
}

// reset gives back what the last request held.
func (c *Conn) reset() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.closed {
		return
	}
	c.headBytes, c.headLines, c.inBody = 0, 0, false
	c.holder.begin(time.Now(), idle)
	c.budget.ledger.give(&c.holder, c.holder.held-connectionBytes)
	c.budget.notify()
}

// Receive marks the request as one that is still being received: nothing has run yet, and it may
// be ended if it stalls.
func (c *Conn) Receive() {
	if c != nil {
		c.setPhase(running, receiving)
	}
}

// Received marks the request as complete. An error says that it was ended before and must not run.
func (c *Conn) Received() error {
	if c == nil {
		return nil
	}
	c.setPhase(receiving, running)
	return c.Err()
}

// Err returns an error if the connection was ended.
func (c *Conn) Err() error {
	if c == nil {
		return nil
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.holder.ended {
		return errEnded
	}
	return nil
}

// Take takes n bytes before they are used, or waits for them. Its error says that the request
// has not run.
func (c *Conn) Take(n int64) error {
	if c == nil {
		return nil
	}
	return c.budget.take(c, n)
}

// Room returns the most that the request may take while no other one holds much.
func (c *Conn) Room() int64 {
	if c == nil {
		return math.MaxInt64
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	room := c.budget.ledger.room(&c.holder)
	if c.budget.Work != nil {
		room -= min(c.budget.Work(), c.budget.Bytes/2)
	}
	return max(room, 0)
}

// Charge records that the request holds n bytes more.
func (c *Conn) Charge(n int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.ledger.charge(&c.holder, n)
}

// Give gives n bytes back.
func (c *Conn) Give(n int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.ledger.give(&c.holder, n)
	c.budget.notify()
}
