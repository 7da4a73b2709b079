// Package outage measures what an outage of the key-value service costs the
// callers, and what its return costs the service.
package outage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
)

const (
	after    = 6 * time.Second
	before   = 3 * time.Second
	callers  = 12
	idle     = 64
	observed = 100 * time.Millisecond
	restarts = 2
	think    = 10 * time.Millisecond
	timeout  = 10 * time.Second

	// peakBudget is 10% of the service's 2,000 reads and 300 writes a second.
	peakBudget = 230
)

// Measure runs one outage. The fields are set before Run.
type Measure struct {
	// Length is how long the service is down.
	Length time.Duration
	Seed   uint64
	Shape  deployment.Shape
}

type run struct {
	Measure
	client     *http.Client
	deployment *deployment.Deployment
	lost       atomic.Int64
	peak       int64
	requests   atomic.Int64
	reverted   atomic.Int64
	slowest    atomic.Int64
}

// Run starts a deployment, takes its key-value service away, restarts some
// nodes meanwhile and brings the service back.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &run{
		Measure:    m,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}},
		deployment: &deployment.Deployment{Shape: m.Shape},
	}
	if err := r.deployment.Run(ctx, r.work); err != nil {
		return nil, err
	}
	result := &report.Report{Name: "outage"}
	result.AddRow(
		report.Value{Key: "nodes-in-one-process", Value: len(r.deployment.Nodes)},
		report.Value{Key: "outage-seconds", Value: m.Length.Seconds()},
		report.Value{Key: "restarts-during-outage", Value: restarts},
		report.Value{Key: "requests", Value: r.requests.Load()},
		report.Value{Key: "slowest-seconds", Value: time.Duration(r.slowest.Load()).Seconds()},
	)
	result.Add("lost-requests", r.lost.Load())
	result.Add("reverted", r.reverted.Load())
	result.Add("store-calls-peak", r.peak)
	result.Requiref(r.requests.Load() > 0, "no request was sent")
	result.Requiref(r.lost.Load() == 0, "%d requests were lost", r.lost.Load())
	result.Requiref(r.reverted.Load() == 0, "%d nodes went back to an older document", r.reverted.Load())
	result.Requiref(r.peak <= peakBudget, "the service took %d calls in one second", r.peak)
	return result, nil
}

func (r *run) work(ctx context.Context) error {
	busy, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			r.call(busy, i)
			return nil
		})
	}
	for _, n := range r.deployment.Nodes {
		group.Go(func() error {
			r.observe(busy, n)
			return nil
		})
	}
	err := r.outage(ctx)
	cancel()
	_ = group.Wait() // The callers and observers return no error.
	return err
}

func (r *run) outage(ctx context.Context) error {
	store := r.deployment.Store
	sleep(ctx, before)
	store.SetDown(true)
	for i := range restarts {
		sleep(ctx, r.Length/(restarts+1))
		n := r.deployment.Nodes[i]
		n.Kill()
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	sleep(ctx, r.Length/(restarts+1))
	returned := time.Now()
	store.SetDown(false)
	sleep(ctx, after)
	r.peak = store.PeakPerSecond(returned)
	return ctx.Err()
}

// call sends look-ups through the nodes that the caller is told.
func (r *run) call(ctx context.Context, worker int) {
	d := r.deployment
	entries := make([]string, 0, len(d.Nodes))
	for _, n := range d.Nodes {
		entries = append(entries, n.Caller)
	}
	c := &caller.Caller{
		AvailabilityZone: r.Shape.Zones[worker%len(r.Shape.Zones)], EntryHosts: entries, HTTP: r.client,
		Random: rand.New(rand.NewPCG(r.Seed, uint64(worker))), Service: r.Shape.PlainService,
	}
	for i := 0; ctx.Err() == nil; i++ {
		started := time.Now()
		whole, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		outcome := c.Do(whole, caller.Request{
			Idempotent: true, Method: http.MethodGet,
			Path: fmt.Sprintf("/v1/plain/%s/checks/%d-%d", r.Shape.PlainService, worker, i),
		})
		cancel()
		r.requests.Add(1)
		if !outcome.Answered {
			r.lost.Add(1)
		}
		r.slowest.Store(max(r.slowest.Load(), int64(time.Since(started))))
		sleep(ctx, think)
	}
}

// observe counts how often the revisions that a node reports go down.
func (r *run) observe(ctx context.Context, n *deployment.Node) {
	highest := make(map[string]int64)
	for ctx.Err() == nil {
		sleep(ctx, observed)
		status, err := r.deployment.Admin(n).Status(ctx, "")
		if err != nil {
			continue // The node is being restarted.
		}
		for _, service := range status.Services {
			if service.Revision < highest[service.Name] {
				r.reverted.Add(1)
			}
			highest[service.Name] = service.Revision
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
