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
	// DefaultWriters is the default number of nodes that write for all others.
	DefaultWriters = 12
	// writersPerKey is the number of writers that are tried in turn for an item.
	writersPerKey = 2
	writerRankKey = "idempotency-writers"
	writerTimeout = time.Second
)

var _ Committer = (*ForwardingCommitter)(nil)

// ForwardingCommitter forwards the items of all nodes of a large deployment to a few
// writers, so that each transaction holds the items of many nodes. It does not matter
// which writer gets an item or how often, because the item's condition lets it take
// effect only once. If there are no more nodes than writers, each node writes its own
// items. The exported fields must be set before Run is called.
type ForwardingCommitter struct {
	// Batcher writes the items for which this node is a writer.
	Batcher *Batcher
	Members member.View
	Pool    *peer.Pool
	// Writers is the number of writers. Zero means DefaultWriters.
	Writers int
}

// TransactionRate returns the number of transactions per second that this node may
// send.
func (c *ForwardingCommitter) TransactionRate() float64 {
	return TransactionRate(min(len(c.Members.Nodes()), c.writerCount()))
}

// Register registers the service that other nodes call.
func (c *ForwardingCommitter) Register(s *grpc.Server) {
	idempotencypb.RegisterGatherServer(s, &gatherService{committer: c})
}

// Run runs the batcher until ctx is done.
func (c *ForwardingCommitter) Run(ctx context.Context) error { return c.Batcher.Run(ctx) }

// Commit writes the item through the first writer for its key that answers.
func (c *ForwardingCommitter) Commit(ctx context.Context, item Item) (Outcome, error) {
	nodes := c.Members.Nodes()
	if len(nodes) <= c.writerCount() {
		return c.Batcher.Commit(ctx, item)
	}
	self := c.Members.Self().ID
	var err error
	for _, node := range c.writersOf(item.Key, nodes) {
		if node.ID == self {
			return c.Batcher.Commit(ctx, item)
		}
		var outcome Outcome
		if outcome, err = c.forward(ctx, node, item); err == nil || !kind.Is(err, kind.StoreWriteUnknown) {
			return outcome, err
		}
	}
	return Outcome{}, err
}

// writersOf returns the writers for a key in order of preference.
func (c *ForwardingCommitter) writersOf(key string, nodes []member.Node) []member.Node {
	ids := make([]string, len(nodes))
	byID := make(map[string]member.Node, len(nodes))
	for i, node := range nodes {
		ids[i] = node.ID
		byID[node.ID] = node
	}
	writers := rendezvous.Rank(writerRankKey, ids)[:c.writerCount()]
	var ranked []member.Node
	for _, id := range rendezvous.Rank(key, writers)[:min(writersPerKey, len(writers))] {
		ranked = append(ranked, byID[id])
	}
	return ranked
}

// forward has another node write the item. If its reply is lost, the outcome of the
// write is unknown.
func (c *ForwardingCommitter) forward(ctx context.Context, node member.Node, item Item) (Outcome, error) {
	conn, err := c.Pool.Conn(node.PeerAddress)
	if err != nil {
		return Outcome{}, kind.Wrap(kind.StoreWriteUnknown, err)
	}
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	reply, err := idempotencypb.NewGatherClient(conn).Commit(ctx, &idempotencypb.CommitRequest{
		KeepForNano: int64(item.Retention),
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

func (c *ForwardingCommitter) writerCount() int {
	if c.Writers > 0 {
		return c.Writers
	}
	return DefaultWriters
}

// gatherService serves a ForwardingCommitter over gRPC.
type gatherService struct {
	idempotencypb.UnimplementedGatherServer

	committer *ForwardingCommitter
}

// Commit writes an item that another node forwarded.
func (s *gatherService) Commit(ctx context.Context, request *idempotencypb.CommitRequest) (*idempotencypb.CommitReply, error) {
	if !strings.HasPrefix(request.GetKey(), keyPrefix) {
		return nil, status.Errorf(codes.InvalidArgument, "key %q is not that of an idempotency record, want prefix %q", request.GetKey(), keyPrefix)
	}
	outcome, err := s.committer.Batcher.Commit(ctx, Item{
		Retention:   time.Duration(request.GetKeepForNano()),
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
