package plainproxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// The rest of a refused request's body is read and discarded so that the connection
	// can be reused. maxDrainBytes and maxDrainTime bound this.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 50 * time.Millisecond
)

var errBodyStopped = errors.New("read of a request body after the request was answered")

// callerBody is the body of a caller's request. The HTTP server reads the next
// request from the connection once the handler has returned, so by then the body
// must have been read to its end, or the connection must be closed.
type callerBody struct {
	// remaining is the number of bytes to be read, negative if it is unknown.
	remaining int64
	source    io.ReadCloser

	// mu is held while the source is read.
	mu       sync.Mutex
	stopped  bool
	complete bool
}

func newCallerBody(r *http.Request) *callerBody {
	return &callerBody{remaining: r.ContentLength, source: r.Body, complete: r.ContentLength == 0}
}

// Read reads from the caller. It fails after a call of stop.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, errBodyStopped
	}
	return b.read(p)
}

// read reads from the source and notes the end of the body. The caller holds b.mu.
func (b *callerBody) read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if b.remaining > 0 {
		b.remaining -= int64(n)
	}
	if errors.Is(err, io.EOF) || b.remaining == 0 {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer; the HTTP server closes the source.
func (b *callerBody) Close() error { return nil }

// stop makes later calls of Read fail. If a Read is in progress, for example by the
// transport of a cancelled attempt, stop first calls interrupt to end it and waits until it
// has returned.
func (b *callerBody) stop(interrupt func()) {
	if !b.mu.TryLock() {
		interrupt()
		b.mu.Lock()
	}
	b.stopped = true
	b.mu.Unlock()
}

// drain reads up to maxDrainBytes of the rest of the body and reports whether it reached
// the end.
func (b *callerBody) drain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer := make([]byte, maxDrainBytes)
	for read := 0; !b.complete && read < maxDrainBytes; {
		n, err := b.read(buffer[read:])
		if err != nil {
			break
		}
		read += n
	}
	return b.complete
}

// consumed reports whether the body was read to its end. It is false during a read.
func (b *callerBody) consumed() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.complete
}

// interruptRead ends a read of the caller's body in progress. The connection can't be
// reused after it.
func (x *exchange) interruptRead() {
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
}

// discardBody stops the body of a request that is about to be refused and drains it, or
// closes the connection if the body is too long or slow.
func (x *exchange) discardBody() {
	x.callerBody.stop(x.interruptRead)
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(maxDrainTime))
	if !x.callerBody.drain() {
		x.closeConnection()
	}
}

// closeConnection makes the response the last one on its connection.
func (x *exchange) closeConnection() {
	x.w.Header().Set("Connection", "close")
}
