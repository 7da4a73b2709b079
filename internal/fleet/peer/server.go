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

	"github.com/nutmegway/nutmegway/internal/base/recovery"
)

const (
	// maxMessageBytes fits a page of the store, a page of results, a batch, or a caller's
	// request of the longest body that hosts read.
	maxMessageBytes = 40 << 20
	// dialTimeout limits how long connecting to another host may take.
	dialTimeout = 300 * time.Millisecond
	// tcpKeepaliveInterval and tcpKeepaliveProbes let the kernel detect a dead
	// connection.
	tcpKeepaliveInterval = time.Second
	tcpKeepaliveProbes   = 2
)

// Server serves gRPC calls from other hosts. The fields are set before Run.
type Server struct {
	// Address is the address to listen on.
	Address string
	// Listener, if not nil, returns the listener to use in place of the one at Address.
	Listener func(net.Listener) net.Listener
	// Logger receives a record of each recovered panic. If it is nil, panics are
	// recovered without a record.
	Logger *slog.Logger
	// Register registers the services. Run calls it before it accepts connections.
	Register func(*grpc.Server)
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address)
	if err != nil {
		return classError.Wrap(err)
	}
	if s.Listener != nil {
		listener = s.Listener(listener)
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.UnaryInterceptor(s.recoverPanics), grpc.StreamInterceptor(s.recoverStreamPanics))
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

// recoverPanics is an interceptor that turns a panic of the handler into an
// error of the call.
func (s *Server) recoverPanics(
	ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler,
) (reply any, err error) {
	err = recovery.Call(s.logger(), info.FullMethod, func() error {
		var err error
		reply, err = handle(ctx, request)
		return err
	})
	return reply, err
}

// recoverStreamPanics does the same for calls with streams.
func (s *Server) recoverStreamPanics(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	return recovery.Call(s.logger(), info.FullMethod, func() error { return handle(server, stream) })
}

func (s *Server) logger() *slog.Logger {
	if s.Logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return s.Logger
}

// LocalDialOptions returns dial options for hosts that are a few milliseconds
// away. Failed connections are detected quickly, so that callers can soon try
// another host or the store instead.
func LocalDialOptions() []grpc.DialOption {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: tcpKeepaliveInterval, Interval: tcpKeepaliveInterval, Count: tcpKeepaliveProbes,
	}}
	return []grpc.DialOption{
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
}

// Call runs do on the connection to the host at address. If the call fails as
// unavailable or by its deadline, the connection is closed, since it may be dead.
func (p *Pool) Call(address string, do func(grpc.ClientConnInterface) error) error {
	conn, err := p.Conn(address)
	if err != nil {
		return err
	}
	err = do(conn)
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		p.CloseConn(address)
	}
	return err
}
