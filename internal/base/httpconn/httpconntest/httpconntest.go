// Package httpconntest helps tests of clients that read answers while they still send their
// requests: a server that answers early, and connections that bring about orders of events which
// are rare otherwise.
package httpconntest

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// UploadBytes is more than the socket buffers of both ends take.
	UploadBytes = 4 << 20

	// socketBufferBytes is the size of the socket buffers that hold an upload. The kernel doubles
	// it.
	socketBufferBytes = 128 << 10
	// readOnBytes is how much of an upload a server reads after its answer.
	readOnBytes = 1 << 20
	// maxWait bounds each wait of one end of a connection for another event.
	maxWait = 10 * time.Second
	// closeDelay is how long a reader waits for the connection to be closed after a failed write.
	closeDelay = 100 * time.Millisecond
)

// Reset makes a connection be reset when it is closed.
func Reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// EndStream ends the server's stream in order.
func EndStream(conn *net.TCPConn) { _ = conn.CloseWrite() }

// Leave does nothing. A connection that is closed before all that has arrived is read is reset.
func Leave(*net.TCPConn) {}

// ServeEarly starts a server that sends the answer as soon as it has read the head of a request,
// reads up to 1 MB of the body and calls end before it closes the connection. It returns the
// server's address.
func ServeEarly(t *testing.T, answer string, end func(*net.TCPConn)) string {
	t.Helper()
	// Accepted connections have the buffers of their listener.
	listener, err := (&net.ListenConfig{Control: setBuffers}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The test has ended.
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				// Clients may keep connections that they don't use.
				defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
				reader := bufio.NewReader(conn)
				request, err := http.ReadRequest(reader)
				if err != nil {
					return nil
				}
				_, _ = io.WriteString(conn, answer)
				_, _ = io.CopyN(io.Discard, request.Body, readOnBytes)
				if tcp, ok := conn.(*net.TCPConn); ok {
					awaitAcknowledged(tcp)
					end(tcp)
				}
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		cancel()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

// Order is an order of events on a connection whose server stops reading an upload.
type Order int

const (
	// WriteFailsFirst lets a write meet the end of the connection before the reader does. The
	// reader, which has got the whole answer by then, is asked before the connection is closed.
	WriteFailsFirst Order = iota
	// ClosesFirst lets the reader begin only after a write has failed and the connection has
	// been closed, if the failed write leads to that.
	ClosesFirst
)

// Dialer opens connections with an order of events.
type Dialer struct {
	// AnswerBytes is the length of the server's answer in bytes.
	AnswerBytes int
	Order       Order
}

// DialContext opens a connection like net.Dialer.DialContext.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Control: setBuffers}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ordered := &orderedConn{Conn: conn, order: d.Order, closed: make(chan struct{}), failed: make(chan struct{}), readOn: make(chan struct{})}
	if d.Order == WriteFailsFirst {
		ordered.unread = d.AnswerBytes
	}
	return ordered, nil
}

// orderedConn is a connection with an order of events.
type orderedConn struct {
	net.Conn

	closed, failed, readOn             chan struct{}
	closedOnce, failedOnce, readOnOnce sync.Once
	order                              Order
	// unread is how many bytes may be read before a write has failed.
	unread int
}

// Read implements net.Conn.
func (c *orderedConn) Read(p []byte) (int, error) {
	isLast := c.unread <= 0
	if isLast {
		await(c.failed, maxWait)
	} else {
		p = p[:min(len(p), c.unread)]
	}
	if c.order == ClosesFirst {
		await(c.closed, closeDelay)
	}
	n, err := c.Conn.Read(p)
	c.unread -= n
	if isLast || err != nil {
		c.readOnOnce.Do(func() { close(c.readOn) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *orderedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failedOnce.Do(func() { close(c.failed) })
		if c.order == WriteFailsFirst {
			await(c.readOn, maxWait)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *orderedConn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// setBuffers bounds the socket buffers that hold an upload.
func setBuffers(_, _ string, socket syscall.RawConn) error {
	var errs [2]error
	err := socket.Control(func(fd uintptr) {
		errs[0] = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
		errs[1] = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
	})
	return errors.Join(err, errs[0], errs[1])
}

// awaitAcknowledged waits until the other end has got all that was sent. A reset would discard it.
func awaitAcknowledged(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		left := 0
		err := raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil || left == 0 {
			return
		}
	}
}

func await(event <-chan struct{}, limit time.Duration) {
	select {
	case <-event:
	case <-time.After(limit):
	}
}
