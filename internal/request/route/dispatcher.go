// Package route takes a call from an entry host to the model engine that runs
// it: it chooses the engine, hands the call to the owner of its queue, and goes
// on with another engine when one fails, so that the caller sees one unbroken
// answer.
package route

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/affinity"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/request/retry"
)

var tracer = otel.Tracer("nutmegway/route")

// Queues starts attempts at the owners of their engines.
type Queues interface {
	Start(ctx context.Context, a owner.Attempt) (owner.Running, error)
	Summaries(ctx context.Context, servers []server.Server) []owner.Summary
}

// Gate admits contents that may be poison.
type Gate interface {
	// Admit returns the permission to run the content.
	Admit(ctx context.Context, fingerprint uint64) (*poison.Permit, error)
	// Hold is Admit for content that another node found doubtful.
	Hold(ctx context.Context, fingerprint uint64) (*poison.Permit, error)
}

// budgetKey is what a retry budget belongs to.
type budgetKey struct {
	service string
	team    string
}

// Dispatcher runs calls on model engines. The fields are set before Run.
type Dispatcher struct {
	Documents document.View
	Gate      Gate
	Logger    *slog.Logger
	Members   member.View
	Queues    Queues
	Servers   server.View

	budgets retry.Budgets[budgetKey]

	mu       sync.Mutex
	services map[string]*knowledge
}

var _ dispatch.Dispatcher = &Dispatcher{}

// Dispatch runs the call and returns once its first chunk is there.
func (d *Dispatcher) Dispatch(ctx context.Context, call dispatch.Call) (dispatch.Stream, error) {
	ctx, span := tracer.Start(ctx, "dispatch", trace.WithAttributes(
		attribute.String("request-id", call.Request.ID),
		attribute.String("service", call.Service)))
	normalized := poison.Normalize(call.Request.Prompt)
	s := &stream{
		blocks: engine.PrefixBlocks(call.Request.Prompt), call: call, dispatcher: d,
		document:    d.document(call.Service),
		fingerprint: poison.PromptFingerprint(call.Request.Model, normalized),
		known:       d.knowledge(call.Service), pass: &poison.Permit{}, span: span,
	}
	s.homeKey = s.fingerprint
	if blocks := engine.PrefixBlocks(normalized); len(blocks) > 0 {
		s.homeKey = affinity.Key(blocks)
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if !call.Deadline.IsZero() {
		s.ctx, s.cancel = context.WithDeadline(ctx, call.Deadline)
	}
	s.known.began(time.Now(), s.fingerprint)
	d.budgets.Deposit(time.Now(), s.budgetKey(), s.document.Retry.Budget)
	if err := s.connect(); err != nil {
		s.end(false)
		return nil, err
	}
	return s, nil
}

func (d *Dispatcher) document(service string) document.Document {
	accepted, _ := d.Documents.Document(service)
	return accepted.Document
}

func (d *Dispatcher) knowledge(service string) *knowledge {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.services[service]
	if !ok {
		if d.services == nil {
			d.services = make(map[string]*knowledge)
		}
		k = newKnowledge(service)
		d.services[service] = k
	}
	return k
}

const (
	refreshEvery = 500 * time.Millisecond
	// refreshAtOnce bounds the servers whose summaries a node asks for at once;
	// each may have another owner and then costs a call of about 200 bytes.
	refreshAtOnce = 4
)

// Run refreshes the summaries of the servers in use until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.refresh(ctx, now)
		}
	}
}

func (d *Dispatcher) refresh(ctx context.Context, now time.Time) {
	d.mu.Lock()
	list := make([]*knowledge, 0, len(d.services))
	for _, k := range d.services {
		list = append(list, k)
	}
	d.mu.Unlock()
	for _, k := range list {
		stale := k.stale(now, d.Servers.Servers(k.service))
		if len(stale) == 0 {
			continue
		}
		for _, summary := range d.Queues.Summaries(ctx, stale) {
			k.learn(summary)
		}
	}
}

// refusedByBackend lists the kinds with which no repeat helps.
func refusedByBackend(k kind.Kind) bool {
	switch k {
	case kind.BadRequest, kind.Forbidden, kind.HeaderTooLarge, kind.NotFound, kind.Quarantined, kind.TooLarge, kind.Unauthorized:
		return true
	default:
		return false
	}
}
