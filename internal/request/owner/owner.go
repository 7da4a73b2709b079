package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// pollInterval is the time between poll rounds. Engines that are down are
	// polled in every round, so that they are used soon after they come back. All
	// engines are polled for their load every loadPollRounds rounds, and also for
	// their state and cache events every fullPollRounds rounds.
	pollInterval       = 250 * time.Millisecond
	loadPollRounds     = 8
	fullPollRounds     = 24
	maxConcurrentPolls = 16
)

var (
	meter  = otel.Meter("nutmegway/owner")
	tracer = otel.Tracer("nutmegway/owner")
)

// PoisonTracker tracks content that is suspected of crashing engines.
type PoisonTracker interface {
	// ReportCrash records a crash and reports it to the other nodes before it
	// returns.
	ReportCrash(ctx context.Context, incident poison.Incident)
	// Verdict returns how content with the fingerprint may be run.
	Verdict(fingerprint uint64) poison.Verdict
}

// Owner keeps the queues of the engines that this node owns. The exported fields
// must be set before Run is called.
type Owner struct {
	Documents document.View
	// Engine returns the client for the engine at an address.
	Engine  func(address string) engine.Engine
	Logger  *slog.Logger
	Members member.View
	Poison  PoisonTracker
	Servers server.View

	attempts      metric.Int64Counter
	cancellations errgroup.Group
	metricsOnce   sync.Once
	waitTime      metric.Float64Histogram

	mu     sync.Mutex
	queues map[string]*engineQueue
}

func (o *Owner) initMetrics() {
	o.metricsOnce.Do(func() {
		// OpenTelemetry reports errors of instruments to its own handler.
		o.attempts, _ = meter.Int64Counter("nutmegway.owner.attempts",
			metric.WithDescription("Attempts by service, class and outcome."))
		o.waitTime, _ = meter.Float64Histogram("nutmegway.owner.wait", metric.WithUnit("s"),
			metric.WithDescription("Time that attempts wait for their slot."))
	})
}

// Start queues the attempt and waits for its slot and then for its first chunk.
// Errors have a kind and say whether the attempt ran.
func (o *Owner) Start(ctx context.Context, a Attempt) (AttemptStream, error) {
	o.initMetrics()
	ctx, span := tracer.Start(ctx, "queue", spanAttributes(a))
	defer span.End()
	running, err := o.start(ctx, a)
	outcome := "started"
	if err != nil {
		outcome = string(kind.Of(err).Kind)
	}
	o.attempts.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", a.Call.Service), attribute.String("class", string(a.Call.Class)),
		attribute.String("outcome", outcome)))
	if err != nil {
		return nil, err
	}
	return running, nil
}

func (o *Owner) start(ctx context.Context, a Attempt) (*localStream, error) {
	s, ok := o.Servers.Server(a.Server)
	if !ok || s.Leaving {
		o.awaitCrashCheck(ctx, a.Server)
		return nil, kind.New(kind.Unavailable, "backend server %q is unknown or leaving", a.Server).WithRan(kind.RanNo)
	}
	a.Isolated = a.Isolated || (a.HoldsPermit && o.verdict(a) == poison.Isolated)
	if err := o.checkContent(a); err != nil {
		return nil, err
	}
	q := o.queue(s)
	queued := time.Now()
	slot, err := q.acquire(ctx, a)
	if err != nil {
		return nil, err
	}
	o.waitTime.Record(ctx, time.Since(queued).Seconds(), metric.WithAttributes(attribute.String("class", string(a.Call.Class))))
	// A crash may have been reported while the attempt was queued.
	if err := o.checkContent(a); err != nil {
		q.release(slot, admission.Outcome{Failed: true})
		return nil, err
	}
	return startLocal(ctx, q, slot, a)
}

// awaitCrashCheck waits for a crash check of the server, if one is in progress,
// so that the suspected content is known before the sender tries another server.
func (o *Owner) awaitCrashCheck(ctx context.Context, id string) {
	o.mu.Lock()
	q, ok := o.queues[id]
	o.mu.Unlock()
	if ok {
		q.awaitCrashCheck(ctx)
	}
}

// checkContent refuses an attempt if the content is quarantined, or if its verdict at
// this node demands a permit or isolation that the attempt does not have.
func (o *Owner) checkContent(a Attempt) error {
	if a.Call.Class.PoisonExempt() {
		return nil
	}
	verdict := o.verdict(a)
	switch {
	case verdict == poison.Quarantined:
		return kind.New(kind.Quarantined, "requests with this content crashed backend servers").WithRan(kind.RanNo)
	case verdict == poison.Doubtful && !a.HoldsPermit, verdict == poison.Isolated && !a.Isolated:
		return kind.New(kind.DoubtfulContent, "the content is suspected of crashing backend servers and needs a permit to run").WithRan(kind.RanNo)
	default:
		return nil
	}
}

func (o *Owner) verdict(a Attempt) poison.Verdict {
	return o.Poison.Verdict(a.Fingerprint)
}

// queue returns the queue of s. A server that returns with another address gets a
// new queue.
func (o *Owner) queue(s server.Server) *engineQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.queues[s.ID]
	if ok && q.server.Address == s.Address {
		return q
	}
	if o.queues == nil {
		o.queues = make(map[string]*engineQueue)
	}
	q = newEngineQueue(o, s)
	o.queues[s.ID] = q
	return q
}

// summaries describes the queues of the servers, leaving out those without a
// queue on this node.
func (o *Owner) summaries(ids []string) []Summary {
	var list []Summary
	for _, id := range ids {
		o.mu.Lock()
		q, ok := o.queues[id]
		o.mu.Unlock()
		if ok {
			list = append(list, q.summary())
		}
	}
	return list
}

func (o *Owner) settings(service string) admission.Settings {
	accepted, ok := o.Documents.Document(service)
	if !ok {
		return admission.Settings{}
	}
	d := accepted.Document
	return admission.Settings{
		QueueLimit: d.Admission.QueueLimit, RolloutFloor: d.Admission.RolloutFloor,
		Shares: d.Shares, SlotLimit: d.Admission.SlotLimit,
	}
}

func (o *Owner) poisonLimits(service string) document.Poison {
	accepted, _ := o.Documents.Document(service)
	return accepted.Document.Poison
}

// Run polls the engines whose queues this node owns until ctx is done. Attempts
// that are running by then are not interrupted.
func (o *Owner) Run(ctx context.Context) error {
	o.initMetrics()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		o.pollOnce(ctx, round)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Drain waits until no attempt is queued or running, or until ctx is done. Other
// nodes send no attempts to a node that is no longer a member.
func (o *Owner) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for o.busy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (o *Owner) busy() bool {
	for _, q := range o.allQueues() {
		if q.busy() {
			return true
		}
	}
	return false
}

func (o *Owner) pollOnce(ctx context.Context, round int) {
	o.updateQueues()
	scope := pollLoad
	if round%fullPollRounds == 0 {
		scope = pollAll
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	for _, q := range o.allQueues() {
		if round%loadPollRounds != 0 && !q.isDown() {
			continue
		}
		group.Go(func() error {
			q.poll(ctx, scope)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
}

// updateQueues creates queues for the engines that this node owns and removes idle
// queues of engines that it does not own.
func (o *Owner) updateQueues() {
	nodes, self, now := o.Members.Nodes(), o.Members.Self().ID, time.Now()
	owned := make(map[string]bool)
	for _, accepted := range o.Documents.Documents() {
		if accepted.Document.Service.Kind != document.KindModelEngine {
			continue
		}
		for _, s := range o.Servers.Servers(accepted.Document.Service.Name) {
			if node, ok := QueueOwner(s, nodes); ok && node.ID == self {
				owned[s.ID] = true
				o.queue(s)
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, q := range o.queues {
		if !owned[id] && q.idle(now) {
			delete(o.queues, id)
		}
	}
}

func (o *Owner) allQueues() []*engineQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*engineQueue, 0, len(o.queues))
	for _, q := range o.queues {
		list = append(list, q)
	}
	return list
}
