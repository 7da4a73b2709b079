package fleet

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/fleet/spread"
)

// segmentOverhead is the size of the IP and TCP headers of a segment, in bytes.
const segmentOverhead = 40

// Node is one entry host without its listeners for callers.
type Node struct {
	Agent     *member.Agent
	Directory *server.Directory
	Documents *spread.Documents
	Host      hostlist.Host
	Spreader  *spread.Spreader

	sent *atomic.Int64
	stop func()
}

// SentBytes returns the bytes that the node has sent to its peers, headers included.
func (n *Node) SentBytes() int64 { return n.sent.Load() + n.Agent.Traffic().Sent }

// Kill stops the node without notifying its peers.
func (n *Node) Kill() { n.stop() }

// start starts a node at the peer address of host, or at a free one if that is empty.
func (f *Fleet) start(ctx context.Context, host hostlist.Host) (*Node, error) {
	listener, conn, err := listenBoth(ctx, host.PeerAddress)
	if err != nil {
		return nil, err
	}
	host.PeerAddress = listener.Addr().String()
	host.Address = host.PeerAddress
	n := &Node{
		Agent: &member.Agent{Conn: conn, Logger: slog.New(slog.DiscardHandler), Node: member.Node{
			AvailabilityZone: host.AvailabilityZone, CallerAddress: host.Address, ID: host.ID,
			PeerAddress: host.PeerAddress, Region: host.Region,
		}},
		Directory: &server.Directory{},
		Documents: &spread.Documents{Decode: decode},
		Host:      host,
		sent:      &atomic.Int64{},
	}
	pool := &peer.Pool{Options: []grpc.DialOption{grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		dialed, err := dialer.DialContext(ctx, "tcp", address)
		return countedConn{Conn: dialed, sent: n.sent}, err
	})}}
	store := &etcd.Store{Endpoints: []string{f.Store.Address()}}
	n.Spreader = &spread.Spreader{
		Config: f.Spread, Documents: n.Documents, Logger: n.Agent.Logger, Members: n.Agent, Peers: pool,
		Prefix: document.Prefix, Store: store,
	}
	grpcServer := grpc.NewServer()
	n.Spreader.Register(grpcServer)
	runCtx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return grpcServer.Serve(countedListener{Listener: listener, sent: n.sent}) })
	group.Go(func() error { return n.Agent.Run(runCtx) })
	group.Go(func() error { return n.Spreader.Run(runCtx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		grpcServer.Stop()
		_ = pool.Close()
		_ = store.Close()
		_ = group.Wait()
	})
	return n, nil
}

// listenBoth listens on TCP and UDP at the same address. It retries, since a port
// may be in use for one of the protocols.
func listenBoth(ctx context.Context, address string) (net.Listener, net.PacketConn, error) {
	const tries = 20
	var config net.ListenConfig
	var lastErr error
	for range tries {
		wanted := address
		if wanted == "" {
			wanted = "127.0.0.1:0"
		}
		listener, err := config.Listen(ctx, "tcp", wanted)
		if err != nil {
			lastErr = err
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn, err := config.ListenPacket(ctx, "udp", listener.Addr().String())
		if err == nil {
			return listener, conn, nil
		}
		lastErr = err
		_ = listener.Close()
	}
	return nil, nil, lastErr
}

func decode(entry spread.Entry) (document.Accepted, error) {
	return document.FromEntry(kv.Entry{Key: entry.Key, ModRevision: entry.Revision, Value: entry.Value})
}

// countedConn counts the written bytes. Each write adds the headers of one segment.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n + segmentOverhead))
	return n, err
}

type countedListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, sent: l.sent}, nil
}
