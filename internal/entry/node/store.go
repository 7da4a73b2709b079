package node

import (
	"context"

	"go.opentelemetry.io/otel"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

// countStore counts the node's calls of the key-value service.
func (n *Node) countStore(context.Context, *peer.Pool, *grpc.Server) error {
	counted, err := kv.NewInstrumentedStore(n.Store, otel.Meter("nutmegway/store"))
	if err != nil {
		return err
	}
	n.Store = counted
	return nil
}
