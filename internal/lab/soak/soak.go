// Package soak runs entry hosts as separate processes against a stand-in for the
// users' platform, injects faults on a seeded schedule, and checks the documented
// guarantees against what callers, trainers and backend servers observed.
package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

var classError = errs.Class("soak")

const (
	// readyTimeout is how long the hosts may take to become ready on a machine that
	// also runs other work.
	readyTimeout = 60 * time.Second
	// finishTimeout is how long batches may take to complete after the last fault. It
	// is the time before which the product must not abandon an item.
	finishTimeout = platformtest.ItemTimeout
	pollInterval  = 50 * time.Millisecond
)

// Soak configures one run. The fields are set before Run or Judge.
type Soak struct {
	// Binary is the path of the nutmegway binary.
	Binary string
	// Dir is the directory for the settings files and logs of the processes.
	Dir string
	// Duration is the length of the schedule, excluding start-up and the final reads.
	Duration time.Duration
	// OtherBinary is the path of another build of nutmegway. If it is set, half of the hosts
	// begin with it, and each host changes the build at each of its starts.
	OtherBinary string
	// Processes is the number of hosts.
	Processes int
	// Progress receives the schedule, one event per line.
	Progress io.Writer
	Seed     uint64
}

// run is the state of one run.
type run struct {
	Soak
	fleet

	caller   platformtest.Caller
	recorder recorder
	work     workload
}

// Run executes the schedule and returns a report with one row for each guarantee.
func (s Soak) Run(ctx context.Context) (*report.Report, error) {
	findings, err := s.Judge(ctx)
	if err != nil {
		return nil, err
	}
	result := &report.Report{Name: "soak"}
	ledger.Report(result, s.Seed, findings)
	return result, nil
}

// Judge executes the schedule and returns one finding for each guarantee.
func (s Soak) Judge(ctx context.Context) ([]ledger.Finding, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{Soak: s, caller: platformtest.Caller{Host: routeHost, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}}}
	r.recorder.submissions = map[string]*submission{}
	var group errgroup.Group
	err := r.runPhases(ctx, &group)
	err = errs.Combine(err, r.killHosts())
	cancel()
	err = errs.Combine(err, group.Wait())
	if err != nil {
		return nil, err
	}
	for _, b := range r.backends {
		runs, orders := b.History()
		r.recorder.runs = append(r.recorder.runs, runs...)
		r.recorder.orders = append(r.recorder.orders, orders...)
		r.recorder.arrivals = append(r.recorder.arrivals, b.Arrivals()...)
	}
	return r.recorder.judge(platformLimits()), nil
}

func (r *run) runPhases(ctx context.Context, group *errgroup.Group) error {
	if err := r.configure(1); err != nil {
		return err
	}
	if err := r.start(ctx, group, r); err != nil {
		return err
	}
	if err := r.waitReady(ctx); err != nil {
		return err
	}
	events := Schedule(r.Seed, r.Duration)
	for _, event := range events {
		fmt.Fprintln(r.Progress, event)
	}
	workCtx, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	workers, _ := errgroup.WithContext(ctx)
	r.startWorkload(workCtx, workers)
	workers.Go(func() error { return r.runSchedule(ctx, events) })
	if err := workers.Wait(); err != nil {
		return err
	}
	if err := r.waitReady(ctx); err != nil {
		return err
	}
	r.readAllBatches(ctx)
	return ctx.Err()
}

// waitReady waits until every host reports that it accepts requests.
func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range r.nodes {
		for !r.caller.Ready(ctx, n.settings.ReadyAddress) {
			if !wait.For(ctx, pollInterval) {
				return classError.New("host %s did not become ready within %s; its log is in %s", n.settings.ID, readyTimeout, r.Dir)
			}
		}
	}
	return nil
}
