package server

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Dialer connects to backend servers and reports to Directory which of them accept
// or refuse connections. The fields must be set before the first call.
type Dialer struct {
	net.Dialer
	Directory *Directory
}

// DialContext connects to address like [net.Dialer.DialContext].
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	switch {
	case err == nil:
		d.Directory.connectionAcceptedAt(address)
	case errors.Is(err, syscall.ECONNREFUSED):
		d.Directory.connectionRefusedAt(address)
	}
	return conn, err
}
