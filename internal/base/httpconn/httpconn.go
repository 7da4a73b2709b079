// Package httpconn provides connections for clients of HTTP/1.1. They turn broken answers that
// package net/http takes for sound ones into errors.
package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

var classError = errs.Class("httpconn")

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// Conn is a connection to a server. Conn is set before the first call. One goroutine may read
// while another one writes.
type Conn struct {
	net.Conn

	// writeMu is held during a write. It guards the field below.
	writeMu sync.Mutex
	// writeErr is the first error of a write that tells of the connection's end.
	writeErr error
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. It returns io.EOF only if the server has ended its stream. After
// a reset it returns an error, even if a write has met the reset first.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns the error of a read at the end of the stream. The kernel reports the error of a
// socket once. If a write gets it, the next read returns 0 bytes, just as at a regular end.
func (c *Conn) endError() error {
	// A write may wait for a server that no longer reads. Nothing is sent after the end of the
	// stream, because the connection isn't used again.
	_ = c.Conn.SetWriteDeadline(expired) // An error means that the connection is closed.
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// The error of a reset after the end of the stream is EPIPE.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return classError.New("the connection broke while the request was sent: %w", c.writeErr)
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.writeErr = err
	}
	return n, err
}
