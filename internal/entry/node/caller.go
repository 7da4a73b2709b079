package node

import (
	"context"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/entry/callerapi"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

func (n *Node) addCaller(context.Context, *peer.Pool, *grpc.Server) error {
	n.parts.caller = &callerapi.Handler{
		Addresses:  n.parts.addresses,
		Dispatcher: n.parts.dispatcher,
		Documents:  n.parts.documents,
		Logger:     n.Logger,
		Plain:      n.parts.plain,
		Trainers:   n.parts.trainers,
	}
	return nil
}
