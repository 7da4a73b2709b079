package probe_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/probe"
)

func TestAddress(t *testing.T) {
	is := is.New(t)
	dial := (&net.Dialer{}).DialContext
	// The address is not 127.0.0.1, so that no outgoing connection of another process
	// takes the port after the listener is closed.
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.8.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.Equal(probe.Address(t.Context(), dial, address), probe.Listening)
	is.NoErr(listener.Close())
	is.Equal(probe.Address(t.Context(), dial, address), probe.NotListening)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(probe.Address(ctx, dial, address), probe.NoAnswer)
}
