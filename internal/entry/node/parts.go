package node

import (
	"context"
	"net/http"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/entry/adminapi"
	"github.com/nutmegway/nutmegway/internal/entry/callerapi"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/fleet/spread"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
	rollout "github.com/nutmegway/nutmegway/internal/rollout/owner"
	"github.com/nutmegway/nutmegway/internal/rollout/weight"
)

// component is a part of the node that runs in the background until ctx ends.
type component interface {
	Run(ctx context.Context) error
}

// parts are the components of a running node and the views and handlers that they share.
type parts struct {
	addresses   callerapi.AddressAssigner
	components  []component
	dialer      *server.Dialer
	dispatcher  dispatch.Dispatcher
	leaseClaims *rollout.Claims
	documents   document.View
	eligible    server.View
	members     member.View
	plain       http.Handler
	queues      *owner.Owner
	servers     server.View
	spreader    *spread.Spreader
	trainers    http.Handler
	versions    *weight.VersionRegistry

	admin  *adminapi.Handler
	caller *callerapi.Handler
}

// assemble creates the parts in an order in which each depends only on earlier ones.
func (n *Node) assemble(ctx context.Context, pool *peer.Pool, registrar *grpc.Server) error {
	for _, step := range []func(context.Context, *peer.Pool, *grpc.Server) error{
		n.instrumentStore,
		n.addHosts,
		n.addDocuments,
		n.addAddresses,
		n.addWeights,
		n.addDispatcher,
		n.addPlain,
		n.addTrainers,
		n.addCaller,
		n.addAdmin,
	} {
		if err := step(ctx, pool, registrar); err != nil {
			return err
		}
	}
	return nil
}

// memberNode returns this node as it is announced to the fleet.
func (n *Node) memberNode() member.Node {
	s := n.Settings
	return member.Node{
		AvailabilityZone: s.Node.AvailabilityZone,
		CallerAddress:    n.Listeners.Caller.Addr().String(),
		ID:               s.Node.ID,
		PeerAddress:      n.Listeners.Peer.Addr().String(),
		Region:           s.Node.Region,
	}
}

func (p *parts) callerRoutes() http.Handler {
	return refuseUntilReady(p.spreader.Ready(), p.caller.Routes())
}

func (p *parts) adminRoutes() http.Handler {
	return p.admin.Routes()
}
