// Package node assembles an entry host from its components and runs it from start
// to graceful shutdown.
package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/entry/settings"
	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
	"github.com/nutmegway/nutmegway/internal/fleet/address"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/direct"
)

var classError = errs.Class("node")

// readHeaderTimeout bounds the time to read a request's header.
const readHeaderTimeout = 10 * time.Second

// maxHeaderBytes is the longest header of a request in bytes.
const maxHeaderBytes = 64 << 10

// Listeners are the listeners of a node. Run opens those that are nil at the addresses
// in the settings; metrics aren't served without an address.
type Listeners struct {
	Admin   net.Listener
	Caller  net.Listener
	Metrics net.Listener
	Peer    net.Listener
}

// Node is one entry host. The exported fields are set before Run.
type Node struct {
	// BaselinePolicy is a simple balancing policy to which benchmarks compare the queue
	// owners. If it is set, the node has no queue owner. It is nil outside benchmarks.
	BaselinePolicy balance.Policy[direct.Candidate]
	Hosts          hostlist.Reader
	Listeners      Listeners
	Logger         *slog.Logger
	Settings       settings.Settings
	Store          kv.Store
	Weights        weightstore.Store

	agent     *member.Agent
	drain     chan struct{}
	drainOnce sync.Once
	inFlight  inFlight
	initOnce  sync.Once
	lifecycle *address.Lifecycle
	parts     parts
}

// Drain starts a graceful shutdown. Run returns when the shutdown is complete.
func (n *Node) Drain() {
	n.init()
	n.drainOnce.Do(func() { close(n.drain) })
}

// Run serves until a shutdown started by Drain is complete or ctx ends. The end of ctx
// aborts the requests in flight.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	if err := n.listen(ctx); err != nil {
		return err
	}
	peerCreds, err := n.setUpTLS()
	if err != nil {
		n.Listeners.close()
		return err
	}
	pool := &peer.Pool{Credentials: peerCreds.client, Options: n.peerOptions()}
	defer func() { _ = pool.Close() }()
	servers := n.newServers(peerCreds)
	if err := n.assemble(ctx, pool, servers.peer); err != nil {
		n.Listeners.close()
		return err
	}
	servers.caller.Handler = n.inFlight.countRequests(n.parts.callerRoutes())
	servers.admin.Handler = n.parts.adminRoutes()
	return n.serve(ctx, servers)
}

func (n *Node) init() {
	n.initOnce.Do(func() {
		n.drain = make(chan struct{})
		n.lifecycle = address.NewLifecycle()
	})
}

// serve runs the components and the servers until the node is drained or ctx ends.
func (n *Node) serve(ctx context.Context, s listenerServers) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	for _, component := range n.parts.components {
		group.Go(func() error { return ignoreStop(ctx, component.Run(ctx)) })
	}
	group.Go(func() error { return serveHTTP(s.caller, n.Listeners.Caller) })
	group.Go(func() error { return serveHTTP(s.admin, n.Listeners.Admin) })
	group.Go(func() error { return ignoreStop(ctx, s.peer.Serve(n.Listeners.Peer)) })
	if n.Listeners.Metrics != nil {
		group.Go(func() error { return serveHTTP(s.metrics, n.Listeners.Metrics) })
	}
	group.Go(func() error {
		defer stop()
		return n.shutdown(ctx, s)
	})
	n.Logger.InfoContext(ctx, "serving",
		slog.String("id", n.Settings.Node.ID),
		slog.String("caller", n.Listeners.Caller.Addr().String()),
		slog.String("peer", n.Listeners.Peer.Addr().String()),
		slog.String("admin", n.Listeners.Admin.Addr().String()))
	return group.Wait()
}

// serveHTTP serves HTTP on listener until the server is shut down.
func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return classError.Wrap(err)
}

// ignoreStop returns nil for errors that result from the end of ctx, which stops the
// node, and err for others.
func ignoreStop(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil && (errors.Is(err, context.Canceled) || errors.Is(err, grpc.ErrServerStopped)) {
		return nil
	}
	return err
}
