package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegway/nutmegway/internal/base/guard"
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
	// Logger is told of panics; nil tells nobody.
	Logger *slog.Logger
	// Register adds the services.
	Register func(*grpc.Server)
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address)
	if err != nil {
		return classError.Wrap(err)
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.UnaryInterceptor(s.guarded))
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

// guarded answers a call whose handler panics with an error.
func (s *Server) guarded(
	ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler,
) (reply any, err error) {
	logger := s.Logger
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	err = guard.Call(logger, info.FullMethod, func() error {
		var err error
		reply, err = handle(ctx, request)
		return err
	})
	return reply, err
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
