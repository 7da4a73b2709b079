// Package probe checks whether a process listens at a TCP address.
package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Result is the result of a probe.
type Result int

// The results of a probe.
const (
	// NoAnswer means that the attempt to connect ended without a reply: the machine
	// may be down, unreachable or overloaded.
	NoAnswer Result = iota
	// Listening means that a process accepts connections.
	Listening
	// NotListening means that the machine refused the connection, because no process
	// listens at the address. A process that listened there before has ended, and its
	// connections are closed.
	NotListening
)

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Address probes address, an IP address and port, by opening a TCP connection.
func Address(ctx context.Context, dial Dial, address string) Result {
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close() // Nothing was sent.
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	default:
		return NoAnswer
	}
}
