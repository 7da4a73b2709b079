// Package route dispatches calls from an entry host to model engines. It selects
// an engine, sends the call to the owner of the engine's queue, and fails over to
// another engine, so that the caller receives one uninterrupted answer.
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

// Queues starts attempts at the queue owners of their engines.
type Queues interface {
	// Start runs the attempt at the queue owner of its server.
	Start(ctx context.Context, a owner.Attempt) (owner.AttemptStream, error)
	// Summaries returns the summaries of the servers' queues, without those whose
	// owners do not answer.
	Summaries(ctx context.Context, servers []server.Server) []owner.Summary
}

// Gate controls the admission of content that may crash its server.
type Gate interface {
	// Admit returns the permission to run the content.
	Admit(ctx context.Context, fingerprint uint64) (*poison.Permit, error)
	// AdmitSuspect is like Admit, for content that another node has reported as suspect.
	// This node may not have a record of it.
	AdmitSuspect(ctx context.Context, fingerprint uint64) (*poison.Permit, error)
}

// budgetKey identifies a retry budget.
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
	services map[string]*serviceState
}

var _ dispatch.Dispatcher = &Dispatcher{}

// Dispatch runs the call and returns once its first chunk has arrived.
func (d *Dispatcher) Dispatch(ctx context.Context, call dispatch.Call) (dispatch.Stream, error) {
	ctx, span := tracer.Start(ctx, "dispatch", trace.WithAttributes(
		attribute.String("request-id", call.Request.ID),
		attribute.String("service", call.Service)))
	normalized := poison.Normalize(call.Request.Prompt)
	s := &stream{
		blocks: engine.PrefixBlocks(call.Request.Prompt), call: call, dispatcher: d,
		document:    d.document(call.Service),
		fingerprint: poison.PromptFingerprint(call.Request.Model, normalized),
		state:       d.serviceState(call.Service), permit: &poison.Permit{}, span: span,
	}
	s.affinityKey = s.fingerprint
	if blocks := engine.PrefixBlocks(normalized); len(blocks) > 0 {
		s.affinityKey = affinity.Key(blocks)
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if !call.Deadline.IsZero() {
		s.ctx, s.cancel = context.WithDeadline(ctx, call.Deadline)
	}
	s.state.callStarted(time.Now(), s.fingerprint)
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

func (d *Dispatcher) serviceState(service string) *serviceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.services[service]
	if !ok {
		if d.services == nil {
			d.services = make(map[string]*serviceState)
		}
		state = newServiceState(service)
		d.services[service] = state
	}
	return state
}

const (
	refreshInterval = 500 * time.Millisecond
	// maxRefreshServers bounds the servers of a service whose summaries a node
	// refreshes at once. A refresh sends about 200 bytes to each queue owner of these
	// servers, and each server may have a different one.
	maxRefreshServers = 4
)

// Run refreshes the summaries of the servers in use until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
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
	states := make([]*serviceState, 0, len(d.services))
	for _, state := range d.services {
		states = append(states, state)
	}
	d.mu.Unlock()
	for _, state := range states {
		stale := state.staleServers(now, d.Servers.Servers(state.service))
		if len(stale) == 0 {
			continue
		}
		for _, summary := range d.Queues.Summaries(ctx, stale) {
			state.updateSummary(summary)
		}
	}
}

// notRetryable reports whether a retry after an error of kind k is of no use.
func notRetryable(k kind.Kind) bool {
	switch k {
	case kind.BadRequest, kind.Forbidden, kind.HeaderTooLarge, kind.NotFound, kind.Quarantined, kind.TooLarge, kind.Unauthorized:
		return true
	default:
		return false
	}
}
