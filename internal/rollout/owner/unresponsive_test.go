package owner

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/rollout/owner/ownerpb"
)

// unresponsiveOwner accepts requests and never replies, as a paused process
// does.
type unresponsiveOwner struct {
	ownerpb.UnimplementedOwnerServer
}

// Handle blocks until the call is cancelled.
func (unresponsiveOwner) Handle(_ *ownerpb.Request, replies grpc.ServerStreamingServer[ownerpb.Reply]) error {
	<-replies.Context().Done()
	return replies.Context().Err()
}

func TestUnresponsiveOwnerTimesOut(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpc.NewServer()
	ownerpb.RegisterOwnerServer(server, unresponsiveOwner{})
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	defer func() {
		server.Stop()
		_ = group.Wait()
	}()
	pool := &peer.Pool{}
	defer func() { _ = pool.Close() }()
	s := &Service{Pool: pool}
	request := &ownerpb.Request{Operation: ownerpb.Operation_OPERATION_PUBLISH}
	err = s.handleRemotely(t.Context(), listener.Addr().String(), request, discardLines)
	is.True(retryable(err)) // another host is asked
	is.Equal(kind.Of(err).Kind, kind.Unavailable)
}

func discardLines([]byte) error { return nil }
