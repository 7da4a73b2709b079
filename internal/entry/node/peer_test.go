package node

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"github.com/nutmegway/nutmegway/internal/base/authority"
	"github.com/nutmegway/nutmegway/internal/entry/settings"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

// logBuffer collects a log that several goroutines write.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// waitFor waits until the log holds part and reports whether it did before ctx ended.
// The line of a failed handshake may be written after its connection was closed.
func (b *logBuffer) waitFor(ctx context.Context, part string) bool {
	for ctx.Err() == nil {
		b.mu.Lock()
		found := bytes.Contains(b.text.Bytes(), []byte(part))
		b.mu.Unlock()
		if found {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func newTestNode(deployment string, files settings.TLS, log *logBuffer) *Node {
	return &Node{
		Logger:   slog.New(slog.NewTextHandler(log, nil)),
		Settings: settings.Settings{Node: settings.Node{Deployment: deployment}, PeerTLS: settings.PeerTLS{TLS: files}},
	}
}

// TestPeerOutsideDeploymentIsRefused calls a node from a member of its deployment and from
// nodes that have no certificate, one of another authority or another deployment. Only the
// member must be answered, and the log must say why the others are refused.
func TestPeerOutsideDeploymentIsRefused(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	member := own.issue(t, "member")
	for _, tt := range []struct {
		name   string
		caller *Node
		// log is part of the log line of the refusing node. It is empty if the call succeeds.
		log string
	}{
		{name: "another authority", caller: newTestNode("brazos", other.issue(t, "stranger"), &logBuffer{}), log: `reason="no valid certificate"`},
		{name: "another deployment", caller: newTestNode("halvorsen", member, &logBuffer{}), log: `reason="another deployment" `},
		{name: "member", caller: newTestNode("brazos", member, &logBuffer{})},
		{name: "no certificate", caller: newTestNode("brazos", settings.TLS{}, &logBuffer{}), log: `reason="no valid certificate"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			log := &logBuffer{}
			address := servePeers(t, newTestNode("brazos", own.issue(t, "server"), log))
			peerCreds, err := tt.caller.setUpTLS()
			is.NoErr(err)
			pool := &peer.Pool{Credentials: peerCreds.client, Options: tt.caller.peerOptions()}
			defer func() { _ = pool.Close() }()
			conn, err := pool.Conn(address)
			is.NoErr(err)
			_, err = grpc_health_v1.NewHealthClient(conn).Check(t.Context(), &grpc_health_v1.HealthCheckRequest{})
			is.Equal(err == nil, tt.log == "")        // Only a member is answered.
			is.True(log.waitFor(t.Context(), tt.log)) // The log gives the reason.
		})
	}
}

// TestPeerWithoutProtocolVersionIsRefused calls a node without the metadata that names
// the protocol version, as nodes of an older version do.
func TestPeerWithoutProtocolVersionIsRefused(t *testing.T) {
	is := is.New(t)
	log := &logBuffer{}
	address := servePeers(t, newTestNode("brazos", settings.TLS{}, log))
	pool := &peer.Pool{}
	defer func() { _ = pool.Close() }()
	conn, err := pool.Conn(address)
	is.NoErr(err)
	_, err = grpc_health_v1.NewHealthClient(conn).Check(t.Context(), &grpc_health_v1.HealthCheckRequest{})
	is.True(err != nil)
	is.True(log.waitFor(t.Context(), `reason="no protocol version"`))
}

// servePeers serves the health service behind the node's peer checks and returns its
// address.
func servePeers(t *testing.T, n *Node) string {
	t.Helper()
	peerCreds, err := n.setUpTLS()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	server := n.newServers(peerCreds).peer
	grpc_health_v1.RegisterHealthServer(server, health.NewServer())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		server.Stop()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

const loopback = "127.0.0.1:0"

// testAuthority is a certificate authority and the file of its certificate.
type testAuthority struct {
	*authority.Authority
	file string
}

func newAuthority(t *testing.T) testAuthority {
	t.Helper()
	a, err := authority.New(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	file, _, err := a.Write(t.TempDir(), "authority")
	if err != nil {
		t.Fatal(err)
	}
	return testAuthority{Authority: a, file: file}
}

func (a testAuthority) issue(t *testing.T, name string) settings.TLS {
	t.Helper()
	pair, err := a.Issue(name, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	certificate, key, err := pair.Write(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	return settings.TLS{Authority: a.file, Certificate: certificate, Key: key}
}
