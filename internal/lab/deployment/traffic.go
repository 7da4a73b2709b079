package deployment

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes of the connections that it accepts, in
// both directions.
type countingListener struct {
	net.Listener

	bytes *atomic.Int64
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// PeerBytes returns the bytes sent between the nodes so far, each counted
// once. Separate processes are not counted.
func (d *Deployment) PeerBytes() int64 { return d.peerBytes.Load() }
