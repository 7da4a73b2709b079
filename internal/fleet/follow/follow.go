// Package follow shares the watches of a few hosts with all others, so that the
// calls of the key-value service do not grow with the fleet.
package follow

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/follow/followpb"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
)

var classError = errs.Class("follow")

const (
	// hostsPerReader is how many hosts share one that watches the store. A
	// reader answers each of them three times in a wait.
	hostsPerReader = 40
	minReaders     = 2
	// Wait is how long one call waits for news.
	Wait = 1500 * time.Millisecond
	// waitMargin is added to the wait for the answer's way.
	waitMargin = 300 * time.Millisecond
	// maxAge is how old a reader's knowledge may be. A reader's own watch is
	// answered at least as often as this.
	maxAge = 3 * time.Second
	// avoidFor is how long a reader isn't asked after it failed.
	avoidFor = 3 * time.Second
)

// IsReader reports whether the host watches the store itself, given all hosts.
func IsReader(self string, hosts []string) bool {
	return slices.Contains(readers(hosts), self)
}

// readers are the hosts that watch the store, the same for all that know the
// same hosts.
func readers(hosts []string) []string {
	n := max(minReaders, (len(hosts)+hostsPerReader-1)/hostsPerReader)
	ranked := rendezvous.Rank("readers", hosts)
	return ranked[:min(n, len(ranked))]
}

// Source follows the readers. The fields are set before the first call.
type Source struct {
	Pool   *peer.Pool
	Roster *roster.Roster
	// Self is the id of this host.
	Self string

	failed failures
}

var _ mirror.Source = (*Source)(nil)

// Follow implements mirror.Source.
func (s *Source) Follow(ctx context.Context, prefix string, revision int64) (mirror.Update, bool, error) {
	hosts := s.Roster.Active()
	ids := roster.IDs(hosts)
	if len(hosts) <= minReaders || IsReader(s.Self, ids) {
		return mirror.Update{}, false, nil
	}
	for _, id := range rendezvous.Rank(s.Self, readers(ids)) {
		reader, ok := s.Roster.Get(id)
		if !ok || reader.Peer == "" || s.failed.recently(reader.Incarnation) {
			continue
		}
		news, err := s.next(ctx, reader.Peer, prefix, revision)
		if err != nil {
			s.failed.note(reader.Incarnation)
			return mirror.Update{}, true, err
		}
		return news, true, nil
	}
	return mirror.Update{}, false, nil
}

func (s *Source) next(ctx context.Context, address, prefix string, revision int64) (mirror.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, Wait+waitMargin)
	defer cancel()
	var reply *followpb.NextReply
	err := s.Pool.Call(address, func(conn grpc.ClientConnInterface) error {
		var err error
		reply, err = followpb.NewFollowClient(conn).Next(ctx, &followpb.NextRequest{
			Prefix: prefix, Revision: revision, WaitMillis: Wait.Milliseconds(),
		})
		return err
	})
	if err != nil {
		return mirror.Update{}, classError.Wrap(err)
	}
	if reply.GetBehind() {
		return mirror.Update{}, classError.New("the host is behind")
	}
	news := mirror.Update{Reset: reply.GetWhole(), Revision: reply.GetRevision()}
	for _, e := range reply.GetEvents() {
		news.Events = append(news.Events, kv.Event{Delete: e.GetDelete(), Entry: kv.Entry{
			CreateRevision: e.GetCreateRevision(), Key: e.GetKey(), Lease: kv.LeaseID(e.GetLease()),
			ModRevision: e.GetModRevision(), Value: e.GetValue(),
		}})
	}
	return news, nil
}

// Register serves other hosts from the mirrors of this one, by their prefixes.
func Register(server *grpc.Server, mirrors []*mirror.Mirror) {
	byPrefix := make(map[string]*mirror.Mirror, len(mirrors))
	for _, m := range mirrors {
		byPrefix[m.Prefix] = m
	}
	followpb.RegisterFollowServer(server, handler{mirrors: byPrefix})
}

type handler struct {
	followpb.UnimplementedFollowServer

	mirrors map[string]*mirror.Mirror
}

var _ followpb.FollowServer = handler{}

// Next implements followpb.FollowServer.
func (h handler) Next(ctx context.Context, r *followpb.NextRequest) (*followpb.NextReply, error) {
	m, ok := h.mirrors[r.GetPrefix()]
	if !ok {
		return &followpb.NextReply{Behind: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond)
	defer cancel()
	news, ok := m.Since(ctx, r.GetRevision(), maxAge)
	reply := &followpb.NextReply{Behind: !ok, Revision: news.Revision, Whole: news.Reset}
	for _, e := range news.Events {
		reply.Events = append(reply.Events, &followpb.Event{
			CreateRevision: e.Entry.CreateRevision, Delete: e.Delete, Key: e.Entry.Key, Lease: int64(e.Entry.Lease),
			ModRevision: e.Entry.ModRevision, Value: e.Entry.Value,
		})
	}
	return reply, nil
}
