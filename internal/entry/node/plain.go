package node

import (
	"context"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/request/idempotency"
	"github.com/nutmegway/nutmegway/internal/request/plainproxy"
)

// addPlain adds the proxy for plain services and the guard by which a request with an
// idempotency key is executed at most once.
func (n *Node) addPlain(_ context.Context, pool *peer.Pool, registrar *grpc.Server) error {
	committer := &idempotency.ForwardingCommitter{Members: n.parts.members, Pool: pool}
	committer.Batcher = &idempotency.Batcher{Logger: n.Logger, Rate: committer.TransactionRate, Store: n.Store}
	committer.Register(registrar)
	guard := &idempotency.Guard{
		Committer: committer,
		Logger:    n.Logger,
		Members:   n.parts.members,
		Store:     n.Store,
	}
	n.parts.components = append(n.parts.components, guard)
	n.parts.plain = &plainproxy.Proxy{
		Client:    &plain.Client{Dial: n.parts.dialer.DialContext},
		Documents: n.parts.documents,
		Guard:     guard,
		Logger:    n.Logger,
		Servers:   n.parts.servers,
		Zone:      n.Settings.Node.AvailabilityZone,
	}
	return nil
}
