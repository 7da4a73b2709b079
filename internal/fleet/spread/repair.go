package spread

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/spread/spreadpb"
)

// startupPartners is the number of peers from which a node pulls before it is
// ready, so that it does not start from the documents of a single peer, which may
// lag behind.
const startupPartners = 3

// startupRetryDelay is the time between two rounds of pulls before a node is ready.
const startupRetryDelay = 300 * time.Millisecond

// startupRepairFactor divides the repair period of a node during StartupTime.
const startupRepairFactor = 4

// repair periodically compares digests with a partner, in rotation, and pulls what
// this node lacks. If a partner fails, the next one is tried.
func (s *Spreader) repair(ctx context.Context) error {
	s.recoverFromPeers(ctx)
	started, last := time.Now(), time.Now()
	for turn := rand.IntN(startupPartners); ; turn++ {
		period := s.Config.RepairPeriod
		if time.Since(started) < s.Config.StartupTime {
			period /= startupRepairFactor
		}
		if !sleep(ctx, period/2+rand.N(period)) {
			return nil
		}
		chosen := s.partners()
		if len(chosen) == 0 {
			continue
		}
		// If the process was suspended, all partners are asked in the same round.
		if time.Since(last) > 3*s.Config.RepairPeriod {
			s.pullAll(ctx, chosen)
		}
		last = time.Now()
		for i := range chosen {
			if s.pullFrom(ctx, chosen[(turn+i)%len(chosen)]) {
				break
			}
		}
	}
}

// recoverFromPeers pulls from a few peers until one has documents or the store has
// been read.
func (s *Spreader) recoverFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		chosen := s.partners()
		if s.pullAll(ctx, chosen[:min(startupPartners, len(chosen))]) {
			s.markReady()
		}
		select {
		case <-s.ready:
			return
		default:
			sleep(ctx, startupRetryDelay)
		}
	}
}

func (s *Spreader) partners() []member.Node {
	return selectPartners(s.Members.Self(), s.Members.Peers(), s.Config.PartnersInZone, s.Config.PartnersOtherZones)
}

// pullAll pulls from all peers. It reports whether one answered and the replica has
// entries.
func (s *Spreader) pullAll(ctx context.Context, peers []member.Node) bool {
	answered := false
	for _, node := range peers {
		answered = s.pullFrom(ctx, node) || answered
	}
	return answered && len(s.replica.Entries()) > 0
}

// pullFrom pulls from node the entries that this node lacks, and reports whether
// node answered.
func (s *Spreader) pullFrom(ctx context.Context, node member.Node) bool {
	callCtx, cancel := context.WithTimeout(ctx, s.Config.CallTimeout)
	defer cancel()
	client, err := s.client(node.PeerAddress)
	if err != nil {
		return false
	}
	reply, err := client.Pull(callCtx, &spreadpb.PullRequest{Digest: s.replica.Digest()})
	if err == nil && !reply.GetEqual() {
		reply, err = client.Pull(callCtx, s.completePullRequest())
	}
	if err != nil {
		s.Logger.Debug("digest comparison with node failed", slog.String("error", err.Error()), slog.String("node", node.ID))
		return false
	}
	s.publish(s.apply(sourcePull, fromWire(reply.GetEntries())))
	return true
}

// completePullRequest returns a request that lists all keys and revisions held by
// this node.
func (s *Spreader) completePullRequest() *spreadpb.PullRequest {
	request := &spreadpb.PullRequest{Complete: true}
	for _, entry := range s.replica.Entries() {
		request.Known = append(request.Known, &spreadpb.Known{Key: entry.Key, Revision: entry.Revision})
	}
	return request
}

// Pull implements spreadpb.SpreadServer. A request with only a digest is answered
// with whether the digests are equal. A complete request is answered with the
// entries that its sender lacks, limited to the size of one message.
func (s *Spreader) Pull(_ context.Context, request *spreadpb.PullRequest) (*spreadpb.PullReply, error) {
	s.init()
	if !request.GetComplete() {
		return &spreadpb.PullReply{Equal: request.GetDigest() == s.replica.Digest()}, nil
	}
	known := make(map[string]int64, len(request.GetKnown()))
	for _, k := range request.GetKnown() {
		known[k.GetKey()] = k.GetRevision()
	}
	reply := &spreadpb.PullReply{}
	size := 0
	for _, entry := range s.replica.Newer(known) {
		if size > 0 && size+len(entry.Value) > s.Config.BatchBytes {
			break
		}
		size += len(entry.Value)
		reply.Entries = append(reply.Entries, toWire(entry))
	}
	return reply, nil
}
