package poison

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/request/poison/poisonpb"
)

const (
	// reconcileInterval is the time between two comparisons of a node's records with
	// those of a random peer.
	reconcileInterval = 3 * time.Second
	// maxReportPeers bounds the random peers that get a report at once, in addition to
	// the coordinators of its contents. The other nodes get the records by
	// reconciliation.
	maxReportPeers = 32
	reportTimeout  = 300 * time.Millisecond
	// coordinatorReportTimeout bounds the report to a coordinator. It is longer than
	// reportTimeout because a coordinator that has no report of the crash may let the
	// content run again.
	coordinatorReportTimeout = 2 * time.Second
	// reportDelay is the longest time that the report of a crash usually takes to
	// arrive from another node.
	reportDelay = 100 * time.Millisecond
)

var tracer = otel.Tracer("nutmegway/poison")

// Registry shares the records of contents between nodes by calls to its peers. For each
// content one node is the coordinator: the first of the reachable ones by rendezvous
// hashing. The coordinator grants the lock that lets suspected content run once at a time
// in the whole fleet. The fields are set before Run.
type Registry struct {
	Logger  *slog.Logger
	Members member.View
	Pool    *peer.Pool

	locks lockTable
	mu    sync.Mutex
	table Table
}

// Verdict returns how the content may be run, by the records of this node.
func (r *Registry) Verdict(fingerprint uint64) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Verdict(time.Now(), fingerprint)
}

// ReportCrash records a crash and reports it to the coordinators of its contents and to
// random peers before it returns. It waits for each coordinator at most
// coordinatorReportTimeout, and for other peers at most reportTimeout.
func (r *Registry) ReportCrash(ctx context.Context, incident Incident) {
	if !slices.ContainsFunc(incident.Suspects, func(s Suspect) bool { return !s.Exempt }) {
		return
	}
	r.mu.Lock()
	now := time.Now()
	r.table.AddIncident(now, incident)
	records := make([]Record, 0, len(incident.Suspects))
	quarantined := 0
	fingerprints := make([]uint64, 0, len(incident.Suspects))
	for _, suspect := range incident.Suspects {
		if suspect.Exempt {
			continue
		}
		fingerprints = append(fingerprints, suspect.Fingerprint)
		records = append(records, r.table.records[suspect.Fingerprint])
		if r.table.Verdict(now, suspect.Fingerprint) == Quarantined {
			quarantined++
		}
	}
	r.mu.Unlock()
	r.Logger.Warn("backend server crashed", slog.Int("in-flight", len(records)), slog.Int("quarantined", quarantined))
	r.report(ctx, fingerprints, records)
}

// reportTarget is a node to which records are reported at once.
type reportTarget struct {
	node    member.Node
	timeout time.Duration
}

// reportTargets returns the coordinators of the contents and random peers.
func (r *Registry) reportTargets(fingerprints []uint64) []reportTarget {
	nodes, self := r.Members.Nodes(), r.Members.Self().ID
	timeouts := make(map[string]time.Duration, maxReportPeers)
	for _, i := range rand.Perm(len(nodes))[:min(maxReportPeers, len(nodes))] {
		timeouts[nodes[i].ID] = reportTimeout
	}
	for _, fingerprint := range fingerprints {
		if ranked := coordinators(fingerprint, nodes); len(ranked) > 0 {
			timeouts[ranked[0]] = coordinatorReportTimeout
		}
	}
	var targets []reportTarget
	for _, node := range nodes {
		if timeout, ok := timeouts[node.ID]; ok && node.ID != self {
			targets = append(targets, reportTarget{node: node, timeout: timeout})
		}
	}
	return targets
}

// report sends the records of the contents to their coordinators and to random peers.
func (r *Registry) report(ctx context.Context, fingerprints []uint64, records []Record) {
	ctx = context.WithoutCancel(ctx)
	request := &poisonpb.ReportRequest{Records: encode(records)}
	var group errgroup.Group
	for _, to := range r.reportTargets(fingerprints) {
		group.Go(func() error {
			if err := r.sendReport(ctx, to, request); err != nil {
				r.Logger.Info("report of content records to a peer failed", slog.String("node", to.node.ID), slog.String("error", err.Error()))
			}
			return nil
		})
	}
	_ = group.Wait() // The functions log their own errors.
}

func (r *Registry) sendReport(ctx context.Context, to reportTarget, request *poisonpb.ReportRequest) error {
	ctx, cancel := context.WithTimeout(ctx, to.timeout)
	defer cancel()
	client, err := r.peerClient(to.node)
	if err != nil {
		return err
	}
	_, err = client.Report(ctx, request)
	return err
}

// Permit is the permission to run content. Its holder must call Release.
type Permit struct {
	// Isolated is true when the content must run without others on its server.
	Isolated bool
	// Exclusive is true when the permit was granted by the content's coordinator, which
	// grants one at a time in the fleet.
	Exclusive bool

	fingerprint uint64
	unlock      func()
	registry    *Registry
}

// Release gives up the permit. If finished is true, the content has run to completion,
// which clears it. Release does nothing for a permit that is not Exclusive.
func (p *Permit) Release(ctx context.Context, finished bool) {
	if !p.Exclusive {
		return
	}
	if finished {
		p.registry.reportCompleted(ctx, p.fingerprint)
	}
	p.unlock()
}

// Admit returns a permit to run the content. Clear content gets it at once, suspected
// content as soon as no other permit for it is held in the fleet. Quarantined content is
// refused.
func (r *Registry) Admit(ctx context.Context, fingerprint uint64) (*Permit, error) {
	switch r.Verdict(fingerprint) {
	case Clear:
		return &Permit{}, nil
	case Quarantined:
		_, _, until := r.lookup(fingerprint)
		return nil, quarantinedError(until)
	default:
		return r.lock(ctx, fingerprint)
	}
}

func quarantinedError(until time.Time) error {
	return kind.New(kind.Quarantined, "requests with this content crashed backend servers and are refused until %s",
		until.UTC().Format(time.RFC3339)).WithRan(kind.RanNo).WithRetryAfter(max(time.Second, time.Until(until)))
}

// lock acquires the fleet-wide lock of the content from its coordinator, or from the
// next node in rank if that one can't be reached.
func (r *Registry) lock(ctx context.Context, fingerprint uint64) (*Permit, error) {
	ctx, span := tracer.Start(ctx, "poison.hold")
	defer span.End()
	nodes := r.Members.Nodes()
	byID := make(map[string]member.Node, len(nodes))
	for _, node := range nodes {
		byID[node.ID] = node
	}
	self := r.Members.Self().ID
	for _, id := range coordinators(fingerprint, nodes) {
		if id == self {
			return r.lockHere(ctx, fingerprint)
		}
		permit, err := r.lockAt(ctx, byID[id], fingerprint)
		if err == nil || ctx.Err() != nil || kind.Of(err).Kind != kind.Unavailable {
			return permit, err
		}
	}
	return nil, kind.New(kind.Unavailable, "none of %d entry hosts can admit requests with doubtful content", len(nodes))
}

// coordinators returns the ids of the nodes in the order in which they coordinate the
// content.
func coordinators(fingerprint uint64, nodes []member.Node) []string {
	ids := make([]string, len(nodes))
	for i, node := range nodes {
		ids[i] = node.ID
	}
	return rendezvous.Rank(strconv.FormatUint(fingerprint, 16), ids)
}

// lockHere acquires the lock of the content from this node. If the content has run to
// completion in the meantime, it returns a permit but releases the lock at once. If this
// node has no record of the content, it keeps the lock, because the requesting node has
// found the content doubtful.
func (r *Registry) lockHere(ctx context.Context, fingerprint uint64) (*Permit, error) {
	unlock, err := r.locks.acquire(ctx, fingerprint)
	if err != nil {
		return nil, err
	}
	if err := r.awaitReports(ctx, fingerprint); err != nil {
		unlock()
		return nil, err
	}
	permit := &Permit{Exclusive: true, fingerprint: fingerprint, unlock: unlock, registry: r}
	switch verdict, known, until := r.lookup(fingerprint); {
	case verdict == Quarantined:
		unlock()
		return nil, quarantinedError(until)
	case verdict == Clear && known:
		unlock()
		permit.unlock = func() {}
	case verdict == Isolated:
		permit.Isolated = true
	}
	return permit, nil
}

// awaitReports waits until reportDelay after the last crash of the content. By then this
// node knows of the crashes of other servers that ran the content at the same time.
func (r *Registry) awaitReports(ctx context.Context, fingerprint uint64) error {
	r.mu.Lock()
	record, known := r.table.records[fingerprint]
	r.mu.Unlock()
	last := record.lastCrash()
	// The clock of the node that detected the crash may be ahead, hence the upper bound.
	// If the report of the crash hasn't arrived yet, the crash is assumed to have just
	// happened.
	left := min(reportDelay, time.Until(last.Add(reportDelay)))
	if !known {
		left = reportDelay
	}
	if left <= 0 || record.ClearedAt.After(last) {
		return nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return kind.Of(ctx.Err()).WithRan(kind.RanNo)
	}
}

func (r *Registry) lookup(fingerprint uint64) (verdict Verdict, known bool, quarantinedUntil time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, known := r.table.records[fingerprint]
	return r.table.Verdict(time.Now(), fingerprint), known, record.QuarantinedUntil
}

// lockAt acquires the lock of the content from another node, which holds it until the
// stream of the call ends.
func (r *Registry) lockAt(ctx context.Context, node member.Node, fingerprint uint64) (*Permit, error) {
	client, err := r.peerClient(node)
	if err != nil {
		return nil, kind.Wrap(kind.Unavailable, err)
	}
	streamCtx, cancel := context.WithCancel(ctx)
	stream, err := client.Hold(streamCtx, &poisonpb.HoldRequest{Fingerprint: fingerprint})
	if err == nil {
		var reply *poisonpb.HoldReply
		if reply, err = stream.Recv(); err == nil {
			return r.permitOf(reply, fingerprint, cancel)
		}
	}
	cancel()
	if ctx.Err() != nil {
		return nil, kind.Of(ctx.Err()).WithRan(kind.RanNo)
	}
	return nil, kind.Wrap(kind.Unavailable, err)
}

// permitOf returns the permit that a reply grants. Its release cancels the stream.
func (r *Registry) permitOf(reply *poisonpb.HoldReply, fingerprint uint64, cancel context.CancelFunc) (*Permit, error) {
	if reply.GetQuarantined() {
		cancel()
		return nil, quarantinedError(time.Unix(0, reply.GetQuarantinedUntilUnixNano()))
	}
	isolated := reply.GetAlone() || r.Verdict(fingerprint) == Isolated
	return &Permit{Isolated: isolated, Exclusive: true, fingerprint: fingerprint, unlock: cancel, registry: r}, nil
}

// reportCompleted records and reports that doubtful content has run to completion.
func (r *Registry) reportCompleted(ctx context.Context, fingerprint uint64) {
	r.mu.Lock()
	r.table.MarkCompleted(time.Now(), fingerprint)
	record, ok := r.table.records[fingerprint]
	r.mu.Unlock()
	if ok {
		r.report(ctx, []uint64{fingerprint}, []Record{record})
	}
}

func (r *Registry) peerClient(node member.Node) (poisonpb.PoisonClient, error) {
	conn, err := r.Pool.Conn(node.PeerAddress)
	if err != nil {
		return nil, err
	}
	return poisonpb.NewPoisonClient(conn), nil
}

// AdmitSuspect is like Admit, but for content that another node has found doubtful: it
// acquires the lock from the content's coordinator even if this node has no record of a
// crash.
func (r *Registry) AdmitSuspect(ctx context.Context, fingerprint uint64) (*Permit, error) {
	if r.Verdict(fingerprint) == Quarantined {
		return r.Admit(ctx, fingerprint)
	}
	return r.lock(ctx, fingerprint)
}
