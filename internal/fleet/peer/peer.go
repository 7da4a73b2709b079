// Package peer provides the gRPC server and connection pool that entry hosts use
// to call each other.
package peer

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

var classError = errs.Class("peer")

const (
	// KeepaliveInterval is how long a connection with calls in progress may be
	// inactive before gRPC pings it. It is the shortest interval that the gRPC
	// library allows.
	KeepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
)

// Pool holds one connection per peer address. The exported fields are set before
// the first call.
type Pool struct {
	// Credentials secure the connections. If nil, connections are in plain text.
	Credentials credentials.TransportCredentials
	// Options are additional dial options for each connection.
	Options []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// Conn returns the connection to address, an IP address and port. The connection
// is established by the first call made on it.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, classError.New("no connection to %s: the pool is closed", address)
	}
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := dial(address, p.Credentials, p.Options)
	if err != nil {
		return nil, err
	}
	if p.conns == nil {
		p.conns = make(map[string]*grpc.ClientConn)
	}
	p.conns[address] = conn
	return conn, nil
}

// CloseConn closes and removes the connection to address, if there is one.
func (p *Pool) CloseConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// Close closes all connections. Conn then fails.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	var group errs.Group
	for address, conn := range p.conns {
		group.Add(conn.Close())
		delete(p.conns, address)
	}
	return group.Err()
}

// dial returns a connection to address, which the first call on it establishes. If transport is
// nil, the connection is in plain text.
func dial(address string, transport credentials.TransportCredentials, more []grpc.DialOption) (*grpc.ClientConn, error) {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	options := []grpc.DialOption{
		// If the peer process is paused or the link fails, the connection stays
		// open without any sign of it; keepalive pings detect that.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: KeepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler()),
		grpc.WithTransportCredentials(transport),
	}
	conn, err := grpc.NewClient("passthrough:///"+address, append(options, more...)...)
	return conn, classError.Wrap(err)
}
