// Package failover measures how soon another node takes over a lease whose holder
// crashed or was paused. It also checks that an engine accepts no order of a former
// holder, even if the engine ignores fencing tokens and enforces only the orders'
// deadlines.
package failover

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/fleet/lease"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

const (
	nodes         = 3
	orderInterval = 20 * time.Millisecond
	// orderLimit bounds the time until the deadline of an order. A successor waits this
	// long before its first order, so that all orders of its predecessor have expired.
	orderLimit = time.Second
	// pauseTTLs is the length of a pause as a multiple of the lease's time to live.
	pauseTTLs     = 2
	takeoverLimit = 10 * time.Second
	pollInterval  = 5 * time.Millisecond
	ttl           = 3 * time.Second
)

// Measure is one run, which pauses the lease's holder repeatedly. The fields are
// set before Run.
type Measure struct {
	// Binary is the path of the nutmegway binary. If it is set, the run also starts a
	// deployment of separate processes. It kills and pauses the process that holds the
	// weights lease, which orders the engines to load weight versions.
	Binary string
	// Dir is the directory of the settings files of the processes.
	Dir string
	// Rounds is the number of pauses.
	Rounds int
}

// owner is one node that competes for the lease. While it holds the lease, it owns the
// engine and sends it orders.
type owner struct {
	gate   *gate
	holder *lease.Holder
	run    *run
}

type run struct {
	engine *standinengine.Engine
	owners []*owner

	mu sync.Mutex
	// lastOwner is the owner of the order that the engine accepted last, at lastAt.
	lastOwner  *owner
	lastAt     time.Time
	orderCount int
}

// Run pauses the holder in every round and reports the times to takeover.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	store := &standinetcd.Server{}
	r := &run{engine: &standinengine.Engine{ID: "engine", Model: "model", Logger: slog.New(slog.DiscardHandler)}}
	for _, listen := range []func() error{store.Listen, r.engine.Listen} {
		if err := listen(); err != nil {
			return nil, err
		}
	}
	roundsCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return store.Run(roundsCtx) })
	group.Go(func() error { return r.engine.Run(roundsCtx) })
	client := &etcd.Store{Endpoints: []string{store.Address()}}
	defer func() { _ = client.Close() }()
	for i := range nodes {
		o := &owner{gate: newGate(), run: r}
		o.holder = &lease.Holder{
			ID: fmt.Sprintf("node-%d", i), Logger: slog.New(slog.DiscardHandler), Name: "weights",
			WhileHeld: o.sendOrders, Store: gatedStore{Store: client, gate: o.gate}, TTL: ttl, TakeoverDelay: orderLimit,
		}
		r.owners = append(r.owners, o)
		group.Go(func() error { return o.holder.Run(roundsCtx) })
	}
	times, err := r.rounds(roundsCtx, m.Rounds)
	cancel()
	_ = group.Wait() // All goroutines end when their context is cancelled.
	if err != nil {
		return nil, err
	}
	result := r.report(times)
	if m.Binary == "" {
		return result, nil
	}
	longest, downgrades, err := m.runProduct(ctx, result)
	if err != nil {
		return nil, err
	}
	result.Add("product-takeover-seconds", longest.Seconds())
	result.Add("product-double-orders", downgrades)
	result.Requiref(longest <= takeoverLimit, "the takeover of the weights took up to %s, want at most %s", longest, takeoverLimit)
	result.Requiref(downgrades == 0, "engines loaded an older version after a newer one %d times, want 0", downgrades)
	return result, nil
}

func (r *run) report(times []time.Duration) *report.Report {
	result := &report.Report{Name: "failover", XLabel: "seconds", YLabel: "share of takeovers"}
	var longest time.Duration
	var seconds []float64
	for i, d := range times {
		longest = max(longest, d)
		seconds = append(seconds, d.Seconds())
		result.AddRow(report.Value{Key: "round", Value: i + 1}, report.Value{Key: "takeover-seconds", Value: d.Seconds()})
	}
	accepted, acceptedStale, refused := r.countOrders()
	result.AddRow(
		report.Value{Key: "lease-seconds", Value: ttl.Seconds()},
		report.Value{Key: "orders-accepted", Value: accepted},
		report.Value{Key: "orders-refused-for-their-deadline", Value: refused},
		report.Value{Key: "owners-in-one-process", Value: nodes},
	)
	result.Curves = append(result.Curves, report.Cumulative("takeovers", seconds))
	result.Add("takeover-seconds", longest.Seconds())
	result.Add("double-orders", acceptedStale)
	result.Requiref(longest <= takeoverLimit, "the slowest takeover took %s, want at most %s", longest, takeoverLimit)
	result.Requiref(acceptedStale == 0, "the engine accepted %d orders of a former owner, want 0", acceptedStale)
	result.Requiref(refused > 0, "the engine refused no order of a former owner, so the deadlines were not tested")
	return result
}

// countOrders counts the orders in the engine's own records: those that it accepted from
// the current owner, and those from a former owner that it accepted or refused.
func (r *run) countOrders() (accepted, acceptedStale, refused int) {
	for _, received := range r.engine.GroundTruth().Orders {
		switch {
		case received.Accepted && received.Stale:
			acceptedStale++
		case received.Accepted:
			accepted++
		case received.Stale:
			refused++
		}
	}
	return accepted, acceptedStale, refused
}

// rounds runs count rounds. Each round pauses the owner until its lease has expired,
// waits for a successor and resumes the former owner. rounds returns, for each round, the
// time from the pause until the engine accepted an order of the successor.
func (r *run) rounds(ctx context.Context, count int) ([]time.Duration, error) {
	var times []time.Duration
	var former *owner
	for range count {
		current, err := r.awaitOtherOwner(ctx, former)
		if err != nil {
			return nil, err
		}
		current.gate.close()
		paused := time.Now()
		if _, err := r.awaitOtherOwner(ctx, current); err != nil {
			return nil, err
		}
		times = append(times, time.Since(paused))
		time.Sleep(time.Until(paused.Add(pauseTTLs * ttl)))
		current.gate.open()
		former = current
	}
	// Wait for the orders that the last paused owner sends after it resumes.
	time.Sleep(orderLimit)
	return times, nil
}

// awaitOtherOwner waits until the engine accepts an order of an owner other than
// former after the call, and returns that owner.
func (r *run) awaitOtherOwner(ctx context.Context, former *owner) (*owner, error) {
	started := time.Now()
	for ctx.Err() == nil {
		r.mu.Lock()
		last, at := r.lastOwner, r.lastAt
		r.mu.Unlock()
		if last != nil && last != former && at.After(started) {
			return last, nil
		}
		time.Sleep(pollInterval)
	}
	return nil, ctx.Err()
}

// sendOrders sends orders until ctx ends or the lease is lost. The gate pauses the owner
// between the check of the lease and the sending of the order. That is the worst moment,
// because the order is then sent although the lease has expired.
func (o *owner) sendOrders(ctx context.Context, _ lease.Grant) error {
	client := backend.Client{Address: o.run.engine.Address}
	for ctx.Err() == nil {
		fence, deadline, held := o.holder.Held()
		if !held {
			break
		}
		order := backend.Order{
			Deadline: earlier(deadline, time.Now().Add(orderLimit)), Fence: fence, ID: o.run.nextID(),
			Kind: backend.OrderSetRole, Role: o.holder.ID,
		}
		o.gate.wait()
		// The order ignores the cancellation of ctx, because a paused process
		// still sends an order that it has begun to send.
		if err := client.Order(context.WithoutCancel(ctx), order); err == nil {
			o.run.recordAccepted(o)
		}
		time.Sleep(orderInterval)
	}
	return nil
}

func (r *run) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderCount++
	return fmt.Sprintf("order-%d", r.orderCount)
}

func (r *run) recordAccepted(o *owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOwner, r.lastAt = o, time.Now()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
