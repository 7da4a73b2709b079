package plainproxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	// maxKeyedBodyBytes is the longest body of a request with an idempotency key.
	maxKeyedBodyBytes = 1 << 20
	// maxReplayBodyBytes is the longest body that is buffered so that it can be sent
	// again.
	maxReplayBodyBytes = 64 << 10
)

// requestBody is the body of a request. It is either buffered, so that it can be sent more
// than once, or streamed from the caller.
type requestBody struct {
	buffered      []byte
	length        int64
	stream        io.Reader
	streamStarted atomic.Bool
}

// bufferBody reads a body of at most limit bytes into memory. A longer body is an error
// of kind too-large.
func bufferBody(r *http.Request, limit int64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, kind.New(kind.TooLarge, "the request body has %d bytes, more than the limit of %d bytes", r.ContentLength, limit)
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, (&kind.Error{Cause: err, Kind: kind.BadRequest, Message: "the request body could not be read to its end"}).WithRan(kind.RanNo)
	}
	if int64(len(buffered)) > limit {
		return nil, kind.New(kind.TooLarge, "the request body has more than the limit of %d bytes", limit)
	}
	return &requestBody{buffered: buffered, length: int64(len(buffered))}, nil
}

// streamBody returns the body of a request to be streamed, which can be sent once.
func streamBody(r *http.Request) *requestBody {
	if r.ContentLength == 0 {
		return &requestBody{}
	}
	return &requestBody{length: r.ContentLength, stream: r.Body}
}

// reader returns a reader of the body for an attempt, or nil if the body is empty.
func (b *requestBody) reader() io.Reader {
	switch {
	case b.stream != nil:
		return b
	case len(b.buffered) > 0:
		return bytes.NewReader(b.buffered)
	default:
		return nil
	}
}

// Read reads from the stream and notes that the stream was started.
func (b *requestBody) Read(p []byte) (int, error) {
	b.streamStarted.Store(true)
	return b.stream.Read(p)
}

// replayable reports whether the body can still be sent from its beginning.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.streamStarted.Load() }
