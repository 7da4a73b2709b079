package hosts_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/hosts"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

// fakePlatform is an in-memory host list that counts the reads of each node.
type fakePlatform struct {
	mu    sync.Mutex
	list  hostlist.List
	reads map[string]int
}

// countingReader reads a fakePlatform on behalf of one node.
type countingReader struct {
	id       string
	platform *fakePlatform
}

func (r countingReader) Read(_ context.Context, after int64) (hostlist.List, error) {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	r.platform.reads[r.id]++
	if r.platform.list.Revision <= after {
		return hostlist.List{Revision: r.platform.list.Revision}, nil
	}
	return r.platform.list, nil
}

// fixedView is a node's view of a fixed set of members.
type fixedView struct {
	nodes []member.Node
	self  int
}

func (v fixedView) Nodes() []member.Node { return v.nodes }
func (v fixedView) Self() member.Node    { return v.nodes[v.self] }

func TestOnlyReadersPollThePlatform(t *testing.T) {
	is := is.New(t)
	const count = 6
	p := &fakePlatform{list: hostlist.List{Revision: 1}, reads: make(map[string]int)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var listeners []net.Listener
	var nodes []member.Node
	for i := range count {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, listener)
		nodes = append(nodes, member.Node{AvailabilityZone: "zone", ID: fmt.Sprint("node-", i), PeerAddress: listener.Addr().String()})
	}
	var group errgroup.Group
	updated := make(chan string, count*count)
	for i, node := range nodes {
		pool := &peer.Pool{}
		server := grpc.NewServer()
		f := &hosts.Follower{
			Logger:  slog.New(slog.DiscardHandler),
			Members: fixedView{nodes: nodes, self: i},
			OnChange: func(listed []hostlist.Host) {
				if len(listed) == 1 {
					updated <- node.ID
				}
			},
			Peers:    pool,
			Platform: countingReader{id: node.ID, platform: p},
		}
		f.Register(server)
		group.Go(func() error { return server.Serve(listeners[i]) })
		group.Go(func() error { return f.Run(ctx) })
		t.Cleanup(func() {
			cancel()
			server.Stop()
			_ = pool.Close()
		})
	}
	p.mu.Lock()
	p.list = hostlist.List{Revision: 2, Hosts: []hostlist.Host{{ID: "server"}}}
	p.mu.Unlock()
	reached := make(map[string]bool)
	for len(reached) < count {
		reached[<-updated] = true
	}
	// From now on only the readers poll the platform.
	before := p.snapshot()
	for {
		polled := make(map[string]bool)
		most := 0
		for id, reads := range p.snapshot() {
			if reads > before[id] {
				polled[id] = true
				most = max(most, reads-before[id])
			}
		}
		if most >= 2 {
			is.True(len(polled) <= 2)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *fakePlatform) snapshot() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.reads)
}
