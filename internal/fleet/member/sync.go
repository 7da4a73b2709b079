package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

// joinPeers is the number of peers that a joining node asks at once. It is more
// than one because the host list may name nodes that have terminated.
const joinPeers = 3

// tickSync requests the next page of a peer's table. Until the first exchange is
// complete, it asks joinPeers peers each probe period; after that, one peer each
// sync period.
func (d *Detector) tickSync(now time.Time) []Datagram {
	if now.Before(d.nextSync) {
		return nil
	}
	interval := d.Config.ProbePeriod
	if d.synced {
		interval = d.Config.SyncPeriod
	}
	d.nextSync = now.Add(interval + d.jitter(interval/4))
	count := 1
	if !d.synced {
		count = joinPeers
	}
	var out []Datagram
	for _, id := range d.randomPeers(count, "") {
		request := d.newMessage(memberpb.Kind_KIND_SYNC_REQUEST)
		request.Cursor = d.syncCursor
		if !d.synced {
			request.Updates = []*memberpb.Update{d.selfUpdate()}
		}
		out = append(out, Datagram{Message: request, To: d.table.records[id].Node.PeerAddress})
	}
	return out
}

// receiveSyncRequest answers with the page after the cursor, or not at all if
// the rate limit for pages is exhausted. The requester then asks another peer.
func (d *Detector) receiveSyncRequest(from string, message *memberpb.Message) []Datagram {
	if d.pageBucket.available < d.Config.PageBytes {
		return nil
	}
	page := d.newMessage(memberpb.Kind_KIND_SYNC_PAGE)
	size := 0
	for _, id := range d.table.ids() {
		r := d.table.records[id]
		if id <= message.GetCursor() || r.Node.Incarnation == 0 {
			continue
		}
		update := r.toUpdate()
		if r.State == StateSuspect {
			update.State = memberpb.State_STATE_ALIVE
		}
		size += proto.Size(update) + fieldOverhead
		if size > d.Config.PageBytes {
			page.Cursor = page.GetUpdates()[len(page.GetUpdates())-1].GetId()
			break
		}
		page.Updates = append(page.Updates, update)
	}
	if page.GetCursor() == "" {
		page.Updates = append(page.Updates, d.selfUpdate())
	}
	d.pageBucket.available -= size
	return []Datagram{{Message: page, To: from}}
}

func (d *Detector) receiveSyncPage(message *memberpb.Message) {
	if len(message.GetUpdates()) == 0 {
		return
	}
	d.syncCursor = message.GetCursor()
	d.synced = d.synced || d.syncCursor == ""
}

// Synced reports whether the first full table exchange is complete.
func (d *Detector) Synced() bool { return d.synced }
