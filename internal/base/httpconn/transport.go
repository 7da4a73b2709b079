package httpconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Transport sends requests over connections of type [Conn]. Base is set before the first call, which
// changes how it opens connections. It must not use a proxy.
type Transport struct {
	Base *http.Transport

	once sync.Once
}

var _ http.RoundTripper = (*Transport)(nil)

// DefaultClient is the client of services of which each host calls only a few. It ignores the proxy
// settings of the environment.
var DefaultClient = &http.Client{Transport: &Transport{Base: &http.Transport{IdleConnTimeout: idleTimeout}}}

// idleTimeout is how long DefaultClient keeps idle connections. That of http.DefaultTransport is
// the same.
const idleTimeout = 90 * time.Second

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.once.Do(t.setUp)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.BeginRequest(r.Method)
		}
	}}
	return t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

func (t *Transport) setUp() {
	dial := t.Base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.Base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
	config := t.Base.TLSClientConfig
	t.Base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured, err := handshake(ctx, conn, address, config)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return &Conn{Conn: secured}, nil
	}
}

// handshake secures a connection to the server at address, a host and port.
func handshake(ctx context.Context, conn net.Conn, address string, config *tls.Config) (*tls.Conn, error) {
	config = config.Clone()
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	secured := tls.Client(conn, config)
	return secured, secured.HandshakeContext(ctx)
}
