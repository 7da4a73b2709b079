package batchrun

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/placing"
	"github.com/nutmegway/nutmegway/internal/rollout/reward"
)

const (
	// fullWait is how long an engine that refused an item gets no other one.
	fullWait = 150 * time.Millisecond
	// maxMoves bounds how often one item leaves a slow engine.
	maxMoves = 3
	// paceWeight is the weight of one new interval in a run's mean pace.
	paceWeight = 0.3
	// lookInterval is the least time between two looks for a faster engine.
	lookInterval = 250 * time.Millisecond
)

var errSlow = errors.New("the engine is slow")

// itemState is an item on its way.
type itemState struct {
	item batch.Item
	// avoid is the engine on which the item failed last.
	avoid    string
	done     bool
	events   []string
	failures int
	last     string
	moves    int
	// reward is the call that scores the text; nil unless the text is whole and has
	// no score yet.
	reward   *reward.Call[*scoring]
	running  bool
	started  bool
	versions []int64
	// whole is set once the text is complete.
	whole bool
}

// run is one batch that this host owns. The fields below mu of the runner are
// guarded by it.
type run struct {
	batch  batch.Batch
	byID   map[string]int
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // It ends the streams of the run.
	runner *Runner

	// changed is closed and replaced when results were listed.
	changed chan struct{}
	// groupLeft counts the unfinished items of each group.
	groupLeft map[string]int
	head      batch.Head
	items     []*itemState
	listed    []batch.Result
	// listing is held during a write of results.
	listing sync.Mutex
	// order holds the indexes of items in the order of their start.
	order []int
	// pending are results that are not yet listed.
	pending []batch.Result
	ready   chan struct{}
	// streams counts the goroutines that run items.
	streams int
	// urgent is how soon the pending results are worth a write.
	urgent urgency
	// whole is the number of groups all of whose items are finished.
	whole int
	// writing are the results of a write whose outcome isn't known yet.
	writing []batch.Result
}

func newRun(r *Runner, head batch.Head, b batch.Batch, listed []batch.Result, partials []batch.Partial) *run {
	x := &run{
		batch: b, byID: make(map[string]int, len(b.Items)), changed: make(chan struct{}),
		groupLeft: make(map[string]int), head: head, listed: listed, ready: make(chan struct{}, 1), runner: r,
	}
	for i, item := range b.Items {
		x.items = append(x.items, &itemState{item: item})
		x.byID[item.ID] = i
		x.groupLeft[item.Group]++
	}
	for _, result := range listed {
		if i, ok := x.byID[result.Item]; ok && !x.items[i].done {
			x.items[i].done = true
			x.groupLeft[x.items[i].item.Group]--
		}
	}
	for _, left := range x.groupLeft {
		if left == 0 {
			x.whole++
		}
	}
	for _, p := range partials {
		r.failed.raise(p.Item, p.Failures)
		// A key of an earlier save may hold a shorter text of the same item.
		if i, ok := x.byID[p.Item]; ok && !x.items[i].done && len(p.Events) > len(x.items[i].events) {
			x.items[i].events, x.items[i].last, x.items[i].versions = p.Events, p.LastEvent, p.Versions
			x.items[i].whole = p.Whole
		}
	}
	x.order = placing.Order(b.Items)
	return x
}

func (x *run) count() (done, running, started int) {
	for _, s := range x.items {
		if s.done {
			done++
		}
		if s.running {
			running++
		}
		if s.started {
			started++
		}
	}
	return done, running, started
}

// place starts items on the candidates and returns them with what was placed.
// The runner's mutex is held.
func (x *run) place(
	_ context.Context, route config.Route, service string, candidates []inventory.Candidate, now time.Time,
) []inventory.Candidate {
	for _, i := range x.order {
		s := x.items[i]
		if s.done || s.running || s.whole {
			continue
		}
		if x.runner.failed.of(s.item.ID) >= failedFactor*max(route.MaxAttempts, 1) {
			x.finishDead(s, "it failed at each run")
			continue
		}
		demand := x.demand(s, route.SingleVersion)
		engine, ok := placing.Choose(candidates, demand)
		if !ok {
			if demand.OnlyVersion > 0 {
				// No engine holds the version any more: the text begins anew.
				s.reset()
			}
			continue
		}
		for j := range candidates {
			if candidates[j].ID == engine.ID {
				candidates[j].InFlight++
			}
		}
		s.running, s.started = true, true
		x.streams++
		x.runner.Inventory.Started(engine.ID)
		budget := route.ItemTimeout - now.Sub(x.head.Submitted())
		x.runner.Go("item "+s.item.ID, func() error {
			x.runItem(s, engine, route, service, budget)
			return nil
		})
	}
	return candidates
}

func (s *itemState) reset() { s.events, s.last, s.versions = nil, "", nil }

// runItem runs an item once at an engine.
func (x *run) runItem(
	s *itemState, engine inventory.Candidate, route config.Route, service string, budget time.Duration,
) {
	r := x.runner
	defer x.release(s, engine)
	began := time.Now()
	before := len(s.events)
	tracker := paceTracker{}
	outcome, err := r.Generation.Run(x.ctx, generation.Request{
		Address: engine.Address, Body: s.item.Body, Budget: budget, EventWait: eventWait, FirstWait: firstEventWait,
		Check:  func() error { return r.Inventory.Check(engine.ID) },
		Header: s.item.Header, Host: x.batch.Host, ID: s.item.ID, MaxTokens: s.item.Tokens, ResumeAfter: s.last, Server: engine.ID,
		Target: s.item.Target,
	}, func(load string) {
		r.Inventory.Answered(engine.ID, forward.LoadTold(load))
	}, func(event generation.Event) error {
		return x.onEvent(s, engine.ID, service, &tracker, event)
	})
	r.metrics.count(outcome, time.Since(began))
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.ctx.Err() == nil {
		r.Logger.Info("item run ended", slog.String("item", s.item.ID), slog.String("batch", x.batch.ID),
			slog.String("server", engine.ID), slog.String("outcome", string(outcome)), slog.Any("error", err),
			slog.Duration("after", time.Since(began)), slog.Int("events", len(s.events)-before),
			slog.Int("events-in-all", len(s.events)), slog.Int("hint", s.item.LengthHint),
			slog.Int("tokens", s.item.Tokens), slog.Duration("pace", tracker.pace), slog.Duration("server-pace", engine.Pace))
	}
	x.settle(s, engine, route, outcome, err)
}

// release counts the end of a run of an item, however it ended.
func (x *run) release(s *itemState, engine inventory.Candidate) {
	x.runner.mu.Lock()
	x.streams--
	s.running = false
	x.runner.mu.Unlock()
	x.runner.Inventory.Finished(engine.ID)
	x.runner.wakeUp()
}

// onEvent takes over one event. It fails if the event must not be used.
func (x *run) onEvent(s *itemState, server, service string, tracker *paceTracker, event generation.Event) error {
	r := x.runner
	if event.Version > 0 {
		r.Inventory.SawVersion(server, x.batch.Model, event.Version)
		if event.Version < x.batch.MinVersion {
			return errOldVersion
		}
	}
	interval, ok := tracker.event(time.Now())
	if ok {
		r.Inventory.Paced(server, interval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.events = append(s.events, event.Data)
	s.last = event.ID
	if !slices.Contains(s.versions, event.Version) {
		s.versions = append(s.versions, event.Version)
		slices.Sort(s.versions)
	}
	if x.shouldMove(s, server, service, tracker) {
		s.moves++
		return errSlow
	}
	return nil
}

// shouldMove reports whether a run leaves its engine for a faster one. The
// runner's mutex is held.
func (x *run) shouldMove(s *itemState, server, service string, tracker *paceTracker) bool {
	run := placing.Run{Events: len(s.events), Intervals: tracker.intervals, Pace: tracker.pace}
	if s.moves >= maxMoves || !placing.MayMove(run, x.runner.typical[service]) {
		return false
	}
	if tracker.last.Sub(tracker.looked) < lookInterval {
		return false
	}
	tracker.looked = tracker.last
	demand := x.demand(s, false)
	demand.Avoid = server
	return placing.HasFaster(x.runner.Inventory.Candidates(service), demand, run)
}

// demand is what an item needs of an engine.
func (x *run) demand(s *itemState, singleVersion bool) placing.Demand {
	demand := placing.Demand{Avoid: s.avoid, MinVersion: x.batch.MinVersion, Model: x.batch.Model}
	if singleVersion && len(s.versions) == 1 {
		demand.OnlyVersion = s.versions[0]
	}
	return demand
}

var errOldVersion = errors.New("the engine's weights are older than the batch allows")

// settle decides what becomes of an item after a run. The runner's mutex is held.
func (x *run) settle(
	s *itemState, engine inventory.Candidate, route config.Route, outcome generation.Outcome, err error,
) {
	inv := x.runner.Inventory
	switch outcome {
	case generation.OutcomeCompleted:
		if len(s.events) == 0 || route.SingleVersion && len(s.versions) > 1 {
			s.reset()
			return
		}
		s.whole = true
		if s.item.Reward != nil {
			x.askReward(s)
			return
		}
		x.complete(s, "")
	case generation.OutcomeFailed:
		s.failures++
		x.runner.failed.add(s.item.ID, 1)
		s.avoid = engine.ID
		// An engine that fails at once is the emptiest and would draw all items.
		inv.Failed(engine.ID)
		if s.failures >= max(route.MaxAttempts, 1) {
			x.finish(s, batch.Result{Item: s.item.ID, State: batch.StateDead})
		}
	case generation.OutcomeImpossible:
		x.runner.failed.add(s.item.ID, max(route.MaxAttempts, 1))
		x.finish(s, batch.Result{Item: s.item.ID, State: batch.StateDead})
	case generation.OutcomeNotRun:
		inv.Full(engine.ID, fullWait)
	case generation.OutcomeStopped:
	case generation.OutcomeBroken, generation.OutcomeStalled:
		s.avoid = engine.ID
		if !errors.Is(err, errSlow) && !errors.Is(err, errOldVersion) {
			inv.Failed(engine.ID)
		}
	}
}

// complete lists an item whose text is whole, with its score. The runner's mutex is
// held.
func (x *run) complete(s *itemState, score string) {
	x.finish(s, batch.Result{
		Item: s.item.ID, Score: score, State: batch.StateCompleted, Text: strings.Join(s.events, "\n"), Versions: s.versions,
	})
}

// finish notes the result of an item. The runner's mutex is held.
func (x *run) finish(s *itemState, result batch.Result) {
	if s.done {
		return
	}
	s.done = true
	s.events = nil
	x.dropReward(s)
	x.pending = append(x.pending, result)
	x.groupLeft[s.item.Group]--
	if x.groupLeft[s.item.Group] == 0 {
		x.whole++
		x.urgent = max(x.urgent, urgencyGroup)
		if x.whole >= x.batch.TargetGroups || x.whole == len(x.groupLeft) {
			x.urgent = urgencyStep
		}
	}
	x.signal()
}

func (x *run) signal() {
	select {
	case x.ready <- struct{}{}:
	default:
	}
}

// giveUp lists all items that are not running as dead. The runner's mutex is held.
func (x *run) giveUp(_ time.Time, reason string) {
	for _, s := range x.items {
		if s.done {
			continue
		}
		x.finishDead(s, reason)
	}
	x.urgent = urgencyStep
}

// finishDead lists an item as dead without another run. The runner's mutex is held.
func (x *run) finishDead(s *itemState, reason string) {
	x.runner.Logger.Info("item given up", slog.String("item", s.item.ID),
		slog.String("batch", x.batch.ID), slog.String("reason", reason))
	x.finish(s, batch.Result{Item: s.item.ID, State: batch.StateDead})
}

// paceTracker follows the intervals between the events of one run.
type paceTracker struct {
	intervals int
	last      time.Time
	// looked is when a faster engine was last looked for.
	looked time.Time
	pace   time.Duration
}

// event returns the interval since the event before, and false for the first.
func (t *paceTracker) event(now time.Time) (time.Duration, bool) {
	defer func() { t.last = now }()
	if t.last.IsZero() {
		return 0, false
	}
	interval := now.Sub(t.last)
	t.intervals++
	if t.pace == 0 {
		t.pace = interval
	} else {
		t.pace += time.Duration(paceWeight * float64(interval-t.pace))
	}
	return interval, true
}
