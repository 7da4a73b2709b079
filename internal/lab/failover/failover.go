// Package failover measures how soon another node takes over a job whose owner
// crashed or was paused, and whether an engine that ignores fencing numbers
// obeys two owners.
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
	nodes      = 3
	orderEvery = 20 * time.Millisecond
	// orderLimit bounds an order's deadline, and is what a successor waits out.
	orderLimit = time.Second
	// pauseFactor is the length of a pause in times to live of the lease.
	pauseFactor   = 2
	takeoverLimit = 10 * time.Second
	waitStep      = 5 * time.Millisecond
	ttl           = 3 * time.Second
)

// Measure pauses the owner again and again. The fields are set before Run.
type Measure struct {
	// Binary is the product's binary; when it is set, the orderer of weights of
	// a deployment of processes is killed and paused too, with settings in
	// Folder.
	Binary string
	Folder string
	// Rounds is the number of pauses.
	Rounds int
}

// owner is one node that tries for the job.
type owner struct {
	gate   *gate
	holder *lease.Holder
	run    *run
}

type run struct {
	engine *standinengine.Engine
	owners []*owner

	mu sync.Mutex
	// last is the owner whose order the engine accepted last.
	last    *owner
	lastAt  time.Time
	numbers int
}

// Run measures the rounds.
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
			WhileHeld: o.own, Store: gatedStore{Store: client, gate: o.gate}, TTL: ttl, TakeoverDelay: orderLimit,
		}
		r.owners = append(r.owners, o)
		group.Go(func() error { return o.holder.Run(roundsCtx) })
	}
	times, err := r.rounds(roundsCtx, m.Rounds)
	cancel()
	_ = group.Wait() // Everything ends with ctx.
	if err != nil {
		return nil, err
	}
	result := r.report(times)
	if m.Binary == "" {
		return result, nil
	}
	longest, doubles, err := m.runProduct(ctx, result)
	if err != nil {
		return nil, err
	}
	result.Add("product-takeover-seconds", longest.Seconds())
	result.Add("product-double-orders", doubles)
	result.Requiref(longest <= takeoverLimit, "the weights were taken over within %s", longest)
	result.Requiref(doubles == 0, "engines went back to an older version %d times", doubles)
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
	accepted, doubles, refused := r.judge()
	result.AddRow(
		report.Value{Key: "lease-seconds", Value: ttl.Seconds()},
		report.Value{Key: "orders-accepted", Value: accepted},
		report.Value{Key: "orders-refused-for-their-deadline", Value: refused},
		report.Value{Key: "owners-in-one-process", Value: nodes},
	)
	result.Curves = append(result.Curves, report.Cumulative("takeovers", seconds))
	result.Add("takeover-seconds", longest.Seconds())
	result.Add("double-orders", doubles)
	result.Requiref(longest <= takeoverLimit, "a takeover took %s", longest)
	result.Requiref(doubles == 0, "the engine obeyed %d orders of a former owner", doubles)
	result.Requiref(refused > 0, "no order came late, so that nothing was checked")
	return result
}

// judge counts by the engine's own records.
func (r *run) judge() (accepted, doubles, refused int) {
	for _, received := range r.engine.GroundTruth().Orders {
		switch {
		case received.Accepted && received.Stale:
			doubles++
		case received.Accepted:
			accepted++
		case received.Stale:
			refused++
		}
	}
	return accepted, doubles, refused
}

// rounds pauses the owner past its lease, waits for the successor, and wakes
// the former owner.
func (r *run) rounds(ctx context.Context, count int) ([]time.Duration, error) {
	var times []time.Duration
	var former *owner
	for range count {
		current, err := r.awaitOther(ctx, former)
		if err != nil {
			return nil, err
		}
		current.gate.close()
		paused := time.Now()
		if _, err := r.awaitOther(ctx, current); err != nil {
			return nil, err
		}
		times = append(times, time.Since(paused))
		time.Sleep(time.Until(paused.Add(pauseFactor * ttl)))
		current.gate.open()
		former = current
	}
	// The orders that the last one held back arrive now.
	time.Sleep(orderLimit)
	return times, nil
}

// awaitOther waits until the engine accepted an order of an owner other than
// former that was sent after now.
func (r *run) awaitOther(ctx context.Context, former *owner) (*owner, error) {
	started := time.Now()
	for ctx.Err() == nil {
		r.mu.Lock()
		last, at := r.last, r.lastAt
		r.mu.Unlock()
		if last != nil && last != former && at.After(started) {
			return last, nil
		}
		time.Sleep(waitStep)
	}
	return nil, ctx.Err()
}

// own sends orders until ctx ends. The gate stands between the look at the
// lease and the sending, which is the worst moment for a pause.
func (o *owner) own(ctx context.Context, _ lease.Grant) error {
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
		o.gate.pass()
		// The context is left out on purpose: a paused process sends what it
		// has begun to send.
		if err := client.Order(context.WithoutCancel(ctx), order); err == nil {
			o.run.accepted(o)
		}
		time.Sleep(orderEvery)
	}
	return nil
}

func (r *run) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers++
	return fmt.Sprintf("order-%d", r.numbers)
}

func (r *run) accepted(o *owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.lastAt = o, time.Now()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
