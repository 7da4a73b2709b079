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

// maxHealth is the worst value of the local health multiplier.
const maxHealth = 8

// pauseFactor is the number of probe periods without a tick after which the
// detector takes itself to have been paused.
const pauseFactor = 3

// Datagram is a message to be sent.
type Datagram struct {
	Message *memberpb.Message
	// To is the receiver's peer address.
	To string
}

// Detector decides which nodes are alive. It follows SWIM with the refinements
// of Lifeguard: a local health multiplier, suspicions that shorten with
// confirmations, and a notice to the suspect itself. It does no I/O and is not
// safe for concurrent use. Exported fields are set before Start.
type Detector struct {
	Config Config
	// Random selects peers.
	Random *rand.Rand
	Self   Node

	gossip     allowance
	health     int
	lastTick   time.Time
	leaving    bool
	nextProbe  time.Time
	nextRetry  time.Time
	nextSweep  time.Time
	nextSync   time.Time
	pages      allowance
	order      []string
	probe      *probe
	queue      queue
	relays     map[uint32]relay
	sequence   uint32
	synced     bool
	syncCursor string
	table      *Table
}

// Start makes the detector ready at now and announces this node.
func (d *Detector) Start(now time.Time) {
	d.table = NewTable()
	d.relays = make(map[uint32]relay)
	d.gossip = newAllowance(d.Config.GossipRate, now)
	d.pages = newAllowance(d.Config.PageRate, now)
	d.lastTick = now
	d.nextProbe = now.Add(d.jitter(d.Config.ProbePeriod))
	d.nextRetry = now.Add(d.Config.RetryPeriod)
	d.nextSync = now.Add(d.jitter(d.Config.ProbePeriod))
	d.queue.add(d.selfUpdate())
}

// SetHosts takes over the entry hosts of the host list. It reports whether the
// list says that this node is leaving.
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
		d.table.List(Node{
			AvailabilityZone: host.AvailabilityZone,
			CallerAddress:    host.Address,
			ID:               host.ID,
			PeerAddress:      host.PeerAddress,
			Region:           host.Region,
		}, hostLeaving, now)
	}
	d.table.Unlist(listed)
	return leaving
}

// Leave announces that this node takes no new work.
func (d *Detector) Leave() {
	if d.leaving {
		return
	}
	d.leaving, d.table.changed = true, true
	d.Self.Incarnation++
	d.queue.add(d.selfUpdate())
}

// Farewell returns the datagrams that tell a few peers that this node ends now.
// There are none unless it is leaving.
func (d *Detector) Farewell() []Datagram {
	if !d.leaving {
		return nil
	}
	update := d.selfUpdate()
	update.State = memberpb.State_STATE_GONE
	var datagrams []Datagram
	for _, id := range d.randomPeers(transmitFactor, "") {
		message := d.message(memberpb.Kind_KIND_SYNC_PAGE)
		message.Updates = []*memberpb.Update{update}
		datagrams = append(datagrams, Datagram{Message: message, To: d.table.records[id].Node.PeerAddress})
	}
	return datagrams
}

// Health returns the local health multiplier: zero is good.
func (d *Detector) Health() int { return d.health }

// Nodes returns the nodes believed alive and not leaving, sorted by id.
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

// Peers returns the other nodes believed alive, leaving ones included, sorted by
// id.
func (d *Detector) Peers() []Node {
	var nodes []Node
	for _, id := range d.table.ids() {
		if r := d.table.records[id]; r.State == StateAlive || r.State == StateSuspect {
			nodes = append(nodes, r.Node)
		}
	}
	return nodes
}

// Record returns what is known of the node with the id.
func (d *Detector) Record(id string) (Record, bool) { return d.table.Record(id) }

// Records returns what is known of the other nodes, sorted by id.
func (d *Detector) Records() []Record { return d.table.Records() }

// TakeChanged reports whether the nodes or their states changed since the last
// call.
func (d *Detector) TakeChanged() bool {
	changed := d.table.changed
	d.table.changed = false
	return changed
}

// Tick does what is due at now and returns the datagrams to send.
func (d *Detector) Tick(now time.Time) []Datagram {
	d.absorbPause(now)
	d.lastTick = now
	d.gossip.fill(now)
	d.pages.fill(now)
	var out []Datagram
	out = append(out, d.tickRelays(now)...)
	out = append(out, d.tickProbe(now)...)
	d.tickSuspicions(now)
	out = append(out, d.tickRetry(now)...)
	out = append(out, d.tickSync(now)...)
	return out
}

// Receive handles a message from the address from and returns the answers.
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

// apply merges an update, refutes one about this node, and passes on news.
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
			r.suspicion = newSuspicion(d.Config, d.size(), 0, now)
		}
		changed = r.suspicion.confirm(update.GetAccuser()) || changed
	}
	if changed {
		d.queue.add(update)
	}
}

// refute raises this node's incarnation above a false update about it.
func (d *Detector) refute(update *memberpb.Update) {
	mine := d.Self.Incarnation
	alive := update.GetState() == memberpb.State_STATE_ALIVE
	switch {
	case alive && update.GetIncarnation() <= mine:
		return
	case update.GetIncarnation() < mine:
		// The peer has not heard of this incarnation.
		d.queue.add(d.selfUpdate())
		return
	}
	if update.GetState() == memberpb.State_STATE_SUSPECT {
		d.adjustHealth(1)
	}
	d.Self.Incarnation = update.GetIncarnation() + 1
	d.table.changed = true
	d.queue.add(d.selfUpdate())
}

// absorbPause keeps a node that was itself paused from blaming its peers.
func (d *Detector) absorbPause(now time.Time) {
	gap := now.Sub(d.lastTick)
	if gap < pauseFactor*d.Config.ProbePeriod {
		return
	}
	d.probe = nil
	clear(d.relays)
	d.adjustHealth(pauseFactor)
	d.nextProbe = now
	for _, r := range d.table.records {
		if r.suspicion != nil {
			r.suspicion.started = r.suspicion.started.Add(gap)
		}
	}
}

func (d *Detector) tickSuspicions(now time.Time) {
	if now.Before(d.nextSweep) {
		return
	}
	d.nextSweep = now.Add(d.Config.ProbePeriod / 4)
	for _, id := range d.table.ids() {
		r := d.table.records[id]
		switch {
		case r.State == StateSuspect && r.suspicion != nil && now.After(r.suspicion.deadline()):
			d.table.enter(r, StateUnreachable, now)
			d.queue.add(r.update())
		case r.State == StateUnreachable && r.Leaving,
			r.State == StateUnreachable && !r.Listed && now.Sub(r.Since) > d.Config.GoneAfter && d.regionReachable(r.Node.Region):
			d.table.enter(r, StateGone, now)
			d.queue.add(r.update())
		case r.State == StateGone && now.Sub(r.Since) > d.Config.TombstoneFor:
			delete(d.table.records, id)
			d.table.changed, d.table.sorted = true, nil
		}
	}
}

// regionReachable reports whether some node of region answers. When none does,
// the region may be cut off rather than gone.
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

// takeGossip returns the updates for one datagram within the allowance.
func (d *Detector) takeGossip() []*memberpb.Update {
	updates := d.queue.take(min(d.Config.GossipBytes, d.gossip.left), d.size())
	for _, update := range updates {
		d.gossip.left -= proto.Size(update) + fieldOverhead
	}
	return updates
}

func (d *Detector) selfUpdate() *memberpb.Update {
	return &memberpb.Update{Id: d.Self.ID, Incarnation: d.Self.Incarnation, Leaving: d.leaving, Node: wireNode(d.Self)}
}

func (d *Detector) message(kind memberpb.Kind) *memberpb.Message {
	return &memberpb.Message{From: d.Self.ID, Kind: kind}
}

func (d *Detector) adjustHealth(change int) {
	d.health = min(maxHealth, max(0, d.health+change))
}

func (d *Detector) size() int { return len(d.table.records) + 1 }

func (d *Detector) jitter(limit time.Duration) time.Duration {
	return time.Duration(d.Random.Int64N(int64(limit)))
}
