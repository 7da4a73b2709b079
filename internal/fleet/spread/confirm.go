package spread

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/spread/spreadpb"
)

// confirmInterval is the time between two confirmation rounds.
const confirmInterval = 500 * time.Millisecond

// Confirmation reports on which nodes a revision is in force.
type Confirmation struct {
	// Confirmed is the number of nodes that have the revision or a newer one.
	Confirmed int
	// Lagging lists the ids of the nodes that have an older revision or did not
	// answer, in sorted order.
	Lagging []string
}

// WaitConfirmed polls the reachable nodes until revision, or a newer revision of key,
// is in force on all of them. If ctx ends first, it returns the last result with an
// error.
func (s *Spreader) WaitConfirmed(ctx context.Context, key string, revision int64) (Confirmation, error) {
	for {
		confirmation := s.ConfirmAll(ctx, key, revision)
		if len(confirmation.Lagging) == 0 {
			return confirmation, nil
		}
		if !sleep(ctx, confirmInterval) {
			return confirmation, classError.Wrap(ctx.Err())
		}
	}
}

// ConfirmAll polls all reachable nodes once. In each availability zone it sends the
// request to the first node that answers, in the order of Readers. That node forwards
// it along the zone's tree.
func (s *Spreader) ConfirmAll(ctx context.Context, key string, revision int64) Confirmation {
	s.init()
	zones := make(map[string][]member.Node)
	nodes := append(slices.Clone(s.Members.Peers()), s.Members.Self())
	for _, node := range nodes {
		zones[node.AvailabilityZone] = append(zones[node.AvailabilityZone], node)
	}
	var total confirmationTotal
	var group errgroup.Group
	for zone, zoneNodes := range zones {
		group.Go(func() error {
			sub := subtree{}
			for _, id := range Readers(zoneNodes, zone, len(zoneNodes)) {
				index := slices.IndexFunc(zoneNodes, func(node member.Node) bool { return node.ID == id })
				sub.roots = append(sub.roots, zoneNodes[index])
			}
			sub.branch = zoneBranch(zone, sub.roots[0].ID)
			s.confirmSubtree(ctx, sub, key, revision, &total)
			return nil
		})
	}
	_ = group.Wait()
	return total.result()
}

// Confirm implements spreadpb.SpreadServer. It confirms for this node and for the
// nodes below it in the requested branch.
func (s *Spreader) Confirm(ctx context.Context, request *spreadpb.ConfirmRequest) (*spreadpb.ConfirmReply, error) {
	s.init()
	var total confirmationTotal
	if s.Documents.Revision(request.GetKey()) >= request.GetRevision() {
		total.add(1)
	} else {
		total.add(0, s.Members.Self().ID)
	}
	var group errgroup.Group
	for _, sub := range splitBranch(request.GetBranch(), s.Members.Self().ID, s.Members.Peers(), s.Config.Fanout) {
		group.Go(func() error {
			s.confirmSubtree(ctx, sub, request.GetKey(), request.GetRevision(), &total)
			return nil
		})
	}
	_ = group.Wait()
	result := total.result()
	return &spreadpb.ConfirmReply{Confirmed: int32(result.Confirmed), Lagging: result.Lagging}, nil
}

// confirmSubtree asks the possible roots of the subtree in order until one answers.
// Those that do not answer are counted as lagging.
func (s *Spreader) confirmSubtree(ctx context.Context, sub subtree, key string, revision int64, total *confirmationTotal) {
	for _, root := range sub.roots {
		reply, err := s.confirmNode(ctx, root, &spreadpb.ConfirmRequest{Branch: sub.branch, Key: key, Revision: revision})
		if err == nil {
			total.add(int(reply.GetConfirmed()), reply.GetLagging()...)
			return
		}
		total.add(0, root.ID)
	}
}

func (s *Spreader) confirmNode(ctx context.Context, node member.Node, request *spreadpb.ConfirmRequest) (*spreadpb.ConfirmReply, error) {
	// The timeout shrinks with the depth, so that each level leaves its caller time
	// to ask another possible root.
	timeout := s.Config.CallTimeout * time.Duration(max(1, s.Config.Readers+1-len(request.GetBranch().GetPath())))
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if node.ID == s.Members.Self().ID {
		return s.Confirm(callCtx, request)
	}
	client, err := s.client(node.PeerAddress)
	if err != nil {
		return nil, err
	}
	reply, err := client.Confirm(callCtx, request)
	return reply, classError.Wrap(err)
}

// confirmationTotal accumulates the confirmations of subtrees. It is safe for
// concurrent use.
type confirmationTotal struct {
	mu        sync.Mutex
	confirmed int
	lagging   []string
}

func (t *confirmationTotal) add(confirmed int, lagging ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed += confirmed
	t.lagging = append(t.lagging, lagging...)
}

func (t *confirmationTotal) result() Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.Sort(t.lagging)
	return Confirmation{Confirmed: t.confirmed, Lagging: slices.Compact(t.lagging)}
}
