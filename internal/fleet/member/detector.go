package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

// maxHealthScore is the worst local health score.
const maxHealthScore = 8

// pausePeriods is the number of probe periods without a tick after which the
// detector assumes that its own process was paused. The same number is added to
// the local health score after a pause.
const pausePeriods = 3

// Datagram is a message to send.
type Datagram struct {
	Message *memberpb.Message
	// To is the peer address of the receiver.
	To string
}

// Detector decides which nodes are alive. It follows SWIM with the refinements
// of Lifeguard: a local health multiplier, suspicion timeouts that shorten with
// confirmations, and a notice to the suspect itself. It does no I/O and is not
// safe for concurrent use. Exported fields are set before Start.
type Detector struct {
	Config Config
	// Random selects peers and adds jitter.
	Random *rand.Rand
	Self   Node

	// gossipBucket limits the updates sent with probes and their answers.
	gossipBucket       tokenBucket
	healthScore        int
	lastTick           time.Time
	leaving            bool
	nextProbe          time.Time
	nextRetry          time.Time
	nextSuspicionCheck time.Time
	nextSync           time.Time
	// pageBucket limits the table pages sent.
	pageBucket tokenBucket
	// probeOrder contains the IDs left in the current round of probes.
	probeOrder   []string
	probe        *probe
	broadcasts   broadcastQueue
	relayedPings map[uint32]relayedPing
	sequence     uint32
	// synced is set once the first full table exchange is complete.
	synced bool
	// syncCursor is the cursor of the next page to request. If empty, the next
	// request starts over.
	syncCursor string
	table      *Table
}

// Start initializes the detector at now and queues the announcement of this
// node.
func (d *Detector) Start(now time.Time) {
	d.table = NewTable()
	d.relayedPings = make(map[uint32]relayedPing)
	d.gossipBucket = newTokenBucket(d.Config.GossipRate, now)
	d.pageBucket = newTokenBucket(d.Config.PageRate, now)
	d.lastTick = now
	d.nextProbe = now.Add(d.jitter(d.Config.ProbePeriod))
	d.nextRetry = now.Add(d.Config.RetryPeriod)
	d.nextSync = now.Add(d.jitter(d.Config.ProbePeriod))
	d.broadcasts.add(d.selfUpdate())
}

// SetHosts updates the table from the entry hosts of the host list. It reports
// whether the list shows this node as leaving.
func (d *Detector) SetHosts(now time.Time, hosts []hostlist.Host) bool {
	listed := make(map[string]bool, len(hosts))
	leaving := false
	for _, host := range hosts {
		if host.Role != hostlist.RoleEntry {
			continue
		}
		hostLeaving := host.State == hostlist.StateLeaving
		if host.ID == d.Self.ID {
			leaving = hostLeaving
			continue
		}
		listed[host.ID] = true
		d.table.AddListed(Node{
			AvailabilityZone: host.AvailabilityZone,
			CallerAddress:    host.Address,
			ID:               host.ID,
			PeerAddress:      host.PeerAddress,
			Region:           host.Region,
		}, hostLeaving, now)
	}
	d.table.MarkUnlisted(listed)
	return leaving
}

// Leave announces that this node accepts no new work.
func (d *Detector) Leave() {
	if d.leaving {
		return
	}
	d.leaving, d.table.changed = true, true
	d.Self.Incarnation++
	d.broadcasts.add(d.selfUpdate())
}

// DepartureNotices returns datagrams that notify a few peers that this node is
// gone. There are none unless the node is leaving.
func (d *Detector) DepartureNotices() []Datagram {
	if !d.leaving {
		return nil
	}
	update := d.selfUpdate()
	update.State = memberpb.State_STATE_GONE
	var datagrams []Datagram
	for _, id := range d.randomPeers(transmitFactor, "") {
		message := d.newMessage(memberpb.Kind_KIND_SYNC_PAGE)
		message.Updates = []*memberpb.Update{update}
		datagrams = append(datagrams, Datagram{Message: message, To: d.table.records[id].Node.PeerAddress})
	}
	return datagrams
}

// HealthScore returns the local health score. Zero is healthy; timeouts are
// multiplied by the score plus one.
func (d *Detector) HealthScore() int { return d.healthScore }

// Nodes returns the alive and suspect nodes that are not leaving, this one
// included, sorted by ID.
func (d *Detector) Nodes() []Node {
	nodes := make([]Node, 0, len(d.table.records)+1)
	if !d.leaving {
		nodes = append(nodes, d.Self)
	}
	for _, r := range d.table.records {
		if !r.Leaving && (r.State == StateAlive || r.State == StateSuspect) {
			nodes = append(nodes, r.Node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// Peers returns the other nodes that are alive or suspect, leaving ones
// included, sorted by ID.
func (d *Detector) Peers() []Node {
	var nodes []Node
	for _, id := range d.table.ids() {
		if r := d.table.records[id]; r.State == StateAlive || r.State == StateSuspect {
			nodes = append(nodes, r.Node)
		}
	}
	return nodes
}

// Record returns the record of the node with the ID.
func (d *Detector) Record(id string) (Record, bool) { return d.table.Record(id) }

// Records returns the records of the other nodes, sorted by ID.
func (d *Detector) Records() []Record { return d.table.Records() }

// TakeChanged reports whether the nodes or their states may have changed since the
// last call.
func (d *Detector) TakeChanged() bool {
	changed := d.table.changed
	d.table.changed = false
	return changed
}

// Tick runs the periodic work due at now and returns the datagrams to send.
func (d *Detector) Tick(now time.Time) []Datagram {
	d.handleOwnPause(now)
	d.lastTick = now
	d.gossipBucket.refill(now)
	d.pageBucket.refill(now)
	var out []Datagram
	out = append(out, d.tickRelayedPings(now)...)
	out = append(out, d.tickProbe(now)...)
	d.tickSuspicions(now)
	out = append(out, d.tickRetry(now)...)
	out = append(out, d.tickSync(now)...)
	return out
}

// Receive handles a message from the address from and returns the datagrams to
// send in response.
func (d *Detector) Receive(now time.Time, from string, message *memberpb.Message) []Datagram {
	if message.GetFrom() == d.Self.ID {
		return nil
	}
	for _, update := range message.GetUpdates() {
		d.apply(update, now)
	}
	switch message.GetKind() {
	case memberpb.Kind_KIND_PING:
		return d.receivePing(from, message)
	case memberpb.Kind_KIND_PING_REQUEST:
		return d.receivePingRequest(now, from, message)
	case memberpb.Kind_KIND_ACK:
		return d.receiveAck(message)
	case memberpb.Kind_KIND_NACK:
		d.receiveNack(message)
	case memberpb.Kind_KIND_SYNC_REQUEST:
		return d.receiveSyncRequest(from, message)
	case memberpb.Kind_KIND_SYNC_PAGE:
		d.receiveSyncPage(message)
	case memberpb.Kind_KIND_UNSPECIFIED:
	}
	return nil
}

// apply merges an update into the table and queues it for gossip if it changed
// anything. An update about this node is refuted if it is false.
func (d *Detector) apply(update *memberpb.Update, now time.Time) {
	if update.GetId() == d.Self.ID {
		d.refute(update)
		return
	}
	changed := d.table.Apply(update, now)
	r := d.table.records[update.GetId()]
	if r == nil {
		return
	}
	if r.State == StateSuspect && update.GetIncarnation() == r.Node.Incarnation {
		if r.suspicion == nil {
			r.suspicion = newSuspicion(d.Config, d.nodeCount(), 0, now)
		}
		changed = r.suspicion.confirm(update.GetAccuser()) || changed
	}
	if changed {
		d.broadcasts.add(update)
	}
}

// refute handles an update about this node. A false update is refuted by raising
// this node's incarnation above that of the update, unless the update is about an
// older incarnation.
func (d *Detector) refute(update *memberpb.Update) {
	own := d.Self.Incarnation
	alive := update.GetState() == memberpb.State_STATE_ALIVE
	switch {
	case alive && update.GetIncarnation() <= own:
		return
	case update.GetIncarnation() < own:
		// The peer does not know the current incarnation yet.
		d.broadcasts.add(d.selfUpdate())
		return
	}
	if update.GetState() == memberpb.State_STATE_SUSPECT {
		d.adjustHealthScore(1)
	}
	d.Self.Incarnation = update.GetIncarnation() + 1
	d.table.changed = true
	d.broadcasts.add(d.selfUpdate())
}

// handleOwnPause drops probes in progress and extends suspicions after this
// process was paused, since the missing answers say nothing about its peers.
func (d *Detector) handleOwnPause(now time.Time) {
	gap := now.Sub(d.lastTick)
	if gap < pausePeriods*d.Config.ProbePeriod {
		return
	}
	d.probe = nil
	clear(d.relayedPings)
	d.adjustHealthScore(pausePeriods)
	d.nextProbe = now
	for _, r := range d.table.records {
		if r.suspicion != nil {
			r.suspicion.started = r.suspicion.started.Add(gap)
		}
	}
}

func (d *Detector) tickSuspicions(now time.Time) {
	if now.Before(d.nextSuspicionCheck) {
		return
	}
	d.nextSuspicionCheck = now.Add(d.Config.ProbePeriod / 4)
	for _, id := range d.table.ids() {
		r := d.table.records[id]
		switch {
		case r.State == StateSuspect && r.suspicion != nil && now.After(r.suspicion.deadline()):
			d.table.setState(r, StateUnreachable, now)
			d.broadcasts.add(r.toUpdate())
		case r.State == StateUnreachable && r.Leaving,
			r.State == StateUnreachable && !r.Listed && now.Sub(r.Since) > d.Config.GoneAfter && d.regionReachable(r.Node.Region):
			d.table.setState(r, StateGone, now)
			d.broadcasts.add(r.toUpdate())
		case r.State == StateGone && now.Sub(r.Since) > d.Config.TombstoneRetention:
			delete(d.table.records, id)
			d.table.changed, d.table.sortedIDs = true, nil
		}
	}
}

// regionReachable reports whether some node of region is alive. If none is, the
// region may be partitioned off, so its nodes are not declared gone.
func (d *Detector) regionReachable(region string) bool {
	if region == d.Self.Region {
		return true
	}
	for _, r := range d.table.records {
		if r.Node.Region == region && r.State == StateAlive {
			return true
		}
	}
	return false
}

// takeGossip returns the updates to send in one datagram, limited by its size
// and by the gossip rate.
func (d *Detector) takeGossip() []*memberpb.Update {
	updates := d.broadcasts.take(min(d.Config.GossipBytes, d.gossipBucket.available), d.nodeCount())
	for _, update := range updates {
		d.gossipBucket.available -= proto.Size(update) + fieldOverhead
	}
	return updates
}

func (d *Detector) selfUpdate() *memberpb.Update {
	return &memberpb.Update{Id: d.Self.ID, Incarnation: d.Self.Incarnation, Leaving: d.leaving, Node: wireNode(d.Self)}
}

func (d *Detector) newMessage(kind memberpb.Kind) *memberpb.Message {
	return &memberpb.Message{From: d.Self.ID, Kind: kind}
}

func (d *Detector) adjustHealthScore(change int) {
	d.healthScore = min(maxHealthScore, max(0, d.healthScore+change))
}

func (d *Detector) nodeCount() int { return len(d.table.records) + 1 }

func (d *Detector) jitter(limit time.Duration) time.Duration {
	return time.Duration(d.Random.Int64N(int64(limit)))
}
