package hosts

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/hosts/hostspb"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

var classError = errs.Class("hosts")

const (
	// pollPeriod is the mean interval at which a reader polls the platform, and at
	// which a node retries when its reader does not answer.
	pollPeriod = time.Second
	// readersPerZone is the number of readers in each availability zone.
	readersPerZone = 2
	// longPollTimeout is how long a reader waits for a change of the list before it
	// answers a request without changes.
	longPollTimeout = 20 * time.Second
	// callTimeout is the client's timeout for a request to a reader.
	callTimeout = longPollTimeout + 5*time.Second
)

// Follower keeps the host list of one node up to date and serves it to other
// nodes. Exported fields are set before Register and Run.
type Follower struct {
	hostspb.UnimplementedHostsServer

	Logger  *slog.Logger
	Members member.View
	// OnChange is called with the whole list after each change.
	OnChange func(hosts []hostlist.Host)
	Peers    *peer.Pool
	// Platform reads the platform's host list.
	Platform hostlist.Reader

	once sync.Once
	mu   sync.Mutex
	// changed is closed and replaced when the list changes.
	changed chan struct{}
	list    VersionedList
}

func (f *Follower) init() {
	f.once.Do(func() { f.changed = make(chan struct{}) })
}

// Register registers the service with server.
func (f *Follower) Register(server *grpc.Server) {
	f.init()
	hostspb.RegisterHostsServer(server, f)
}

// Run keeps the list up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	for ctx.Err() == nil {
		if longPolled := f.poll(ctx); longPolled {
			continue
		}
		timer := time.NewTimer(pollPeriod/2 + rand.N(pollPeriod))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// poll reads the list once: from a reader, or from the platform if this node has no
// list yet, has no reader to ask, or the reader fails. It reports whether a reader
// answered. If so, the next poll can follow immediately, since readers delay their
// answer until the list changes.
func (f *Follower) poll(ctx context.Context) bool {
	f.mu.Lock()
	after := f.list.Revision()
	f.mu.Unlock()
	if reader, ok := f.reader(); ok && after > 0 {
		err := f.readFromPeer(ctx, reader, after)
		if err == nil {
			return true
		}
		if ctx.Err() == nil {
			f.Logger.WarnContext(ctx, "host list could not be read from a peer", slog.String("error", err.Error()), slog.String("node", reader.ID))
		}
	}
	list, err := f.Platform.Read(ctx, after)
	if err != nil {
		if ctx.Err() == nil {
			f.Logger.WarnContext(ctx, "host list could not be read from the platform", slog.String("error", err.Error()))
		}
		return false
	}
	f.update(func(held *VersionedList) bool {
		if list.Revision <= held.Revision() {
			return false
		}
		held.Set(list)
		return true
	})
	return false
}

// reader returns the reader to ask. There is none if this node is a reader itself
// or knows no nodes in its availability zone.
func (f *Follower) reader() (member.Node, bool) {
	self := f.Members.Self()
	var ids []string
	byID := make(map[string]member.Node)
	for _, node := range f.Members.Nodes() {
		if node.AvailabilityZone == self.AvailabilityZone {
			ids = append(ids, node.ID)
			byID[node.ID] = node
		}
	}
	ranked := rendezvous.Rank("host-list-reader/"+self.AvailabilityZone, ids)
	ranked = ranked[:min(readersPerZone, len(ranked))]
	if len(ranked) == 0 || slices.Contains(ranked, self.ID) {
		return member.Node{}, false
	}
	return byID[rendezvous.Owner(self.ID, ranked)], true
}

// readFromPeer requests the changes after a revision from reader and applies them.
func (f *Follower) readFromPeer(ctx context.Context, reader member.Node, after int64) error {
	conn, err := f.Peers.Conn(reader.PeerAddress)
	if err != nil {
		return classError.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := hostspb.NewHostsClient(conn).Read(ctx, &hostspb.ReadRequest{After: after})
	if err != nil {
		return classError.Wrap(err)
	}
	d := Delta{Full: reply.GetFull(), Removed: reply.GetRemoved(), Revision: reply.GetRevision()}
	for _, data := range reply.GetChanged() {
		var host hostlist.Host
		if err := json.Unmarshal(data, &host); err != nil {
			return classError.Wrap(err)
		}
		d.Changed = append(d.Changed, host)
	}
	f.update(func(held *VersionedList) bool { return held.Apply(d) })
	return nil
}

// update changes the list. If change reports true, it wakes waiting requests and
// calls OnChange.
func (f *Follower) update(change func(held *VersionedList) bool) {
	f.mu.Lock()
	if !change(&f.list) {
		f.mu.Unlock()
		return
	}
	hosts := f.list.Hosts()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.OnChange(hosts)
}

// Read implements hostspb.HostsServer. It waits until the list is newer than the
// requested revision, but at most for longPollTimeout.
func (f *Follower) Read(ctx context.Context, request *hostspb.ReadRequest) (*hostspb.ReadReply, error) {
	f.init()
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	for {
		f.mu.Lock()
		d, changed := f.list.Since(request.GetAfter()), f.changed
		f.mu.Unlock()
		if d.Revision > request.GetAfter() {
			return newReadReply(d)
		}
		select {
		case <-ctx.Done():
			return nil, classError.Wrap(ctx.Err())
		case <-timer.C:
			return &hostspb.ReadReply{Revision: request.GetAfter()}, nil
		case <-changed:
		}
	}
}

func newReadReply(d Delta) (*hostspb.ReadReply, error) {
	r := &hostspb.ReadReply{Full: d.Full, Removed: d.Removed, Revision: d.Revision}
	for _, host := range d.Changed {
		data, err := json.Marshal(host)
		if err != nil {
			return nil, classError.Wrap(err)
		}
		r.Changed = append(r.Changed, data)
	}
	return r, nil
}
