// Package chaos runs a deployment under load from callers, trainers and operators,
// injects failures on a seeded schedule, and checks the product's guarantees against
// a ledger that is kept outside of it.
package chaos

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

const (
	finishTimeout   = 30 * time.Second
	idleConnections = 64
	serviceTime     = 30 * time.Millisecond
	swapTime        = 100 * time.Millisecond
	tokensPerSecond = 500
)

// Chaos configures one run. The fields are set before Run.
type Chaos struct {
	// Binary is the path of the nutmegway binary. If it is set, the entry hosts run
	// as separate processes, and the schedule also pauses them.
	Binary string
	// Callers is the number of concurrent callers.
	Callers  int
	Duration time.Duration
	Logger   *slog.Logger
	// Dir is the directory for the settings files of the processes.
	Dir string
	// Progress receives the schedule and the trainers' summaries.
	Progress io.Writer
	Seed     uint64
	Shape    deployment.Shape
}

// run is the state of one run.
type run struct {
	Chaos
	busy       map[any]*atomic.Bool
	client     *http.Client
	deployment *deployment.Deployment
	edits      atomic.Int64
	ledger     ledger.Ledger
	started    map[string]*atomic.Int64
	trainers   []*trainer.Trainer
}

// Run runs the deployment for Duration, lets it recover, and returns a report with one
// row for each guarantee.
func (c Chaos) Run(ctx context.Context) (*report.Report, error) {
	r := &run{Chaos: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}}
	r.deployment = &deployment.Deployment{
		Binary: c.Binary,
		Configure: func(_ int, e *engine.Engine) {
			e.SwapTime, e.TokensPerSecond = swapTime, tokensPerSecond
			e.DropEventEvery = 7
		},
		Dir:        c.Dir,
		Logger:     c.Logger,
		Shape:      c.Shape,
		StoreLinks: true,
	}
	var extra []Action
	if c.Binary != "" {
		extra = []Action{ActionNodePause}
	}
	events := Schedule(c.Seed, c.Duration, extra...)
	for _, event := range events {
		fmt.Fprintln(c.Progress, event)
	}
	err := r.deployment.Run(ctx, func(ctx context.Context) error {
		r.prepare()
		return r.runWorkload(ctx, events)
	})
	if err != nil {
		return nil, err
	}
	return r.judge(), nil
}

func (r *run) prepare() {
	r.busy = map[any]*atomic.Bool{}
	r.started = map[string]*atomic.Int64{}
	for _, n := range r.deployment.Nodes {
		r.busy[n], r.busy[n.StoreLink] = &atomic.Bool{}, &atomic.Bool{}
		r.started[n.ID] = &atomic.Int64{}
		r.started[n.ID].Store(time.Now().UnixNano())
	}
	for _, e := range r.deployment.Engines {
		r.busy[e] = &atomic.Bool{}
	}
	for _, p := range r.deployment.Plains {
		p.ServiceTime = serviceTime
		r.busy[p] = &atomic.Bool{}
	}
	r.edits.Store(firstEdit)
}

// runWorkload runs the callers, the trainers, the edits, the observation of the nodes
// and the schedule concurrently. It then restarts the backend servers and lets the
// trainers read their missing samples for at most finishTimeout.
func (r *run) runWorkload(ctx context.Context, events []Event) error {
	r.addTrainers()
	workCtx, cancel := context.WithTimeout(ctx, r.Duration)
	defer cancel()
	var group errgroup.Group
	for i := range r.Callers {
		group.Go(func() error {
			r.call(workCtx, i)
			return nil
		})
	}
	for _, t := range r.trainers {
		group.Go(func() error { return t.Run(workCtx) })
	}
	group.Go(func() error { return r.edit(workCtx) })
	group.Go(func() error { return r.observe(workCtx) })
	group.Go(func() error { return r.runSchedule(ctx, events) })
	if err := group.Wait(); err != nil {
		return err
	}
	r.restartServers()
	finish, cancelFinish := context.WithTimeout(ctx, finishTimeout)
	defer cancelFinish()
	for _, t := range r.trainers {
		t.Finish(finish)
		fmt.Fprintln(r.Progress, t)
	}
	return ctx.Err()
}

func (r *run) judge() *report.Report {
	d := r.deployment
	r.ledger.Add(func(records *ledger.Records) {
		records.Engines = map[string]engine.GroundTruth{}
		for _, e := range d.Engines {
			records.Engines[e.Address] = e.GroundTruth()
		}
		records.Plains = map[string]plain.GroundTruth{}
		for _, p := range d.Plains {
			records.Plains[p.Address] = p.GroundTruth()
		}
		for _, t := range r.trainers {
			records.Trainers = append(records.Trainers, t.Log())
		}
	})
	return Report(r.Shape.Name, r.Seed, r.ledger.Judge(ledger.DefaultLimits()))
}

// Report returns a report with one row for each finding.
func Report(deployment string, seed uint64, findings []ledger.Finding) *report.Report {
	result := &report.Report{Name: "chaos"}
	result.Add("deployment", deployment)
	ledger.Report(result, seed, findings)
	return result
}
