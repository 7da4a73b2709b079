package deployment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/entry/node"
	"github.com/nutmegway/nutmegway/internal/entry/settings"
	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
	"github.com/nutmegway/nutmegway/internal/lab/process"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/standin/faultproxy"
)

const (
	loopback          = "127.0.0.1:0"
	defaultGrace      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Node is one entry host of the deployment. It keeps its addresses when it restarts.
type Node struct {
	AdminAddress  string
	CallerAddress string
	ID            string
	PeerAddress   string
	// StoreLink is the fault proxy to the key-value store; nil if there is none.
	StoreLink *faultproxy.Proxy
	Zone      string

	deployment *Deployment

	mu      sync.Mutex
	cancel  context.CancelFunc
	done    chan struct{}
	process *process.Process
	running *node.Node
}

// Start starts the node and returns. The node runs until it is killed or drained or ctx
// ends.
func (n *Node) Start(ctx context.Context) error {
	if n.deployment.Binary != "" {
		return n.startProcess(ctx)
	}
	listeners, err := n.listen(ctx)
	if err != nil {
		return err
	}
	d := n.deployment
	listeners.Peer = countingListener{Listener: listeners.Peer, bytes: &d.peerBytes}
	d.Hosts.Set(n.host())
	store := &etcd.Store{Endpoints: []string{n.storeAddress()}}
	running := &node.Node{
		Hosts:     hostlist.Client{BaseURL: d.Hosts.URL()},
		Listeners: listeners,
		Logger:    d.Logger.With(slog.String("node", n.ID)),
		Settings:  n.settings(),
		Store:     store,
		Weights:   weightstore.Client{BaseURL: d.Weights.URL()},
	}
	if d.NewBaselinePolicy != nil {
		running.BaselinePolicy = d.NewBaselinePolicy()
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	n.mu.Lock()
	n.cancel, n.done, n.running = cancel, done, running
	n.mu.Unlock()
	d.group.Go(func() error {
		defer close(done)
		defer cancel()
		defer func() { _ = store.Close() }()
		return running.Run(ctx)
	})
	return nil
}

// Dispatcher returns the dispatcher of the node's generation requests.
func (n *Node) Dispatcher() dispatch.Dispatcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running.Dispatcher()
}

// Drain shuts the node down gracefully and waits until it has stopped.
func (n *Node) Drain() {
	if p := n.ownProcess(); p != nil {
		n.drainProcess(p)
		return
	}
	n.mu.Lock()
	running, done := n.running, n.done
	n.mu.Unlock()
	n.deployment.Hosts.SetState(n.ID, hostlist.StateLeaving)
	running.Drain()
	<-done
}

// Kill stops the node and closes its connections without draining.
func (n *Node) Kill() {
	if p := n.ownProcess(); p != nil {
		n.killProcess(p)
		return
	}
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.mu.Unlock()
	cancel()
	<-done
}

// listen opens the node's sockets. After a restart it reuses the previous addresses.
func (n *Node) listen(ctx context.Context) (node.Listeners, error) {
	var listeners node.Listeners
	var config net.ListenConfig
	for _, socket := range []struct {
		address  *string
		listener *net.Listener
	}{
		{address: &n.AdminAddress, listener: &listeners.Admin},
		{address: &n.CallerAddress, listener: &listeners.Caller},
		{address: &n.PeerAddress, listener: &listeners.Peer},
	} {
		address := *socket.address
		if address == "" {
			address = loopback
		}
		opened, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return listeners, err
		}
		if *socket.address == "" {
			*socket.address = opened.Addr().String()
		}
		*socket.listener = opened
	}
	return listeners, nil
}

func (n *Node) host() hostlist.Host {
	return hostlist.Host{
		Address:          n.CallerAddress,
		AvailabilityZone: n.Zone,
		ID:               n.ID,
		PeerAddress:      n.PeerAddress,
		Region:           n.deployment.Shape.region(),
		Role:             hostlist.RoleEntry,
		State:            hostlist.StateLive,
	}
}

func (n *Node) settings() settings.Settings {
	d := n.deployment
	sum := sha256.Sum256([]byte(d.Token))
	grace := d.Shape.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	return settings.Settings{
		Listen: settings.Listen{Admin: n.AdminAddress, Caller: n.CallerAddress, Peer: n.PeerAddress},
		Node: settings.Node{
			AvailabilityZone: n.Zone,
			Deployment:       d.Shape.Name,
			ID:               n.ID,
			Region:           d.Shape.region(),
		},
		Shutdown: settings.Shutdown{Grace: grace},
		Teams:    map[string]string{d.Shape.Team: hex.EncodeToString(sum[:])},
	}
}
