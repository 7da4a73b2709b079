package node

import (
	"context"
	"net"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/datagram"
	"github.com/nutmegway/nutmegway/internal/fleet/hosts"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
)

// drainOnLeave drains the node when the host list shows it as leaving.
type drainOnLeave struct{ node *Node }

// Run drains the node once the host list shows it as leaving. It returns after that or at
// the end of ctx.
func (d drainOnLeave) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.node.agent.LeaveRequested():
		d.node.Drain()
	}
	return nil
}

func (n *Node) addHosts(ctx context.Context, pool *peer.Pool, registrar *grpc.Server) error {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp", n.Listeners.Peer.Addr().String())
	if err != nil {
		return classError.Wrap(err)
	}
	authenticated, err := n.authenticateDatagrams(conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	n.agent = &member.Agent{Conn: authenticated, Logger: n.Logger, Node: n.memberNode()}
	directory := &server.Directory{}
	n.parts.members = n.agent
	n.parts.dialer = &server.Dialer{Directory: directory}
	n.parts.servers = directory
	follower := &hosts.Follower{
		Logger:  n.Logger,
		Members: n.agent,
		OnChange: func(listed []hostlist.Host) {
			n.agent.SetHosts(listed)
			directory.SetHosts(listed)
		},
		Peers:    pool,
		Platform: n.Hosts,
	}
	follower.Register(registrar)
	n.parts.components = append(n.parts.components, n.agent, drainOnLeave{node: n}, follower)
	return nil
}

// authenticateDatagrams wraps conn so that it drops datagrams from outside the
// deployment. Without a file of datagram keys, datagrams are neither encrypted nor
// authenticated.
func (n *Node) authenticateDatagrams(conn net.PacketConn) (net.PacketConn, error) {
	keys := func() []datagram.Key { return nil }
	if path := n.Settings.PeerTLS.DatagramKeys; path != "" {
		file := &datagram.KeyFile{Path: path}
		if err := file.Load(); err != nil {
			return nil, err
		}
		keys = file.Keys
	}
	return datagram.NewConn(conn, n.Settings.Node.Deployment, keys, n.Logger), nil
}
