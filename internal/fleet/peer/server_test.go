package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/fleet/follow/followpb"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

// panickingServer panics on each call whose prefix is "panic".
type panickingServer struct {
	followpb.UnimplementedFollowServer
}

func (panickingServer) Next(_ context.Context, r *followpb.NextRequest) (*followpb.NextReply, error) {
	if r.GetPrefix() == "panic" {
		panic("no such prefix")
	}
	return &followpb.NextReply{Revision: 7}, nil
}

// TestHandlerPanicFailsOnlyItsCall makes a call whose handler panics, then one
// that must still succeed.
func TestHandlerPanicFailsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	server := &peer.Server{Address: address, Register: func(s *grpc.Server) {
		followpb.RegisterFollowServer(s, panickingServer{})
	}}
	group.Go(func() error { return server.Run(ctx) })
	pool := &peer.Pool{Options: peer.LocalDialOptions()}
	call := func(prefix string) (*followpb.NextReply, error) {
		conn, err := pool.Conn(address)
		is.NoErr(err)
		callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		return followpb.NewFollowClient(conn).Next(callCtx, &followpb.NextRequest{Prefix: prefix}, grpc.WaitForReady(true))
	}
	_, err = call("panic")
	is.True(err != nil)
	reply, err := call("valid")
	is.NoErr(err)
	is.Equal(reply.GetRevision(), int64(7))
	is.NoErr(pool.Close())
	cancel()
	is.NoErr(group.Wait())
}
