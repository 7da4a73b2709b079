// Package soak runs the product's hosts as processes on a stand-in for the
// users' platform, under seeded storms of troubles, and judges the promises of
// the platform's pages by what callers, trainers and backend servers saw.
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
	// readyLimit is how long the hosts may take to be ready, with others at work
	// on the machine.
	readyLimit = 60 * time.Second
	// finishLimit is how long batches may take to run to their end after all
	// troubles; an item may be given up no sooner.
	finishLimit = platformtest.ItemTimeout
	pollEvery   = 50 * time.Millisecond
)

// Soak is one run. The fields are set before Run.
type Soak struct {
	// Binary is the product's binary.
	Binary string
	// Folder receives the settings and logs of the processes.
	Folder string
	// Length is that of the storms, without the start and the end.
	Length time.Duration
	// Processes is the number of hosts.
	Processes int
	// Progress receives the schedule.
	Progress io.Writer
	Seed     uint64
}

// run is the state of one run.
type run struct {
	Soak
	fleet

	caller platformtest.Caller
	book   book
	work   workload
}

// Run plays the schedule and returns the report with one row for each promise.
func (s Soak) Run(ctx context.Context) (*report.Report, error) {
	findings, err := s.Judge(ctx)
	if err != nil {
		return nil, err
	}
	result := &report.Report{Name: "soak"}
	ledger.Report(result, s.Seed, findings)
	return result, nil
}

// Judge plays the schedule and returns one finding for each promise.
func (s Soak) Judge(ctx context.Context) ([]ledger.Finding, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{Soak: s, caller: platformtest.Caller{Host: routeHost, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}}}
	r.book.submissions = map[string]*submission{}
	var group errgroup.Group
	err := r.whole(ctx, &group)
	err = errs.Combine(err, r.close())
	cancel()
	err = errs.Combine(err, group.Wait())
	if err != nil {
		return nil, err
	}
	for _, b := range r.backends {
		runs, orders := b.History()
		r.book.runs = append(r.book.runs, runs...)
		r.book.orders = append(r.book.orders, orders...)
	}
	return r.book.judge(platformLimits()), nil
}

func (r *run) whole(ctx context.Context, group *errgroup.Group) error {
	if err := r.configure(1); err != nil {
		return err
	}
	if err := r.open(ctx, group, r); err != nil {
		return err
	}
	if err := r.allReady(ctx); err != nil {
		return err
	}
	events := Schedule(r.Seed, r.Length)
	for _, event := range events {
		fmt.Fprintln(r.Progress, event)
	}
	busy, stop := context.WithTimeout(ctx, r.Length)
	defer stop()
	working, _ := errgroup.WithContext(ctx)
	r.startWork(busy, working)
	working.Go(func() error { return r.play(ctx, events) })
	if err := working.Wait(); err != nil {
		return err
	}
	if err := r.allReady(ctx); err != nil {
		return err
	}
	r.finish(ctx)
	return ctx.Err()
}

// allReady waits until every host says that it takes requests.
func (r *run) allReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, n := range r.nodes {
		for !r.caller.Ready(ctx, n.settings.ReadyAddress) {
			if !wait.For(ctx, pollEvery) {
				return classError.New("host %s is not ready after %s; its log is in %s", n.settings.ID, readyLimit, r.Folder)
			}
		}
	}
	return nil
}
