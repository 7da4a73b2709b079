package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// UsageRecorder counts the requests that servers began to run.
type UsageRecorder interface {
	// Began counts a request of an account that a server began at the local time at.
	Began(account string, at time.Time)
}

// sendRecorded sends the request to one server and records it if the server may have begun
// it. A stream begins with its first bytes.
func (x *exchange) sendRecorded(ctx context.Context, candidate inventory.Candidate) answer {
	a := x.send(ctx, candidate, x.request, x.deadline, x.attempts.route.Repeat != config.RepeatIdempotent)
	account := x.request.account()
	if x.Usage == nil || account == "" || a.sent.IsZero() || a.ran == kind.RanNo {
		return a
	}
	if a.response != nil && isEventStream(a.response) {
		a.response.Body = &recordedStream{ReadCloser: a.response.Body, began: func() { x.Usage.Began(account, time.Now()) }}
		return a
	}
	x.Usage.Began(account, a.sent)
	return a
}

// recordedStream records the first bytes of a stream.
type recordedStream struct {
	io.ReadCloser

	began func()
	once  sync.Once
}

// Read implements io.Reader.
func (s *recordedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if n > 0 {
		s.once.Do(s.began)
	}
	return n, err
}

// account returns the client account of the request, or the empty string if it has none.
func (r Request) account() string {
	if r.Grant == nil {
		return ""
	}
	return r.Grant.Account
}
