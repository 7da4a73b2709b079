package member

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

// transmitFactor scales the number of datagrams that carry one update, which is
// transmitFactor * ceil(log10(nodes + 1)).
const transmitFactor = 4

// fieldOverhead is the size of the tag and length prefix of one update in a
// datagram, in bytes.
const fieldOverhead = 3

// broadcast is an update waiting to be gossiped.
type broadcast struct {
	// sent is the number of datagrams that have carried the update.
	sent int
	// size is the encoded size in bytes.
	size   int
	update *memberpb.Update
}

// broadcastQueue holds the latest update for each node until it has been sent
// often enough to reach all nodes.
type broadcastQueue struct{ byNode map[string]*broadcast }

func (q *broadcastQueue) add(update *memberpb.Update) {
	if q.byNode == nil {
		q.byNode = make(map[string]*broadcast)
	}
	q.byNode[update.GetId()] = &broadcast{size: proto.Size(update) + fieldOverhead, update: update}
}

// take returns updates that fit into limit bytes, those sent least often first. It
// removes an update from the queue after transmitFactor * ceil(log10(nodes + 1))
// datagrams.
func (q *broadcastQueue) take(limit, nodes int) []*memberpb.Update {
	if len(q.byNode) == 0 {
		return nil
	}
	waiting := make([]*broadcast, 0, len(q.byNode))
	for _, b := range q.byNode {
		waiting = append(waiting, b)
	}
	slices.SortFunc(waiting, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.GetId(), b.update.GetId()))
	})
	maxSent := transmitFactor * int(math.Ceil(math.Log10(float64(nodes)+1)))
	var taken []*memberpb.Update
	for _, b := range waiting {
		if b.size > limit {
			continue
		}
		limit -= b.size
		taken = append(taken, b.update)
		b.sent++
		if b.sent >= maxSent {
			delete(q.byNode, b.update.GetId())
		}
	}
	return taken
}
