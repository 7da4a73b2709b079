// Package outage measures the effect of an outage of the key-value store on callers,
// and the load on the store when it is available again.
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
	recoveryTime    = 6 * time.Second
	warmUpTime      = 3 * time.Second
	callers         = 12
	maxIdleConns    = 64
	observeInterval = 100 * time.Millisecond
	restarts        = 2
	thinkTime       = 10 * time.Millisecond
	callTimeout     = 10 * time.Second

	// peakCallsBudget is 10% of the store's capacity of 2,000 reads and 300 writes a
	// second.
	peakCallsBudget = 230
)

// Measure runs one outage. The fields are set before Run.
type Measure struct {
	// Duration is the duration of the outage.
	Duration time.Duration
	Seed     uint64
	Shape    deployment.Shape
}

type run struct {
	Measure
	client            *http.Client
	deployment        *deployment.Deployment
	lost              atomic.Int64
	peakCalls         int64
	requests          atomic.Int64
	revisionDecreases atomic.Int64
	slowest           atomic.Int64
}

// Run starts a deployment, makes its key-value store unavailable, restarts some
// nodes meanwhile and makes the store available again.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &run{
		Measure:    m,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		deployment: &deployment.Deployment{Shape: m.Shape},
	}
	if err := r.deployment.Run(ctx, r.runWorkload); err != nil {
		return nil, err
	}
	result := &report.Report{Name: "outage"}
	result.AddRow(
		report.Value{Key: "nodes-in-one-process", Value: len(r.deployment.Nodes)},
		report.Value{Key: "outage-seconds", Value: m.Duration.Seconds()},
		report.Value{Key: "restarts-during-outage", Value: restarts},
		report.Value{Key: "requests", Value: r.requests.Load()},
		report.Value{Key: "slowest-seconds", Value: time.Duration(r.slowest.Load()).Seconds()},
	)
	result.Add("lost-requests", r.lost.Load())
	result.Add("reverted", r.revisionDecreases.Load())
	result.Add("store-calls-peak", r.peakCalls)
	result.Requiref(r.requests.Load() > 0, "no request was sent")
	result.Requiref(r.lost.Load() == 0, "%d requests got no answer, want 0", r.lost.Load())
	result.Requiref(r.revisionDecreases.Load() == 0, "nodes reported a lower revision of a document %d times, want 0", r.revisionDecreases.Load())
	result.Requiref(r.peakCalls <= peakCallsBudget, "the store got %d calls in one second after the outage, want at most %d", r.peakCalls, peakCallsBudget)
	return result, nil
}

func (r *run) runWorkload(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			r.runCaller(workCtx, i)
			return nil
		})
	}
	for _, n := range r.deployment.Nodes {
		group.Go(func() error {
			r.observeNode(workCtx, n)
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
	sleep(ctx, warmUpTime)
	store.SetDown(true)
	for i := range restarts {
		sleep(ctx, r.Duration/(restarts+1))
		n := r.deployment.Nodes[i]
		n.Kill()
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	sleep(ctx, r.Duration/(restarts+1))
	restored := time.Now()
	store.SetDown(false)
	sleep(ctx, recoveryTime)
	r.peakCalls = store.PeakPerSecond(restored)
	return ctx.Err()
}

// runCaller sends look-ups one after the other, through the nodes that its caller
// chooses, until ctx ends.
func (r *run) runCaller(ctx context.Context, worker int) {
	d := r.deployment
	entries := make([]string, 0, len(d.Nodes))
	for _, n := range d.Nodes {
		entries = append(entries, n.CallerAddress)
	}
	c := &caller.Caller{
		AvailabilityZone: r.Shape.Zones[worker%len(r.Shape.Zones)], EntryHosts: entries, HTTP: r.client,
		Random: rand.New(rand.NewPCG(r.Seed, uint64(worker))), Service: r.Shape.PlainService,
	}
	for i := 0; ctx.Err() == nil; i++ {
		started := time.Now()
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		outcome := c.Do(callCtx, caller.Request{
			Idempotent: true, Method: http.MethodGet,
			Path: fmt.Sprintf("/v1/plain/%s/checks/%d-%d", r.Shape.PlainService, worker, i),
		})
		cancel()
		r.requests.Add(1)
		if !outcome.Answered {
			r.lost.Add(1)
		}
		r.slowest.Store(max(r.slowest.Load(), int64(time.Since(started))))
		sleep(ctx, thinkTime)
	}
}

// observeNode reads the node's status until ctx ends and counts how often the revision of
// a document is lower than in the previous status.
func (r *run) observeNode(ctx context.Context, n *deployment.Node) {
	last := make(map[string]int64)
	for ctx.Err() == nil {
		sleep(ctx, observeInterval)
		status, err := r.deployment.Admin(n).Status(ctx, "")
		if err != nil {
			continue // The node is being restarted.
		}
		for _, service := range status.Services {
			if service.Revision < last[service.Name] {
				r.revisionDecreases.Add(1)
			}
			last[service.Name] = service.Revision
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
