package datagram

import (
	"log/slog"
	"net"

	"golang.org/x/time/rate"
)

const (
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 64 << 10
	// refusalLogsPerSecond limits the log records of refused datagrams.
	refusalLogsPerSecond = 1
)

// Conn is a packet connection that seals the datagrams that it sends and opens
// those that it receives. Use NewConn to create one.
type Conn struct {
	net.PacketConn

	deployment string
	keys       func() []Key
	logLimiter *rate.Limiter
	logger     *slog.Logger
}

var _ net.PacketConn = (*Conn)(nil)

// NewConn returns a Conn over inner for the nodes of a deployment. It calls keys
// for each datagram; if keys returns none, datagrams are neither encrypted nor
// authenticated.
func NewConn(inner net.PacketConn, deployment string, keys func() []Key, logger *slog.Logger) *Conn {
	return &Conn{
		PacketConn: inner,
		deployment: deployment,
		keys:       keys,
		logLimiter: rate.NewLimiter(refusalLogsPerSecond, 1),
		logger:     logger,
	}
}

// ReadFrom reads datagrams until one can be opened and copies its payload into p.
// Refused datagrams are skipped; at most refusalLogsPerSecond of them are logged.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	buffer := make([]byte, min(len(p)+Overhead, maxDatagram))
	for {
		n, from, err := c.PacketConn.ReadFrom(buffer)
		if err != nil {
			return 0, from, err
		}
		payload, err := Open(c.deployment, c.keys(), buffer[:n])
		if err == nil {
			return copy(p, payload), from, nil
		}
		if c.logLimiter.Allow() {
			c.logger.Warn("peer refused",
				slog.String("reason", err.Error()),
				slog.String("peer", from.String()),
				slog.String("protocol", "datagram"))
		}
	}
}

// WriteTo seals p and sends it to the address to.
func (c *Conn) WriteTo(p []byte, to net.Addr) (int, error) {
	if _, err := c.PacketConn.WriteTo(Seal(c.deployment, c.keys(), p), to); err != nil {
		return 0, err
	}
	return len(p), nil
}
