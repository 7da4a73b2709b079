// Package probe finds out whether a process listens at an address.
package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Finding is what a probe found.
type Finding int

// The findings. A machine that is down, cut off or too busy gives no answer.
const (
	NoAnswer Finding = iota
	// Listens says that a process accepts connections.
	Listens
	// Nobody says that the machine answers and no process listens: the one that did has
	// ended, and its connections are closed.
	Nobody
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Address probes an IP address and port.
func Address(ctx context.Context, dial Dial, address string) Finding {
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close() // Nothing was sent.
		return Listens
	case errors.Is(err, syscall.ECONNREFUSED):
		return Nobody
	default:
		return NoAnswer
	}
}
