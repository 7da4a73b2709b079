// Package permitlink implements the gRPC call with which a host claims permits for requests
// to backend servers with a request limit.
package permitlink

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/request/permit"
	"github.com/nutmegway/nutmegway/internal/request/permitlink/permitlinkpb"
)

var classError = errs.Class("permitlink")

// Register registers the gate of this host on a gRPC server for other hosts.
func Register(server *grpc.Server, gate *permit.Gate) {
	permitlinkpb.RegisterPermitLinkServer(server, handler{gate: gate})
}

// handler serves the calls of other hosts.
type handler struct {
	permitlinkpb.UnimplementedPermitLinkServer

	gate *permit.Gate
}

var _ permitlinkpb.PermitLinkServer = handler{}

// Acquire implements permitlinkpb.PermitLinkServer.
func (h handler) Acquire(_ context.Context, r *permitlinkpb.AcquireRequest) (*permitlinkpb.AcquireReply, error) {
	grant, isAllotter := h.gate.Allot(permit.Claim{
		MaxWait:    time.Duration(r.GetMaxWaitMicros()) * time.Microsecond,
		ObservedAt: time.Now().Add(-time.Duration(r.GetObservedMillis()) * time.Millisecond),
		PerSecond:  r.GetPerSecond(), Server: r.GetServer(),
	})
	return &permitlinkpb.AcquireReply{Allotter: isAllotter, Granted: grant.Granted, WaitMicros: grant.Wait.Microseconds()}, nil
}

// Client claims permits from other hosts. The fields are set before the first call.
type Client struct {
	Pool *peer.Pool
}

var _ permit.Link = Client{}

// Claim implements permit.Link.
func (c Client) Claim(ctx context.Context, address string, claim permit.Claim) (permit.Grant, bool, error) {
	var reply *permitlinkpb.AcquireReply
	err := c.Pool.Call(address, func(conn grpc.ClientConnInterface) error {
		var err error
		reply, err = permitlinkpb.NewPermitLinkClient(conn).Acquire(ctx, &permitlinkpb.AcquireRequest{
			Server: claim.Server, PerSecond: claim.PerSecond, ObservedMillis: time.Since(claim.ObservedAt).Milliseconds(),
			MaxWaitMicros: claim.MaxWait.Microseconds(),
		})
		return err
	})
	if err != nil {
		return permit.Grant{}, false, classError.Wrap(err)
	}
	return permit.Grant{Granted: reply.GetGranted(), Wait: time.Duration(reply.GetWaitMicros()) * time.Microsecond}, reply.GetAllotter(), nil
}
