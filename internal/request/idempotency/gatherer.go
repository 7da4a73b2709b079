package idempotency

import (
	"context"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/request/idempotency/idempotencypb"
)

const (
	// DefaultWriters is the number of nodes that write for all others.
	DefaultWriters = 12
	// writerChoices is the number of writers that are tried for an item.
	writerChoices = 2
	writersKey    = "idempotency-writers"
	writerTimeout = time.Second
)

var _ Committer = (*Gatherer)(nil)

// Gatherer hands the items of a large deployment to a few nodes, whose batches
// then hold the items of many. Nothing depends on which node writes an item or
// on how often it is handed over, since its condition lets it take effect once.
// The fields are set before Run.
type Gatherer struct {
	// Batcher writes the items that fall to this node.
	Batcher *Batcher
	Members member.View
	Pool    *peer.Pool
	// Writers is the number of nodes that write. Zero means DefaultWriters.
	Writers int
}

// Share returns the number of transactions in a second that this node may send.
func (g *Gatherer) Share() float64 {
	return Share(min(len(g.Members.Nodes()), g.writers()))
}

// Register adds the service that the other nodes call.
func (g *Gatherer) Register(s *grpc.Server) {
	idempotencypb.RegisterGatherServer(s, &gatherService{gatherer: g})
}

// Run runs the batcher until ctx ends.
func (g *Gatherer) Run(ctx context.Context) error { return g.Batcher.Run(ctx) }

// Commit writes the item through the first writer for its key that answers.
func (g *Gatherer) Commit(ctx context.Context, item Item) (Outcome, error) {
	nodes := g.Members.Nodes()
	if len(nodes) <= g.writers() {
		return g.Batcher.Commit(ctx, item)
	}
	self := g.Members.Self().ID
	var err error
	for _, node := range g.choose(item.Key, nodes) {
		if node.ID == self {
			return g.Batcher.Commit(ctx, item)
		}
		var outcome Outcome
		if outcome, err = g.hand(ctx, node, item); err == nil || !kind.Is(err, kind.StoreWriteUnknown) {
			return outcome, err
		}
	}
	return Outcome{}, err
}

// choose returns the writers for a key, the best first.
func (g *Gatherer) choose(key string, nodes []member.Node) []member.Node {
	ids := make([]string, len(nodes))
	byID := make(map[string]member.Node, len(nodes))
	for i, node := range nodes {
		ids[i] = node.ID
		byID[node.ID] = node
	}
	writers := rendezvous.Rank(writersKey, ids)[:g.writers()]
	var chosen []member.Node
	for _, id := range rendezvous.Rank(key, writers)[:min(writerChoices, len(writers))] {
		chosen = append(chosen, byID[id])
	}
	return chosen
}

// hand has another node write the item. A lost reply is a write of unknown
// outcome.
func (g *Gatherer) hand(ctx context.Context, node member.Node, item Item) (Outcome, error) {
	conn, err := g.Pool.Conn(node.PeerAddress)
	if err != nil {
		return Outcome{}, kind.Wrap(kind.StoreWriteUnknown, err)
	}
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	reply, err := idempotencypb.NewGatherClient(conn).Commit(ctx, &idempotencypb.CommitRequest{
		KeepForNano: int64(item.KeepFor),
		Key:         item.Key,
		ModRevision: item.ModRevision,
		Value:       item.Value,
	})
	switch {
	case err != nil:
		return Outcome{}, kind.Wrap(kind.StoreWriteUnknown, err)
	case reply.GetErrorKind() != "":
		return Outcome{}, kind.New(kind.Kind(reply.GetErrorKind()), "%s", reply.GetErrorMessage())
	case reply.GetCommitted():
		return Outcome{Committed: true, Revision: reply.GetRevision()}, nil
	}
	current := kv.Entry{Key: item.Key, ModRevision: reply.GetRevision(), Value: reply.GetCurrentValue()}
	return Outcome{Current: current}, nil
}

func (g *Gatherer) writers() int {
	if g.Writers > 0 {
		return g.Writers
	}
	return DefaultWriters
}

// gatherService is the gRPC side of a Gatherer.
type gatherService struct {
	idempotencypb.UnimplementedGatherServer

	gatherer *Gatherer
}

// Commit writes an item of another node.
func (s *gatherService) Commit(ctx context.Context, request *idempotencypb.CommitRequest) (*idempotencypb.CommitReply, error) {
	if !strings.HasPrefix(request.GetKey(), keyPrefix) {
		return nil, status.Error(codes.InvalidArgument, "the key is not that of an idempotency record")
	}
	outcome, err := s.gatherer.Batcher.Commit(ctx, Item{
		KeepFor:     time.Duration(request.GetKeepForNano()),
		Key:         request.GetKey(),
		ModRevision: request.GetModRevision(),
		Value:       request.GetValue(),
	})
	if err != nil {
		e := kind.Of(err)
		return &idempotencypb.CommitReply{ErrorKind: string(e.Kind), ErrorMessage: e.Message}, nil
	}
	if outcome.Committed {
		return &idempotencypb.CommitReply{Committed: true, Revision: outcome.Revision}, nil
	}
	return &idempotencypb.CommitReply{
		CurrentValue: outcome.Current.Value,
		Revision:     outcome.Current.ModRevision,
	}, nil
}
