package plain_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
)

// TestOrderGivenUpIsReset gives a request up before it is answered. The server sees a reset
// after an order, since bytes that are still on their way must not arrive later.
func TestOrderGivenUpIsReset(t *testing.T) {
	for purpose, want := range map[plain.Purpose]error{plain.PurposeOrder: syscall.ECONNRESET, plain.PurposeItem: nil} {
		t.Run(string(purpose), func(t *testing.T) {
			is := is.New(t)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			client := &plain.Client{}
			_, err = client.Do(ctx, listener.Addr().String(), plain.Request{Method: "POST", Purpose: purpose, RequestID: "a", Target: "/"})
			is.True(err != nil)
			conn, err := listener.Accept()
			if err == nil {
				defer func() { _ = conn.Close() }()
				_, err = io.ReadAll(conn)
			}
			is.True(errors.Is(err, want))
		})
	}
}
