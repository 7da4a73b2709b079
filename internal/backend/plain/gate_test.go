package plain_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

var errRefused = errors.New("refused")

// fakeGate is a [plain.Gate] with a fixed decision. It ignores the end of the context while
// it delays a request, as a process does that is paused.
type fakeGate struct {
	delay  time.Duration
	permit plain.Permit
	err    error
}

func (g fakeGate) Admit(context.Context, string, plain.Purpose) (plain.Permit, error) {
	time.Sleep(g.delay)
	return g.permit, g.err
}

func (fakeGate) Observe(string, http.Header, time.Time) {}

// TestRequestThatIsNotAdmittedIsNotSent has a gate refuse a request, or admit it too late.
func TestRequestThatIsNotAdmittedIsNotSent(t *testing.T) {
	cases := map[string]fakeGate{
		"refused":                   {err: plain.NewNotAdmitted(time.Second, "refused")},
		"permit expired":            {permit: plain.Permit{Check: func() error { return errRefused }}},
		"deadline passed meanwhile": {delay: 60 * time.Millisecond},
	}
	for name, gate := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Bool
			address := serve(t, func(_ net.Conn, reader *bufio.Reader) {
				if _, err := reader.ReadByte(); err == nil {
					sent.Store(true)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			if gate.delay > 0 {
				ctx, cancel = context.WithTimeout(t.Context(), gate.delay/2)
			}
			defer cancel()
			request := newBooking()
			request.Server = "s"
			client := &plain.Client{Gate: gate}
			_, err := client.Do(ctx, address, request)
			is.True(err != nil)
			is.Equal(kind.Of(err).Ran, kind.RanNo)
			is.True(!sent.Load())
		})
	}
}
