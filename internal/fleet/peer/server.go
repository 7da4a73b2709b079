package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// maxMessageBytes holds a page of the store or of results, or a batch.
	maxMessageBytes = 32 << 20
	// dialTimeout bounds the time to connect to another host.
	dialTimeout = 300 * time.Millisecond
	// probeInterval and probeCount let the kernel find a silent connection.
	probeInterval = time.Second
	probeCount    = 2
)

// Server answers other hosts. The fields are set before Run.
type Server struct {
	Address string
	// Register adds the services.
	Register func(*grpc.Server)
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address)
	if err != nil {
		return classError.Wrap(err)
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes))
	s.Register(server)
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		return nil
	})
	if err := server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) && ctx.Err() == nil {
		return classError.Wrap(err)
	}
	return group.Wait()
}

// LocalOptions are for hosts that are some milliseconds away: they give a
// connection up soon, since another way exists.
func LocalOptions() []grpc.DialOption {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
	}}
	return []grpc.DialOption{
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
}

// Call makes one call to the host at address. A connection on which no
// answer came is closed, since it may be silent for good.
func (p *Pool) Call(address string, do func(grpc.ClientConnInterface) error) error {
	conn, err := p.Conn(address)
	if err != nil {
		return err
	}
	err = do(conn)
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		p.Forget(address)
	}
	return err
}
