package owner

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner/ownerpb"
)

const (
	// acceptTimeout is how long an owner may take to acknowledge an attempt.
	acceptTimeout = time.Second
	// silenceTimeout is how long a node that is no longer a member may send nothing
	// before the attempts at it are cancelled.
	silenceTimeout = 2 * time.Second
	// maxOwnersTried is the number of nodes that are asked in turn to run an attempt.
	maxOwnersTried       = 3
	summariesTimeout     = 500 * time.Millisecond
	silenceCheckInterval = 500 * time.Millisecond
)

var errHostLost = errors.New("lost contact with the entry host that owns the queue")

// Client sends attempts to the queue owners of their engines, on this node or
// others. The exported fields must be set before Run is called.
type Client struct {
	Local   *Owner
	Logger  *slog.Logger
	Members member.View
	Pool    *peer.Pool
	Servers server.View

	mu      sync.Mutex
	streams map[*remoteStream]struct{}
}

// Start runs the attempt at the queue owner of its server and returns after the first
// chunk has arrived. If an owner cannot be reached, Start tries the next one.
func (c *Client) Start(ctx context.Context, a Attempt) (AttemptStream, error) {
	s, ok := c.Servers.Server(a.Server)
	if !ok {
		return nil, kind.New(kind.Unavailable, "backend server %q is unknown", a.Server).WithRan(kind.RanNo)
	}
	owners := RankOwners(s, c.Members.Nodes())
	self := c.Members.Self().ID
	maybeSent := false
	for _, node := range owners[:min(len(owners), maxOwnersTried)] {
		if node.ID == self {
			return c.Local.Start(ctx, a)
		}
		running, accepted, err := c.startRemote(ctx, node, a)
		if accepted || ctx.Err() != nil {
			return running, err
		}
		maybeSent = true
		c.Logger.InfoContext(ctx, "queue owner not reached", slog.String("node", node.ID), slog.String("error", err.Error()))
	}
	ran := kind.RanNo
	if maybeSent {
		ran = kind.RanUnknown
	}
	return nil, kind.New(kind.Unavailable, "no entry host accepted the attempt for backend server %q; tried %d",
		a.Server, min(len(owners), maxOwnersTried)).WithRan(ran)
}

// startRemote sends the attempt to a node and waits for its first chunk. accepted is true
// if the node acknowledged the attempt, even if the attempt then failed.
func (c *Client) startRemote(ctx context.Context, node member.Node, a Attempt) (_ AttemptStream, accepted bool, _ error) {
	conn, err := c.Pool.Conn(node.PeerAddress)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timeout := time.AfterFunc(acceptTimeout, func() { cancel(errHostLost) })
	stream, err := ownerpb.NewQueueOwnerClient(conn).Run(ctx, encodeAttempt(a))
	if err == nil {
		_, err = stream.Header()
	}
	if err != nil || !timeout.Stop() {
		timeout.Stop()
		cancel(errHostLost)
		return nil, false, errHostLost
	}
	r := &remoteStream{attempt: a, cancel: cancel, client: c, ctx: ctx, node: node.ID, stream: stream}
	r.lastReply.Store(time.Now().UnixNano())
	c.track(r)
	chunk, err := r.receive()
	if err != nil {
		_ = r.Close() // Close returns no error.
		return nil, true, err
	}
	r.buffered = &chunk
	return r, true, nil
}

func (c *Client) track(r *remoteStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams == nil {
		c.streams = make(map[*remoteStream]struct{})
	}
	c.streams[r] = struct{}{}
}

func (c *Client) untrack(r *remoteStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, r)
}

// Run cancels the attempts at nodes that are no longer members and have stopped
// sending, until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.cancelLost(now)
		}
	}
}

func (c *Client) cancelLost(now time.Time) {
	members := make(map[string]bool)
	for _, node := range c.Members.Nodes() {
		members[node.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for r := range c.streams {
		if !members[r.node] && now.Sub(time.Unix(0, r.lastReply.Load())) > silenceTimeout {
			r.cancel(errHostLost)
		}
	}
}

// Summaries asks the queue owners of the servers for summaries of their queues. It
// omits the queues of owners that do not answer within summariesTimeout.
func (c *Client) Summaries(ctx context.Context, servers []server.Server) []Summary {
	ctx, cancel := context.WithTimeout(ctx, summariesTimeout)
	defer cancel()
	nodes, self := c.Members.Nodes(), c.Members.Self().ID
	idsByNode, nodeByID := make(map[string][]string), make(map[string]member.Node)
	for _, s := range servers {
		if node, ok := QueueOwner(s, nodes); ok {
			idsByNode[node.ID] = append(idsByNode[node.ID], s.ID)
			nodeByID[node.ID] = node
		}
	}
	var mu sync.Mutex
	summaries := c.Local.summaries(idsByNode[self])
	var group errgroup.Group
	for id, ids := range idsByNode {
		if id == self {
			continue
		}
		group.Go(func() error {
			list := c.fetchSummaries(ctx, nodeByID[id], ids)
			mu.Lock()
			defer mu.Unlock()
			summaries = append(summaries, list...)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	return summaries
}

func (c *Client) fetchSummaries(ctx context.Context, node member.Node, ids []string) []Summary {
	conn, err := c.Pool.Conn(node.PeerAddress)
	if err != nil {
		return nil
	}
	reply, err := ownerpb.NewQueueOwnerClient(conn).Summaries(ctx, &ownerpb.SummariesRequest{ServerIds: ids})
	if err != nil {
		return nil
	}
	summaries := make([]Summary, 0, len(ids))
	for _, s := range reply.GetSummaries() {
		summaries = append(summaries, decodeSummary(s))
	}
	return summaries
}

// remoteStream is an attempt on an engine whose queue another node owns.
type remoteStream struct {
	attempt  Attempt
	buffered *dispatch.Chunk
	cancel   context.CancelCauseFunc
	client   *Client
	ctx      context.Context //nolint:containedctx // It spans the lifetime of the stream.
	// lastReply is the Unix time of the last reply in nanoseconds.
	lastReply atomic.Int64
	node      string
	stream    grpc.ServerStreamingClient[ownerpb.RunReply]

	mu      sync.Mutex
	summary Summary
}

var _ AttemptStream = &remoteStream{}

// Next returns the next chunk that the owner sends.
func (r *remoteStream) Next() (dispatch.Chunk, error) {
	if r.buffered != nil {
		chunk := *r.buffered
		r.buffered = nil
		return chunk, nil
	}
	return r.receive()
}

func (r *remoteStream) receive() (dispatch.Chunk, error) {
	reply, err := r.stream.Recv()
	if err != nil {
		return dispatch.Chunk{}, r.streamError(err)
	}
	r.lastReply.Store(time.Now().UnixNano())
	if s := reply.GetSummary(); s != nil {
		r.mu.Lock()
		r.summary = decodeSummary(s)
		r.mu.Unlock()
	}
	switch part := reply.GetPart().(type) {
	case *ownerpb.RunReply_Chunk:
		if part.Chunk.GetRequestId() != r.attempt.Call.Request.ID {
			return dispatch.Chunk{}, kind.New(kind.OutcomeUnknown, "entry host %q sent a chunk for request %q, want request %q",
				r.node, part.Chunk.GetRequestId(), r.attempt.Call.Request.ID)
		}
		return decodeChunk(part.Chunk, r.attempt.Server), nil
	case *ownerpb.RunReply_End:
		return dispatch.Chunk{}, io.EOF
	case *ownerpb.RunReply_Refusal:
		return dispatch.Chunk{}, decodeRefusal(part.Refusal)
	default:
		return dispatch.Chunk{}, kind.New(kind.Internal, "entry host %q sent a reply without a chunk, end or refusal", r.node)
	}
}

// streamError returns the error for a broken stream. Whether the attempt ran is then
// unknown.
func (r *remoteStream) streamError(err error) error {
	if cause := context.Cause(r.ctx); cause != nil && !errors.Is(cause, errHostLost) {
		return kind.Of(cause).WithRan(kind.RanUnknown)
	}
	return &kind.Error{Cause: errHostLost, Kind: kind.OutcomeUnknown, Message: err.Error(), Ran: kind.RanUnknown}
}

// Close ends the call, which cancels the attempt at its owner.
func (r *remoteStream) Close() error {
	r.client.untrack(r)
	r.cancel(context.Canceled)
	return nil
}

// Summary returns the most recent summary that the owner sent.
func (r *remoteStream) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary
}

// IsHostLost reports whether err means that contact with an entry host was lost, rather
// than that a backend server failed.
func IsHostLost(err error) bool { return errors.Is(err, errHostLost) }
