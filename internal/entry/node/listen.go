package node

import (
	"context"
	"net"
	"net/http"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/nutmegway/nutmegway/internal/base/authority"
	"github.com/nutmegway/nutmegway/internal/base/telemetry"
	"github.com/nutmegway/nutmegway/internal/base/tlsfile"
	"github.com/nutmegway/nutmegway/internal/entry/settings"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

// listenerServers are the servers of the node's listeners.
type listenerServers struct {
	admin   *http.Server
	caller  *http.Server
	metrics *http.Server
	peer    *grpc.Server
}

// peerCredentials are the transport credentials between entry hosts.
type peerCredentials struct {
	client credentials.TransportCredentials
	server credentials.TransportCredentials
}

// listen opens the listeners that are not set yet. If one fails, it closes all of
// them.
func (n *Node) listen(ctx context.Context) error {
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{address: n.Settings.Listen.Admin, listener: &n.Listeners.Admin},
		{address: n.Settings.Listen.Caller, listener: &n.Listeners.Caller},
		{address: n.Settings.Listen.Metrics, listener: &n.Listeners.Metrics},
		{address: n.Settings.Listen.Peer, listener: &n.Listeners.Peer},
	} {
		if *l.listener != nil || l.address == "" {
			continue
		}
		var config net.ListenConfig
		opened, err := config.Listen(ctx, "tcp", l.address)
		if err != nil {
			n.Listeners.close()
			return classError.Wrap(err)
		}
		*l.listener = opened
	}
	return nil
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Admin, l.Caller, l.Metrics, l.Peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// setUpTLS wraps the listeners for callers, operators and metrics in TLS and returns the
// credentials for connections between entry hosts.
func (n *Node) setUpTLS() (peerCredentials, error) {
	if err := n.wrapListeners(); err != nil {
		return peerCredentials{}, err
	}
	if n.Settings.PeerTLS.Certificate == "" {
		plain := insecure.NewCredentials()
		return peerCredentials{client: plain, server: plain}, nil
	}
	source := newTLSSource(n.Settings.PeerTLS.TLS)
	server, err := source.ServerConfig()
	if err != nil {
		return peerCredentials{}, err
	}
	client, err := source.ClientConfig(authority.PeerName)
	if err != nil {
		return peerCredentials{}, err
	}
	return peerCredentials{client: credentials.NewTLS(client), server: handshakeLogger{TransportCredentials: credentials.NewTLS(server), logger: n.Logger}}, nil
}

// wrapListeners wraps the listeners other than the peer listener in TLS if the settings
// name a certificate.
func (n *Node) wrapListeners() error {
	if n.Settings.TLS.Certificate == "" {
		return nil
	}
	config, err := newTLSSource(n.Settings.TLS).ServerConfig()
	if err != nil {
		return err
	}
	n.Listeners.Admin = newTLSListener(n.Listeners.Admin, config)
	n.Listeners.Caller = newTLSListener(n.Listeners.Caller, config)
	if n.Listeners.Metrics != nil {
		n.Listeners.Metrics = newTLSListener(n.Listeners.Metrics, config)
	}
	return nil
}

// newTLSSource returns the source of the certificates in the files that t names.
func newTLSSource(t settings.TLS) *tlsfile.Source {
	return &tlsfile.Source{Files: tlsfile.Files{Authority: t.Authority, Certificate: t.Certificate, Key: t.Key}}
}

func (n *Node) newServers(creds peerCredentials) listenerServers {
	return listenerServers{
		admin:   newHTTPServer(),
		caller:  newHTTPServer(),
		metrics: n.newMetricsServer(),
		peer: grpc.NewServer(
			grpc.Creds(creds.server),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: peer.KeepaliveInterval / 2}),
			grpc.StatsHandler(otelgrpc.NewServerHandler()),
			grpc.ChainUnaryInterceptor(n.checkPeerUnary),
			grpc.ChainStreamInterceptor(n.checkPeerStream),
		),
	}
}

func newHTTPServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
	}
}

// newMetricsServer returns the server of metrics and sets the process's meter provider. If
// several nodes run in one process, the provider of the last one holds the metrics of all.
// Without a metrics listener, or if the exporter can't be created, it does not set the
// provider and the server serves no metrics.
func (n *Node) newMetricsServer() *http.Server {
	server := newHTTPServer()
	if n.Listeners.Metrics == nil {
		return server
	}
	provider, handler, err := telemetry.NewMetrics()
	if err != nil {
		n.Logger.Error("failed to create metrics exporter", errorAttr(err))
		return server
	}
	setMeterProvider(provider)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	server.Handler = mux
	return server
}
