package node

import (
	"context"

	"go.opentelemetry.io/otel"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

// instrumentStore wraps the key-value service so that calls are counted in metrics.
func (n *Node) instrumentStore(context.Context, *peer.Pool, *grpc.Server) error {
	instrumented, err := kv.NewInstrumentedStore(n.Store, otel.Meter("nutmegway/store"))
	if err != nil {
		return err
	}
	n.Store = instrumented
	return nil
}
