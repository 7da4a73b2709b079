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

// servers are what answers on the listeners.
type servers struct {
	admin   *http.Server
	caller  *http.Server
	metrics *http.Server
	peer    *grpc.Server
}

// secured holds what the TLS settings give.
type secured struct {
	peerClient credentials.TransportCredentials
	peerServer credentials.TransportCredentials
}

// listen opens the sockets that were not handed over, and closes all again
// when one fails.
func (n *Node) listen(ctx context.Context) error {
	for _, socket := range []struct {
		address  string
		listener *net.Listener
	}{
		{address: n.Settings.Listen.Admin, listener: &n.Listeners.Admin},
		{address: n.Settings.Listen.Caller, listener: &n.Listeners.Caller},
		{address: n.Settings.Listen.Metrics, listener: &n.Listeners.Metrics},
		{address: n.Settings.Listen.Peer, listener: &n.Listeners.Peer},
	} {
		if *socket.listener != nil || socket.address == "" {
			continue
		}
		var config net.ListenConfig
		opened, err := config.Listen(ctx, "tcp", socket.address)
		if err != nil {
			n.Listeners.close()
			return classError.Wrap(err)
		}
		*socket.listener = opened
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

// secure wraps the listeners for callers and operators in TLS and builds the
// credentials between entry hosts.
func (n *Node) secure() (secured, error) {
	if err := n.secureCallers(); err != nil {
		return secured{}, err
	}
	if n.Settings.PeerTLS.Certificate == "" {
		plain := insecure.NewCredentials()
		return secured{peerClient: plain, peerServer: plain}, nil
	}
	source := newSource(n.Settings.PeerTLS.TLS)
	server, err := source.ServerConfig()
	if err != nil {
		return secured{}, err
	}
	client, err := source.ClientConfig(authority.PeerName)
	if err != nil {
		return secured{}, err
	}
	return secured{peerClient: credentials.NewTLS(client), peerServer: strangers{TransportCredentials: credentials.NewTLS(server), logger: n.Logger}}, nil
}

func (n *Node) secureCallers() error {
	if n.Settings.TLS.Certificate == "" {
		return nil
	}
	config, err := newSource(n.Settings.TLS).ServerConfig()
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

func newSource(t settings.TLS) *tlsfile.Source {
	return &tlsfile.Source{Files: tlsfile.Files{Authority: t.Authority, Certificate: t.Certificate, Key: t.Key}}
}

func (n *Node) newServers(s secured) servers {
	return servers{
		admin:   newHTTPServer(),
		caller:  newHTTPServer(),
		metrics: n.newMetricsServer(),
		peer: grpc.NewServer(
			grpc.Creds(s.peerServer),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: peer.PingEvery / 2}),
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
		MaxHeaderBytes:    headerLimit,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
	}
}

// newMetricsServer registers the process's meters. When several nodes share
// one process the last one's registry serves them all.
func (n *Node) newMetricsServer() *http.Server {
	server := newHTTPServer()
	if n.Listeners.Metrics == nil {
		return server
	}
	provider, handler, err := telemetry.NewMetrics()
	if err != nil {
		n.Logger.Error("metrics cannot be exported", errorAttr(err))
		return server
	}
	setMeterProvider(provider)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	server.Handler = mux
	return server
}
