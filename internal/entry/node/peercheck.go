package node

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// protocolVersion is the version of the protocols between entry hosts. Nodes with
// different versions refuse each other's calls.
const protocolVersion = "1"

// The metadata keys of each call between entry hosts.
const (
	metadataDeployment = "nutmegway-deployment"
	metadataProtocol   = "nutmegway-protocol"
)

// peerOptions adds the deployment and the protocol version to each call.
func (n *Node) peerOptions() []grpc.DialOption {
	attach := func(ctx context.Context) context.Context {
		return metadata.AppendToOutgoingContext(ctx,
			metadataDeployment, n.Settings.Node.Deployment,
			metadataProtocol, protocolVersion)
	}
	return []grpc.DialOption{
		grpc.WithChainUnaryInterceptor(func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
			return invoke(attach(ctx), method, request, reply, conn, options...)
		}),
		grpc.WithChainStreamInterceptor(func(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer, options ...grpc.CallOption) (grpc.ClientStream, error) {
			return open(attach(ctx), desc, conn, method, options...)
		}),
	}
}

// checkPeerUnary is the interceptor of unary calls that applies checkPeer.
func (n *Node) checkPeerUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if err := n.checkPeer(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return handle(ctx, request)
}

// checkPeerStream is the interceptor of streaming calls that applies checkPeer.
func (n *Node) checkPeerStream(service any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	if err := n.checkPeer(stream.Context(), info.FullMethod); err != nil {
		return err
	}
	return handle(service, stream)
}

// checkPeer refuses a call from a node of another deployment or protocol version: it logs
// the refusal and returns an error.
func (n *Node) checkPeer(ctx context.Context, method string) error {
	values, _ := metadata.FromIncomingContext(ctx)
	deployment := first(values.Get(metadataDeployment))
	protocol := first(values.Get(metadataProtocol))
	var reason string
	switch {
	case protocol == "":
		reason = "no protocol version"
	case protocol != protocolVersion:
		reason = "another protocol version"
	case deployment != n.Settings.Node.Deployment:
		reason = "another deployment"
	default:
		return nil
	}
	n.Logger.WarnContext(ctx, "peer refused",
		slog.String("reason", reason),
		slog.String("peer", remoteAddress(ctx)),
		slog.String("peer-deployment", deployment),
		slog.String("peer-protocol", protocol),
		slog.String("method", method))
	return status.Error(codes.PermissionDenied, reason)
}

func remoteAddress(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		return p.Addr.String()
	}
	return ""
}

func first(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

func newTLSListener(inner net.Listener, config *tls.Config) net.Listener {
	return tls.NewListener(inner, config)
}

func setMeterProvider(provider metric.MeterProvider) {
	otel.SetMeterProvider(provider)
}

func errorAttr(err error) slog.Attr {
	return slog.String("error", err.Error())
}
