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
	drainEvery = 20 * time.Millisecond
	// pollEvery is the time between polls of engines that are down, to use them
	// soon after they come back. Of pollLoadEvery polls one asks all engines for
	// their load, and of pollAllEvery one also for their state and cache events.
	pollEvery     = 250 * time.Millisecond
	pollLoadEvery = 8
	pollAllEvery  = 24
	pollsAtOnce   = 16
)

var (
	meter  = otel.Meter("nutmegway/owner")
	tracer = otel.Tracer("nutmegway/owner")
)

// Suspects is what an owner needs of the search for poison.
type Suspects interface {
	// Crashed takes in a crash and tells the other nodes before it returns.
	Crashed(ctx context.Context, incident poison.Incident)
	// Verdict returns what may be done with the content.
	Verdict(fingerprint uint64) poison.Verdict
}

// Owner holds the queues of this node's engines. The fields are set before Run.
type Owner struct {
	Documents document.View
	// Engine returns the client for the engine at an address.
	Engine  func(address string) engine.Engine
	Logger  *slog.Logger
	Members member.View
	Poison  Suspects
	Servers server.View

	attempts metric.Int64Counter
	group    errgroup.Group
	once     sync.Once
	wait     metric.Float64Histogram

	mu      sync.Mutex
	workers map[string]*worker
}

func (o *Owner) instruments() {
	o.once.Do(func() {
		// Errors of instruments go to OpenTelemetry's own handler.
		o.attempts, _ = meter.Int64Counter("nutmegway.owner.attempts",
			metric.WithDescription("Attempts by service, class and outcome."))
		o.wait, _ = meter.Float64Histogram("nutmegway.owner.wait", metric.WithUnit("s"),
			metric.WithDescription("Time that attempts wait for their slot."))
	})
}

// Start queues the attempt, waits for its turn and for the first chunk. An error
// carries a kind and whether the attempt ran.
func (o *Owner) Start(ctx context.Context, a Attempt) (Running, error) {
	o.instruments()
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

func (o *Owner) start(ctx context.Context, a Attempt) (*run, error) {
	s, ok := o.Servers.Server(a.Server)
	if !ok || s.Leaving {
		o.settle(ctx, a.Server)
		return nil, kind.New(kind.Unavailable, "backend server %q takes no requests", a.Server).WithRan(kind.RanNo)
	}
	a.Alone = a.Alone || (a.Held && o.verdict(a) == poison.Alone)
	if err := o.checkContent(a); err != nil {
		return nil, err
	}
	w := o.worker(s)
	queued := time.Now()
	slot, err := w.acquire(ctx, a)
	if err != nil {
		return nil, err
	}
	o.wait.Record(ctx, time.Since(queued).Seconds(), metric.WithAttributes(attribute.String("class", string(a.Call.Class))))
	if err := o.checkContent(a); err != nil { // A crash may have come while it waited.
		w.release(slot, admission.Outcome{Failed: true})
		return nil, err
	}
	return begin(ctx, w, slot, a)
}

// settle waits until it is known whether the server's engine crashed, if that is
// being looked into: the sender then hears of the contents to blame before it
// goes elsewhere.
func (o *Owner) settle(ctx context.Context, id string) {
	o.mu.Lock()
	w, ok := o.workers[id]
	o.mu.Unlock()
	if ok {
		w.settle(ctx)
	}
}

// checkContent refuses content that this node knows to be worse than the sender
// did when it got the permission to run it.
func (o *Owner) checkContent(a Attempt) error {
	if a.Call.Class.PoisonExempt() {
		return nil
	}
	verdict := o.verdict(a)
	switch {
	case verdict == poison.Quarantined:
		return kind.New(kind.Quarantined, "requests with this content crashed backend servers").WithRan(kind.RanNo)
	case verdict == poison.Doubtful && !a.Held, verdict == poison.Alone && !a.Alone:
		return kind.New(kind.DoubtfulContent, "the content must be admitted by its gate").WithRan(kind.RanNo)
	default:
		return nil
	}
}

func (o *Owner) verdict(a Attempt) poison.Verdict {
	return o.Poison.Verdict(a.Fingerprint)
}

// worker returns the worker of s. A server that came back under another address
// gets a new one.
func (o *Owner) worker(s server.Server) *worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.workers[s.ID]
	if ok && w.server.Address == s.Address {
		return w
	}
	if o.workers == nil {
		o.workers = make(map[string]*worker)
	}
	w = newWorker(o, s)
	o.workers[s.ID] = w
	return w
}

// summaries describes the queues of the servers that this node knows queues of.
func (o *Owner) summaries(ids []string) []Summary {
	var list []Summary
	for _, id := range ids {
		o.mu.Lock()
		w, ok := o.workers[id]
		o.mu.Unlock()
		if ok {
			list = append(list, w.summary())
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

// Run polls the engines whose queues this node owns until ctx ends. Attempts
// that run then go on to their end.
func (o *Owner) Run(ctx context.Context) error {
	o.instruments()
	ticker := time.NewTicker(pollEvery)
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

// Drain waits until no attempt waits or runs, or ctx ends. Other nodes send no
// new ones to a node that has left the members.
func (o *Owner) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainEvery)
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
	for _, w := range o.list() {
		if w.busy() {
			return true
		}
	}
	return false
}

func (o *Owner) pollOnce(ctx context.Context, round int) {
	o.adopt()
	part := pollLoad
	if round%pollAllEvery == 0 {
		part = pollAll
	}
	var group errgroup.Group
	group.SetLimit(pollsAtOnce)
	for _, w := range o.list() {
		if round%pollLoadEvery != 0 && !w.isDown() {
			continue
		}
		group.Go(func() error {
			w.poll(ctx, part)
			return nil
		})
	}
	_ = group.Wait() // The functions report no errors.
}

// adopt makes workers for the engines that this node owns now and drops those
// that nobody used for a while.
func (o *Owner) adopt() {
	nodes, self, now := o.Members.Nodes(), o.Members.Self().ID, time.Now()
	owned := make(map[string]bool)
	for _, accepted := range o.Documents.Documents() {
		if accepted.Document.Service.Kind != document.KindModelEngine {
			continue
		}
		for _, s := range o.Servers.Servers(accepted.Document.Service.Name) {
			if node, ok := Of(s, nodes); ok && node.ID == self {
				owned[s.ID] = true
				o.worker(s)
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, w := range o.workers {
		if !owned[id] && w.idle(now) {
			delete(o.workers, id)
		}
	}
}

func (o *Owner) list() []*worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*worker, 0, len(o.workers))
	for _, w := range o.workers {
		list = append(list, w)
	}
	return list
}
