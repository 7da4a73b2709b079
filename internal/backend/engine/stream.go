package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"sync"

	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// maxEventBytes limits the length of one event.
const maxEventBytes = 1 << 20

// stream reads the chunks of one answer from its server-sent events.
type stream struct {
	body       io.Closer
	cancel     context.CancelFunc
	client     Client
	id         string
	nextEvent  func() (sse.Event, error, bool)
	span       trace.Span
	stopReader func()

	closeOnce sync.Once
	// readMu is held by Next, so that Close stops the reader only after Next returned. It
	// guards the fields below.
	readMu sync.Mutex
	ended  bool
	err    error
	tokens int
}

func newStream(c Client, id string, response *http.Response, cancel context.CancelFunc, span trace.Span) *stream {
	s := &stream{body: response.Body, cancel: cancel, client: c, id: id, span: span}
	s.nextEvent, s.stopReader = iter.Pull2(sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return s
}

// Next returns the next chunk, or io.EOF after the event that ends the stream. Each later
// call returns the same error.
func (s *stream) Next() (Chunk, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	if s.ended {
		return Chunk{}, io.EOF
	}
	if s.err != nil {
		return Chunk{}, s.err
	}
	chunk, err := s.readChunk()
	switch {
	case errors.Is(err, io.EOF):
		s.ended = true
	case err != nil:
		s.err = err
	default:
		s.tokens += chunk.Tokens
	}
	return chunk, err
}

func (s *stream) readChunk() (Chunk, error) {
	event, err, ok := s.nextEvent()
	switch {
	case !ok:
		return Chunk{}, s.streamError(kind.BackendFailed, "event stream ended without its final "+StreamDone+" event")
	case errors.Is(err, context.Canceled):
		return Chunk{}, s.streamError(kind.Cancelled, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return Chunk{}, s.streamError(kind.DeadlineExceeded, err.Error())
	case err != nil:
		return Chunk{}, s.streamError(kind.BackendFailed, err.Error())
	case event.Data == StreamDone:
		return Chunk{}, io.EOF
	case event.Type == "error":
		return Chunk{}, s.refusalError(event.Data)
	}
	var completion Completion
	if err := json.Unmarshal([]byte(event.Data), &completion); err != nil {
		return Chunk{}, s.streamError(kind.BackendFailed, err.Error())
	}
	chunk := completion.Chunk()
	if chunk.ID != s.id {
		return Chunk{}, s.streamError(kind.BackendFailed, "stream of request "+s.id+" carried a chunk of request "+chunk.ID)
	}
	return chunk, nil
}

// refusalError returns the error in the data of an error event. Data that is not an error
// body gives an error of kind BackendFailed.
func (s *stream) refusalError(data string) error {
	var body httperror.Body
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Kind == "" {
		return s.streamError(kind.BackendFailed, data)
	}
	return body.Err()
}

// streamError returns an error with RanYes: the engine had begun to answer, so the request
// ran.
func (*stream) streamError(k kind.Kind, message string) error {
	return kind.New(k, "%s", message).WithRan(kind.RanYes)
}

// Close ends the stream. A generation that has not finished is also cancelled at the
// engine, which may not notice that the connection is closed.
func (s *stream) Close() error {
	var err error
	s.closeOnce.Do(func() { err = s.close() })
	return err
}

func (s *stream) close() error {
	s.cancel()
	s.readMu.Lock()
	defer s.readMu.Unlock()
	s.stopReader()
	_ = s.body.Close() // Cancelling the context has closed the connection already.
	s.span.SetAttributes(attribute.Int("tokens", s.tokens))
	if s.err != nil {
		s.span.SetStatus(codes.Error, s.err.Error())
	}
	s.span.End()
	if s.ended {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return s.client.Cancel(ctx, s.id)
}
