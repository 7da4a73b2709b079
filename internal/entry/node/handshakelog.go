package node

import (
	"log/slog"
	"net"

	"google.golang.org/grpc/credentials"
)

// handshakeLogger logs connections from other hosts whose TLS handshake fails. The gRPC
// library closes them without a log line.
type handshakeLogger struct {
	credentials.TransportCredentials
	logger *slog.Logger
}

var _ credentials.TransportCredentials = handshakeLogger{}

// ServerHandshake implements credentials.TransportCredentials.
func (l handshakeLogger) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := l.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		l.logger.Warn("peer refused",
			slog.String("reason", "no valid certificate"),
			slog.String("peer", conn.RemoteAddr().String()),
			errorAttr(err))
	}
	return secured, info, err
}

// Clone implements credentials.TransportCredentials.
func (l handshakeLogger) Clone() credentials.TransportCredentials {
	return handshakeLogger{TransportCredentials: l.TransportCredentials.Clone(), logger: l.logger}
}
