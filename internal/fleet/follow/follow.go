// Package follow lets most hosts receive changes from a few hosts that watch the
// key-value service, called readers, so that the number of calls to the service
// does not grow with the fleet.
package follow

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/follow/followpb"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
)

var classError = errs.Class("follow")

// errStale is the error of a reader whose copy of a prefix is too old or missing.
var errStale = classError.New("the copy is too old or missing")

const (
	// hostsPerReader is the number of hosts that share a reader. A reader answers
	// three calls from each of them per poll, one for each of a host's mirrors.
	hostsPerReader = 40
	minReaders     = 2
	// maxPollWait is the longest time for which one call waits for a change.
	maxPollWait = 1500 * time.Millisecond
	// pollWaitShare is that time as a share of the bound within which a change has to be
	// known, and networkShare what is added for the transfer of the reply. The rest of the
	// bound is for a read of the store if the reader doesn't answer.
	pollWaitShare = 0.6
	networkShare  = 0.15
	// nextReaderShare is that share for the next reader, if the copy of the first is too old.
	nextReaderShare = 0.1
	// defaultBound applies if Source has no bound.
	defaultBound = 2 * time.Second
	// ejectionTime is how long a reader is not called after a failure.
	ejectionTime = 3 * time.Second
	// staleTime is how long a reader isn't asked for a prefix after it has answered that its
	// copy is too old. It is alive, and asks the store for an answer at once.
	staleTime = 500 * time.Millisecond
)

// IsReader reports whether the host self, one of hosts, watches the store itself.
func IsReader(self string, hosts []string) bool {
	return slices.Contains(selectReaders(hosts), self)
}

// selectReaders returns the hosts that watch the store. All hosts that know the
// same hosts select the same readers.
func selectReaders(hosts []string) []string {
	n := max(minReaders, (len(hosts)+hostsPerReader-1)/hostsPerReader)
	ranked := rendezvous.Rank("readers", hosts)
	return ranked[:min(n, len(ranked))]
}

// Source receives changes from the readers. Its exported fields must be set before
// the first call.
type Source struct {
	// Bound is the time within which this host has to know a change, even if the reader
	// that it asks stops answering. Zero means two seconds.
	Bound time.Duration
	// MaxWait bounds the time for which one call waits for a change, by prefix.
	MaxWait map[string]time.Duration
	Pool    *peer.Pool
	Roster  *roster.Roster
	// Self is the id of this host.
	Self string

	failed recentFailures
}

var _ mirror.Source = (*Source)(nil)

// Follow implements mirror.Source.
func (s *Source) Follow(ctx context.Context, prefix string, revision int64) (mirror.Update, bool, error) {
	hosts := s.Roster.Active()
	ids := roster.IDs(hosts)
	if len(hosts) <= minReaders || IsReader(s.Self, ids) {
		return mirror.Update{}, false, nil
	}
	bound := cmp.Or(s.Bound, defaultBound)
	wait, network := min(time.Duration(pollWaitShare*float64(bound)), maxPollWait), time.Duration(networkShare*float64(bound))
	if limit, ok := s.MaxWait[prefix]; ok {
		wait = min(wait, limit)
	}
	var staleErr error
	for _, id := range rendezvous.Rank(s.Self, selectReaders(ids)) {
		reader, ok := s.Roster.Get(id)
		if !ok {
			continue
		}
		stale := reader.Incarnation + " " + prefix
		if reader.PeerAddress == "" || s.failed.contains(reader.Incarnation) || s.failed.contains(stale) {
			continue
		}
		update, err := s.poll(ctx, reader.PeerAddress, prefix, revision, wait, network)
		switch {
		case errors.Is(err, errStale):
			s.failed.record(stale, staleTime)
			staleErr = err
			// What this host knows may be as old already as the reader's copy.
			wait, network = 0, time.Duration(nextReaderShare*float64(bound))
		case err != nil:
			s.failed.record(reader.Incarnation, ejectionTime)
			return mirror.Update{}, true, err
		default:
			return update, true, nil
		}
	}
	return mirror.Update{}, staleErr != nil, staleErr
}

// poll asks the reader at address for the changes after revision. The reader waits for wait
// for a change, and its reply may take as long as network more.
func (s *Source) poll(ctx context.Context, address, prefix string, revision int64, wait, network time.Duration) (mirror.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+network)
	defer cancel()
	var reply *followpb.NextReply
	err := s.Pool.Call(address, func(conn grpc.ClientConnInterface) error {
		var err error
		reply, err = followpb.NewFollowClient(conn).Next(ctx, &followpb.NextRequest{
			Prefix: prefix, Revision: revision, WaitMillis: wait.Milliseconds(),
		})
		return err
	})
	if err != nil {
		return mirror.Update{}, classError.Wrap(err)
	}
	if reply.GetBehind() {
		return mirror.Update{}, fmt.Errorf("host at %s cannot serve %s after revision %d: %w", address, prefix, revision, errStale)
	}
	update := mirror.Update{
		Age: time.Duration(reply.GetAgeMicros()) * time.Microsecond, AgeKnown: reply.AgeMicros != nil,
		Reset: reply.GetWhole(), Revision: reply.GetRevision(),
	}
	for _, e := range reply.GetEvents() {
		update.Events = append(update.Events, kv.Event{Delete: e.GetDelete(), Entry: kv.Entry{
			CreateRevision: e.GetCreateRevision(), Key: e.GetKey(), Lease: kv.LeaseID(e.GetLease()),
			ModRevision: e.GetModRevision(), Value: e.GetValue(),
		}})
	}
	return update, nil
}

// Register registers the service from which other hosts receive the changes of
// mirrors. Requests select a mirror by its prefix.
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
	update, ok := m.Since(ctx, r.GetRevision())
	reply := &followpb.NextReply{Behind: !ok, Revision: update.Revision, Whole: update.Reset}
	if update.AgeKnown {
		// Rounded up, so that the state never seems younger than it is.
		reply.AgeMicros = proto.Int64(update.Age.Microseconds() + 1)
	}
	for _, e := range update.Events {
		reply.Events = append(reply.Events, &followpb.Event{
			CreateRevision: e.Entry.CreateRevision, Delete: e.Delete, Key: e.Entry.Key, Lease: int64(e.Entry.Lease),
			ModRevision: e.Entry.ModRevision, Value: e.Entry.Value,
		})
	}
	return reply, nil
}
