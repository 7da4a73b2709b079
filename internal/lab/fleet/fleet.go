// Package fleet runs many entry hosts in one process, with only their control plane:
// membership, documents and the server directory.
package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/spread"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

// Service is the service whose document is edited.
const Service = "records"

const documentTemplate = `[service]
name = records
kind = plain
team = lab

[addresses]
count = %d
`

// Fleet is a set of nodes. The fields are set before Start.
type Fleet struct {
	// Nodes and Zones are the numbers of nodes and of availability zones. Nodes
	// are assigned to zones in turn.
	Nodes int
	// Servers is the number of backend servers in the host list.
	Servers int
	// Spread configures how the nodes distribute documents to each other. The zero
	// value is the product's default.
	Spread spread.Config
	Store  *standinetcd.Server
	Zones  int

	mu    sync.Mutex
	nodes map[string]*Node
	hosts []hostlist.Host
}

// Start starts the nodes and gives each of them the host list, which contains all nodes
// and servers.
func (f *Fleet) Start(ctx context.Context) error {
	f.nodes = make(map[string]*Node)
	for i := range f.Nodes {
		zone := i % f.Zones
		n, err := f.start(ctx, hostlist.Host{
			AvailabilityZone: fmt.Sprintf("zone-%d", zone),
			ID:               fmt.Sprintf("node-%04d", i),
			Region:           fmt.Sprintf("region-%d", zone%2),
			Role:             hostlist.RoleEntry,
			State:            hostlist.StateLive,
		})
		if err != nil {
			return err
		}
		f.nodes[n.Host.ID] = n
		f.hosts = append(f.hosts, n.Host)
	}
	for i := range f.Servers {
		f.hosts = append(f.hosts, hostlist.Host{
			Address:          fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&0xff, i&0xff),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%f.Zones),
			ID:               fmt.Sprintf("server-%05d", i),
			Role:             hostlist.RoleEngine,
			Service:          fmt.Sprintf("service-%d", i%2),
			State:            hostlist.StateLive,
		})
	}
	for _, n := range f.nodes {
		n.setHosts(f.hosts)
	}
	return nil
}

// Stop stops all running nodes.
func (f *Fleet) Stop() {
	var wait sync.WaitGroup
	for _, n := range f.RunningNodes() {
		wait.Go(n.Kill)
	}
	wait.Wait()
}

// RunningNodes returns the running nodes.
func (f *Fleet) RunningNodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := make([]*Node, 0, len(f.nodes))
	for _, n := range f.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

// SentBytes returns the bytes that all running nodes have sent to each other.
func (f *Fleet) SentBytes() int64 {
	var total int64
	for _, n := range f.RunningNodes() {
		total += n.SentBytes()
	}
	return total
}

// Kill stops the node with the id without notifying its peers.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	n, ok := f.nodes[id]
	delete(f.nodes, id)
	f.mu.Unlock()
	if ok {
		n.Kill()
	}
}

// Restart starts the node of host again with empty state, at a new address that the
// host list does not contain yet.
func (f *Fleet) Restart(ctx context.Context, host hostlist.Host) (*Node, error) {
	host.PeerAddress = ""
	n, err := f.start(ctx, host)
	if err != nil {
		return nil, err
	}
	n.setHosts(f.hosts)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[host.ID] = n
	return n, nil
}

func (n *Node) setHosts(hosts []hostlist.Host) {
	n.Agent.SetHosts(hosts)
	n.Directory.SetHosts(hosts)
}

// Editor changes the document of Service.
type Editor struct {
	client   *etcd.Store
	edits    int
	revision int64
}

// NewEditor returns an editor that uses the store at address.
func NewEditor(address string) *Editor {
	return &Editor{client: &etcd.Store{Endpoints: []string{address}}}
}

// Close closes the editor's connection to the store.
func (e *Editor) Close() { _ = e.client.Close() }

// Edit writes the next version of the document and returns its revision.
func (e *Editor) Edit(ctx context.Context) (int64, error) {
	e.edits++
	store := &document.Store{KV: e.client}
	accepted, err := store.Apply(ctx, document.Edit{
		Author:       "lab",
		BaseRevision: e.revision,
		ChangeID:     fmt.Sprintf("edit-%d", e.edits),
		Service:      Service,
		Text:         fmt.Sprintf(documentTemplate, 1+e.edits%2),
	})
	if err != nil {
		return 0, err
	}
	e.revision = accepted.Revision
	return accepted.Revision, nil
}

// AwaitRevision waits until revision is in force on all running nodes. It returns, by
// node ID, the time from started until the revision was in force on the node. If ctx ends
// first, it returns an error and the times of the nodes so far.
func (f *Fleet) AwaitRevision(ctx context.Context, started time.Time, revision int64) (map[string]time.Duration, error) {
	const poll = 2 * time.Millisecond
	needed := make(map[string]time.Duration)
	for ctx.Err() == nil {
		missing := 0
		for _, n := range f.RunningNodes() {
			if _, done := needed[n.Host.ID]; done {
				continue
			}
			if n.Documents.Revision(document.Key(Service)) >= revision {
				needed[n.Host.ID] = time.Since(started)
			} else {
				missing++
			}
		}
		if missing == 0 {
			return needed, nil
		}
		time.Sleep(poll)
	}
	return needed, ctx.Err()
}
