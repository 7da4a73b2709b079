// Package httpconn provides connections for clients of HTTP/1.1. They turn broken answers that
// package net/http takes for sound ones into errors: answers that were reset while their request
// was being sent, lines that are no fields (RFC 9112), and bytes that belong to no request.
package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

var classError = errs.Class("httpconn")

// errAdditional is the error of a read after additional bytes of the server.
var errAdditional = classError.New("the server sent bytes that belong to no request")

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// Conn is a connection to a server. Its field Conn is set before the first call. One goroutine may
// read while another one writes. Requests follow each other: the next one begins after the answer to
// the one before.
type Conn struct {
	net.Conn

	closed atomic.Bool
	// answerMu guards the fields below.
	answerMu sync.Mutex
	// answer follows the answers on the connection.
	answer scanner
	// answerErr is set once the server has sent something that is no part of a sound answer.
	answerErr error
	// writeMu is held during a write. It guards the fields below.
	writeMu sync.Mutex
	// discards is set if the rest of the current request isn't written, because the server has
	// ended the connection.
	discards bool
	// method is the method of the current request.
	method string
	// sent is set once a byte of the current request has been written, and begun once one may
	// have been.
	begun, sent bool
	// writeErr is the first error of a write that tells of the connection's end.
	writeErr error
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// BeginRequest is called before each request is written. An empty method means GET.
func (c *Conn) BeginRequest(method string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.begun, c.discards, c.method, c.sent = false, false, method, false
}

// beginAnswer expects the answer to the current request. It returns an error if the connection can't
// be used for it.
func (c *Conn) beginAnswer() error {
	c.answerMu.Lock()
	defer c.answerMu.Unlock()
	if c.answerErr == nil && c.answer.state != stateNone {
		c.answerErr = classError.New("the answer before has not ended")
	}
	if c.answerErr == nil {
		c.answer.begin(c.method)
	}
	return c.answerErr
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// Read reads from the connection. It returns io.EOF only if the server has ended its stream: after
// a reset it returns an error, even if a write has met the reset first. It returns no bytes of a
// line that must not stand in an answer, nor such as belong to no request.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.answerError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return c.check(p[:n]) // A later read returns err again.
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return 0, err
}

func (c *Conn) answerError() error {
	c.answerMu.Lock()
	defer c.answerMu.Unlock()
	return c.answerErr
}

// check returns how many of the bytes read may be passed on, or an error if that is none of them.
func (c *Conn) check(p []byte) (int, error) {
	c.answerMu.Lock()
	defer c.answerMu.Unlock()
	n, err := c.answer.scan(p)
	if err != nil {
		c.answerErr = err
		return 0, err
	}
	if n < len(p) {
		c.answerErr = errAdditional
	}
	if n == 0 {
		return 0, c.answerErr
	}
	return n, nil
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

// Write writes to the connection. If the server ends the connection before it has read all of a
// request, the rest is discarded and Write returns no error, since net/http would close the
// connection although an answer may have arrived. The next read tells how the connection ended.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.discards {
		return c.discard(p)
	}
	if !c.begun {
		c.begun = true
		if err := c.beginAnswer(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.sent = c.sent || n > 0
	if err == nil {
		return n, nil
	}
	if c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.writeErr = err
	}
	if c.sent && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		c.discards = true
		return c.discard(p)
	}
	return n, err
}

func (c *Conn) discard(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return len(p), nil
}
