package member

import (
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

// probe is the direct probe in progress.
type probe struct {
	// peersAsked is the number of peers asked for an indirect probe, and nacks the
	// number of those that reported no answer from the target.
	peersAsked int
	indirect   bool
	nacks      int
	sequence   uint32
	started    time.Time
	target     string
}

// relayedPing is an indirect probe made on behalf of a peer.
type relayedPing struct {
	deadline time.Time
	nacked   bool
	// sequence is the sequence number of the peer's request.
	sequence  uint32
	target    string
	requester string
}

func (d *Detector) tickProbe(now time.Time) []Datagram {
	if d.probe != nil {
		waited := now.Sub(d.probe.started)
		if !d.probe.indirect && waited >= d.scaleByHealth(d.Config.ProbeTimeout) {
			return d.requestIndirectProbes()
		}
		if waited < d.scaleByHealth(d.Config.ProbePeriod) {
			return nil
		}
		d.handleProbeFailure(now)
	}
	if now.Before(d.nextProbe) {
		return nil
	}
	d.nextProbe = now.Add(d.scaleByHealth(d.Config.ProbePeriod))
	target := d.nextProbeTarget()
	if target == nil {
		return nil
	}
	d.sequence++
	d.probe = &probe{sequence: d.sequence, started: now, target: target.Node.ID}
	return []Datagram{d.ping(target, d.sequence)}
}

// scaleByHealth multiplies a duration by the local health multiplier.
func (d *Detector) scaleByHealth(duration time.Duration) time.Duration {
	return duration * time.Duration(d.healthScore+1)
}

// ping returns a probe of the target. If the target is not considered alive, the
// probe carries the recorded state, so that the target can refute it.
func (d *Detector) ping(target *record, sequence uint32) Datagram {
	message := d.newMessage(memberpb.Kind_KIND_PING)
	message.Sequence, message.Target = sequence, target.Node.ID
	message.Updates = d.takeGossip()
	if target.State != StateAlive {
		notice := target.toUpdate()
		notice.Accuser = d.Self.ID
		message.Updates = append(message.Updates, notice)
	}
	return Datagram{Message: message, To: target.Node.PeerAddress}
}

func (d *Detector) requestIndirectProbes() []Datagram {
	d.probe.indirect = true
	target, ok := d.table.records[d.probe.target]
	if !ok {
		return nil
	}
	var out []Datagram
	for _, id := range d.randomPeers(d.Config.IndirectProbes, d.probe.target) {
		message := d.newMessage(memberpb.Kind_KIND_PING_REQUEST)
		message.Sequence, message.Target = d.probe.sequence, d.probe.target
		message.TargetAddress = target.Node.PeerAddress
		out = append(out, Datagram{Message: message, To: d.table.records[id].Node.PeerAddress})
	}
	d.probe.peersAsked = len(out)
	return out
}

// handleProbeFailure marks the target as suspect. If peers sent neither an ack nor a
// nack, this node itself may be slow or cut off, so the local health score worsens by
// one for each of them. It worsens by one if no peer was asked.
func (d *Detector) handleProbeFailure(now time.Time) {
	failed := d.probe
	d.probe = nil
	missingNacks := failed.peersAsked - failed.nacks
	if missingNacks > 0 || failed.peersAsked == 0 {
		d.adjustHealthScore(max(1, missingNacks))
	}
	r, ok := d.table.records[failed.target]
	if !ok || (r.State != StateAlive && r.State != StateSuspect) {
		return
	}
	if r.State == StateAlive {
		d.table.setState(r, StateSuspect, now)
	}
	if r.suspicion == nil {
		r.suspicion = newSuspicion(d.Config, d.nodeCount(), d.healthScore, now)
	}
	r.suspicion.confirm(d.Self.ID)
	update := r.toUpdate()
	update.Accuser = d.Self.ID
	d.broadcasts.add(update)
}

// nextProbeTarget returns the next alive or suspect node. Each round visits all
// nodes in a new random order.
func (d *Detector) nextProbeTarget() *record {
	for range d.table.records {
		if len(d.probeOrder) == 0 {
			d.probeOrder = slices.Clone(d.table.ids())
			d.Random.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
		}
		id := d.probeOrder[0]
		d.probeOrder = d.probeOrder[1:]
		r, ok := d.table.records[id]
		if ok && (r.State == StateAlive || r.State == StateSuspect) {
			return r
		}
	}
	return nil
}

// tickRetry probes one random unreachable node, so that the end of a network
// partition is noticed.
func (d *Detector) tickRetry(now time.Time) []Datagram {
	if now.Before(d.nextRetry) {
		return nil
	}
	d.nextRetry = now.Add(d.Config.RetryPeriod)
	var unreachable []string
	for _, id := range d.table.ids() {
		if d.table.records[id].State == StateUnreachable {
			unreachable = append(unreachable, id)
		}
	}
	if len(unreachable) == 0 {
		return nil
	}
	d.sequence++
	return []Datagram{d.ping(d.table.records[unreachable[d.Random.IntN(len(unreachable))]], d.sequence)}
}

func (d *Detector) tickRelayedPings(now time.Time) []Datagram {
	var out []Datagram
	for sequence, r := range d.relayedPings {
		switch {
		case now.Before(r.deadline):
		case !r.nacked:
			message := d.newMessage(memberpb.Kind_KIND_NACK)
			message.Sequence, message.Target = r.sequence, r.target
			out = append(out, Datagram{Message: message, To: r.requester})
			r.nacked = true
			r.deadline = now.Add(d.Config.ProbePeriod)
			d.relayedPings[sequence] = r
		default:
			delete(d.relayedPings, sequence)
		}
	}
	return out
}

func (d *Detector) receivePing(from string, message *memberpb.Message) []Datagram {
	if message.GetTarget() != d.Self.ID {
		return nil
	}
	ack := d.newMessage(memberpb.Kind_KIND_ACK)
	ack.Sequence, ack.Target = message.GetSequence(), d.Self.ID
	ack.Updates = d.takeGossip()
	if r, ok := d.table.records[message.GetFrom()]; ok && r.State != StateAlive {
		notice := r.toUpdate()
		notice.Accuser = d.Self.ID
		ack.Updates = append(ack.Updates, notice)
	}
	return []Datagram{{Message: ack, To: from}}
}

func (d *Detector) receivePingRequest(now time.Time, from string, message *memberpb.Message) []Datagram {
	d.sequence++
	d.relayedPings[d.sequence] = relayedPing{
		deadline:  now.Add(d.Config.ProbeTimeout),
		sequence:  message.GetSequence(),
		target:    message.GetTarget(),
		requester: from,
	}
	ping := d.newMessage(memberpb.Kind_KIND_PING)
	ping.Sequence, ping.Target = d.sequence, message.GetTarget()
	return []Datagram{{Message: ping, To: message.GetTargetAddress()}}
}

func (d *Detector) receiveAck(message *memberpb.Message) []Datagram {
	if d.probe != nil && d.probe.sequence == message.GetSequence() && d.probe.target == message.GetTarget() {
		d.probe = nil
		d.adjustHealthScore(-1)
		return nil
	}
	r, ok := d.relayedPings[message.GetSequence()]
	if !ok || r.target != message.GetTarget() {
		return nil
	}
	delete(d.relayedPings, message.GetSequence())
	ack := d.newMessage(memberpb.Kind_KIND_ACK)
	ack.Sequence, ack.Target = r.sequence, r.target
	ack.Updates = message.GetUpdates()
	return []Datagram{{Message: ack, To: r.requester}}
}

func (d *Detector) receiveNack(message *memberpb.Message) {
	if d.probe != nil && d.probe.sequence == message.GetSequence() {
		d.probe.nacks++
	}
}

// randomPeers returns the IDs of up to count alive nodes other than except.
func (d *Detector) randomPeers(count int, except string) []string {
	var ids []string
	for _, id := range d.table.ids() {
		if id != except && d.table.records[id].State == StateAlive {
			ids = append(ids, id)
		}
	}
	d.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(count, len(ids))]
}
