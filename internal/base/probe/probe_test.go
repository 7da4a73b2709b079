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
	// An address of its own keeps the port from connections that others open.
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.8.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.Equal(probe.Address(t.Context(), dial, address), probe.Listens)
	is.NoErr(listener.Close())
	is.Equal(probe.Address(t.Context(), dial, address), probe.Nobody)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(probe.Address(ctx, dial, address), probe.NoAnswer)
}
