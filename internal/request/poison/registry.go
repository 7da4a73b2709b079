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
	// reconcileEvery is how often a node compares its records with one peer.
	reconcileEvery = 3 * time.Second
	// reportPeers is the number of nodes that hear of a crash at once, beside
	// the nodes that gate its contents. The others learn it by reconciling.
	reportPeers   = 32
	reportTimeout = 300 * time.Millisecond
	// gateReportTimeout bounds the report to a node that gates the contents.
	// Until it has heard of the crash it would let the content run again.
	gateReportTimeout = 2 * time.Second
	// settleFor is the time from a crash to its report by another node at most,
	// in the ordinary case.
	settleFor = 100 * time.Millisecond
)

var tracer = otel.Tracer("nutmegway/poison")

// Registry is a node's part in finding poison. The fields are set before Run.
type Registry struct {
	Logger  *slog.Logger
	Members member.View
	Pool    *peer.Pool

	gate  gate
	mu    sync.Mutex
	table Table
}

// Verdict returns what may be done with the content as far as this node knows.
func (r *Registry) Verdict(fingerprint uint64) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Verdict(time.Now(), fingerprint)
}

// ReportCrash takes in a crash and tells the nodes that gate the contents, and
// others, before it returns. It gives up on a node that gates a content after
// gateReportTimeout and on others after reportTimeout.
func (r *Registry) ReportCrash(ctx context.Context, incident Incident) {
	if !slices.ContainsFunc(incident.Suspects, func(s Suspect) bool { return !s.Owed }) {
		return
	}
	r.mu.Lock()
	now := time.Now()
	r.table.Crash(now, incident)
	records := make([]Record, 0, len(incident.Suspects))
	quarantined := 0
	fingerprints := make([]uint64, 0, len(incident.Suspects))
	for _, suspect := range incident.Suspects {
		if suspect.Owed {
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

// listener is a node that is told of contents at once.
type listener struct {
	node    member.Node
	timeout time.Duration
}

// audience lists the nodes that are told of contents at once.
func (r *Registry) audience(fingerprints []uint64) []listener {
	nodes, self := r.Members.Nodes(), r.Members.Self().ID
	timeouts := make(map[string]time.Duration, reportPeers)
	for _, i := range rand.Perm(len(nodes))[:min(reportPeers, len(nodes))] {
		timeouts[nodes[i].ID] = reportTimeout
	}
	for _, fingerprint := range fingerprints {
		if gates := gatekeepers(fingerprint, nodes); len(gates) > 0 {
			timeouts[gates[0]] = gateReportTimeout
		}
	}
	var audience []listener
	for _, node := range nodes {
		if timeout, ok := timeouts[node.ID]; ok && node.ID != self {
			audience = append(audience, listener{node: node, timeout: timeout})
		}
	}
	return audience
}

// report tells the nodes that gate the contents, and others, what is known of
// them.
func (r *Registry) report(ctx context.Context, fingerprints []uint64, records []Record) {
	ctx = context.WithoutCancel(ctx)
	request := &poisonpb.ReportRequest{Records: encode(records)}
	var group errgroup.Group
	for _, to := range r.audience(fingerprints) {
		group.Go(func() error {
			if err := r.tell(ctx, to, request); err != nil {
				r.Logger.Info("crash not reported", slog.String("node", to.node.ID), slog.String("error", err.Error()))
			}
			return nil
		})
	}
	_ = group.Wait() // The functions report their own errors.
}

func (r *Registry) tell(ctx context.Context, to listener, request *poisonpb.ReportRequest) error {
	ctx, cancel := context.WithTimeout(ctx, to.timeout)
	defer cancel()
	client, err := r.client(to.node)
	if err != nil {
		return err
	}
	_, err = client.Report(ctx, request)
	return err
}

// Pass is the permission to run content. Release must be called.
type Pass struct {
	// Alone content must run without others on its server.
	Alone bool
	// Held is true when this is the only permission for the content in the fleet.
	Held bool

	fingerprint uint64
	leave       func()
	registry    *Registry
}

// Release gives the permission back. Finished says that the content has run to
// its end, which clears it.
func (p *Pass) Release(ctx context.Context, finished bool) {
	if !p.Held {
		return
	}
	if finished {
		p.registry.cleared(ctx, p.fingerprint)
	}
	p.leave()
}

// Admit returns the permission to run the content: at once for content without
// doubt, else as soon as no other node runs it. Quarantined content is refused.
func (r *Registry) Admit(ctx context.Context, fingerprint uint64) (*Pass, error) {
	switch r.Verdict(fingerprint) {
	case Clear:
		return &Pass{}, nil
	case Quarantined:
		_, _, until := r.lookup(fingerprint)
		return nil, refusal(until)
	default:
		return r.hold(ctx, fingerprint)
	}
}

func refusal(until time.Time) error {
	return kind.New(kind.Quarantined, "requests with this content crashed backend servers; it is refused until %s",
		until.UTC().Format(time.RFC3339)).WithRan(kind.RanNo).WithRetryAfter(max(time.Second, time.Until(until)))
}

// hold asks the node that gates the content; one that can't be reached is
// replaced by the next in rank.
func (r *Registry) hold(ctx context.Context, fingerprint uint64) (*Pass, error) {
	ctx, span := tracer.Start(ctx, "poison.hold")
	defer span.End()
	nodes := r.Members.Nodes()
	byID := make(map[string]member.Node, len(nodes))
	for _, node := range nodes {
		byID[node.ID] = node
	}
	self := r.Members.Self().ID
	for _, id := range gatekeepers(fingerprint, nodes) {
		if id == self {
			return r.holdHere(ctx, fingerprint)
		}
		pass, err := r.holdAt(ctx, byID[id], fingerprint)
		if err == nil || ctx.Err() != nil || kind.Of(err).Kind != kind.Unavailable {
			return pass, err
		}
	}
	return nil, kind.New(kind.Unavailable, "no entry host can admit doubtful content")
}

func gatekeepers(fingerprint uint64, nodes []member.Node) []string {
	ids := make([]string, len(nodes))
	for i, node := range nodes {
		ids[i] = node.ID
	}
	return rendezvous.Rank(strconv.FormatUint(fingerprint, 16), ids)
}

// holdHere waits at this node's gate. Content that ran to its end since needs no
// turn; content of which this node knows nothing was found doubtful by the one
// that asks, so it does.
func (r *Registry) holdHere(ctx context.Context, fingerprint uint64) (*Pass, error) {
	leave, err := r.gate.enter(ctx, fingerprint)
	if err != nil {
		return nil, err
	}
	if err := r.settle(ctx, fingerprint); err != nil {
		leave()
		return nil, err
	}
	pass := &Pass{Held: true, fingerprint: fingerprint, leave: leave, registry: r}
	switch verdict, known, until := r.lookup(fingerprint); {
	case verdict == Quarantined:
		leave()
		return nil, refusal(until)
	case verdict == Clear && known:
		leave()
		pass.leave = func() {}
	case verdict == Alone:
		pass.Alone = true
	}
	return pass, nil
}

// settle waits until the last crash of the content is a moment ago: copies that
// were on other servers at that time have crashed them by then, or have not.
func (r *Registry) settle(ctx context.Context, fingerprint uint64) error {
	r.mu.Lock()
	record, known := r.table.records[fingerprint]
	r.mu.Unlock()
	last := record.lastCrash()
	// The clock of the node that saw the crash may be off. A node that hasn't
	// heard of the crash yet takes it to have just happened.
	left := min(settleFor, time.Until(last.Add(settleFor)))
	if !known {
		left = settleFor
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

func (r *Registry) holdAt(ctx context.Context, node member.Node, fingerprint uint64) (*Pass, error) {
	client, err := r.client(node)
	if err != nil {
		return nil, kind.Wrap(kind.Unavailable, err)
	}
	held, cancel := context.WithCancel(ctx)
	stream, err := client.Hold(held, &poisonpb.HoldRequest{Fingerprint: fingerprint})
	if err == nil {
		var reply *poisonpb.HoldReply
		if reply, err = stream.Recv(); err == nil {
			return r.granted(reply, fingerprint, cancel)
		}
	}
	cancel()
	if ctx.Err() != nil {
		return nil, kind.Of(ctx.Err()).WithRan(kind.RanNo)
	}
	return nil, kind.Wrap(kind.Unavailable, err)
}

func (r *Registry) granted(reply *poisonpb.HoldReply, fingerprint uint64, cancel context.CancelFunc) (*Pass, error) {
	if reply.GetQuarantined() {
		cancel()
		return nil, refusal(time.Unix(0, reply.GetQuarantinedUntilUnixNano()))
	}
	alone := reply.GetAlone() || r.Verdict(fingerprint) == Alone
	return &Pass{Alone: alone, Held: true, fingerprint: fingerprint, leave: cancel, registry: r}, nil
}

// cleared tells the other nodes that doubtful content ran to its end.
func (r *Registry) cleared(ctx context.Context, fingerprint uint64) {
	r.mu.Lock()
	r.table.Ran(time.Now(), fingerprint)
	record, ok := r.table.records[fingerprint]
	r.mu.Unlock()
	if ok {
		r.report(ctx, []uint64{fingerprint}, []Record{record})
	}
}

func (r *Registry) client(node member.Node) (poisonpb.PoisonClient, error) {
	conn, err := r.Pool.Conn(node.PeerAddress)
	if err != nil {
		return nil, err
	}
	return poisonpb.NewPoisonClient(conn), nil
}

// Hold is Admit for content that another node found doubtful: it asks the node
// that gates the content, whatever this one knows.
func (r *Registry) Hold(ctx context.Context, fingerprint uint64) (*Pass, error) {
	if r.Verdict(fingerprint) == Quarantined {
		return r.Admit(ctx, fingerprint)
	}
	return r.hold(ctx, fingerprint)
}
