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
	// pollPeriod is the mean time between two polls of a reader, and between
	// two tries of a node whose readers do not answer.
	pollPeriod = time.Second
	// readers is the number of readers in each availability zone.
	readers = 2
	// waitLimit is the longest time that a reader holds a question.
	waitLimit = 20 * time.Second
	// callLimit bounds a question from the side that asks.
	callLimit = waitLimit + 5*time.Second
)

// Follower keeps the host list of one node up to date. Exported fields are set
// before Register and Run.
type Follower struct {
	hostspb.UnimplementedHostsServer

	Logger  *slog.Logger
	Members member.View
	// OnChange receives the whole list after each change.
	OnChange func(hosts []hostlist.Host)
	Peers    *peer.Pool
	// Platform is the platform's list.
	Platform hostlist.Reader

	once    sync.Once
	mu      sync.Mutex
	changed chan struct{}
	journal Journal
}

func (f *Follower) init() {
	f.once.Do(func() { f.changed = make(chan struct{}) })
}

// Register adds the service to server.
func (f *Follower) Register(server *grpc.Server) {
	f.init()
	hostspb.RegisterHostsServer(server, f)
}

// Run follows the list until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	for ctx.Err() == nil {
		if waited := f.follow(ctx); waited {
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

// follow reads the list once, at a reader or at the platform. It reports
// whether the reader held the question, so that the next may follow at once.
func (f *Follower) follow(ctx context.Context) bool {
	f.mu.Lock()
	after := f.journal.Revision()
	f.mu.Unlock()
	if reader, ok := f.reader(); ok && after > 0 {
		err := f.ask(ctx, reader, after)
		if err == nil {
			return true
		}
		if ctx.Err() == nil {
			f.Logger.WarnContext(ctx, "host list not read at a peer", slog.String("error", err.Error()), slog.String("node", reader.ID))
		}
	}
	list, err := f.Platform.Read(ctx, after)
	if err != nil {
		if ctx.Err() == nil {
			f.Logger.WarnContext(ctx, "host list not read", slog.String("error", err.Error()))
		}
		return false
	}
	f.update(func(j *Journal) bool {
		if list.Revision <= j.Revision() {
			return false
		}
		j.Set(list)
		return true
	})
	return false
}

// reader returns the node to ask, unless this node is a reader itself.
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
	ranked = ranked[:min(readers, len(ranked))]
	if len(ranked) == 0 || slices.Contains(ranked, self.ID) {
		return member.Node{}, false
	}
	return byID[rendezvous.Owner(self.ID, ranked)], true
}

func (f *Follower) ask(ctx context.Context, reader member.Node, after int64) error {
	conn, err := f.Peers.Conn(reader.PeerAddress)
	if err != nil {
		return classError.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	reply, err := hostspb.NewHostsClient(conn).Read(ctx, &hostspb.ReadRequest{After: after})
	if err != nil {
		return classError.Wrap(err)
	}
	d := Difference{Full: reply.GetFull(), Removed: reply.GetRemoved(), Revision: reply.GetRevision()}
	for _, data := range reply.GetChanged() {
		var host hostlist.Host
		if err := json.Unmarshal(data, &host); err != nil {
			return classError.Wrap(err)
		}
		d.Changed = append(d.Changed, host)
	}
	f.update(func(j *Journal) bool { return j.Apply(d) })
	return nil
}

// update changes the journal and tells those who wait.
func (f *Follower) update(change func(j *Journal) bool) {
	f.mu.Lock()
	if !change(&f.journal) {
		f.mu.Unlock()
		return
	}
	hosts := f.journal.Hosts()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.OnChange(hosts)
}

// Read implements the service.
func (f *Follower) Read(ctx context.Context, request *hostspb.ReadRequest) (*hostspb.ReadReply, error) {
	f.init()
	timer := time.NewTimer(waitLimit)
	defer timer.Stop()
	for {
		f.mu.Lock()
		d, changed := f.journal.Since(request.GetAfter()), f.changed
		f.mu.Unlock()
		if d.Revision > request.GetAfter() {
			return reply(d)
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

func reply(d Difference) (*hostspb.ReadReply, error) {
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
