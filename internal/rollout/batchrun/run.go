package batchrun

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/rollout/backoff"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/placing"
	"github.com/nutmegway/nutmegway/internal/rollout/reward"
)

const (
	// failingRuns is the number of runs in a row without an event after which an item starts
	// after others.
	failingRuns = 3
	// refusedRuns is the number of refusals in a row after which an item starts after others of
	// its batch. An engine that loads weights refuses the same item for a second or two, and an
	// item that starts late for it delays its group.
	refusedRuns = 8
	// maxMoves bounds how often one item is moved away from a slow engine.
	maxMoves = 3
	// fasterCheckInterval is the minimum time between two searches for a faster engine.
	fasterCheckInterval = 250 * time.Millisecond
)

var (
	errNoEvent = errors.New("the answer has no event")
	errSlow    = errors.New("engine is slow and a faster one has a free slot")
)

// itemState is the state of one item of a batch.
type itemState struct {
	item batch.Item
	// avoidEngine is the ID of the engine on which a run of the item last
	// failed, broke off, stalled or was slow.
	avoidEngine string
	// content is the fingerprint of the item's request.
	content uint64
	// done is set once the item has its result.
	done bool
	// events holds the data of the events received so far.
	events []string
	// eventless counts the refused and failed runs since the last event, and refused the
	// refused ones among them.
	eventless, refused int
	// turnedDownBy holds the engines that have refused the item or failed on it since its last
	// event, and failedOn those that failed.
	turnedDownBy, failedOn map[string]bool
	// unsendable is set once a run has shown that no request can be sent for the item.
	unsendable bool
	// failures counts the failed runs in this batch at this host.
	failures    int
	lastEventID string
	// moves counts how often the item left a slow engine.
	moves int
	// rewardCall is the call that scores the text; nil unless the text is complete and
	// has no score yet.
	rewardCall *reward.Call[*pendingScore]
	running    bool
	started    bool
	// readySince is when the item last began to wait for an engine, and obstacle why it
	// got none at the last try.
	readySince time.Time
	obstacle   placing.Obstacle
	// software is the software version of the engines that generated the events.
	software string
	// versions are the weight versions that generated the events, ascending.
	versions []int64
	// textComplete is set once the text is complete.
	textComplete bool
}

// batchRun is a batch that this host owns and runs. The fields from changed on are
// guarded by the runner's mutex, unless noted otherwise.
type batchRun struct {
	// answered is set once an engine has answered an item of the batch with an event.
	answered bool
	// tooLarge is the number of items that were last reported as larger than every engine.
	tooLarge int
	// turnedDownBy holds the engines that have refused an item of the batch or failed on one.
	turnedDownBy map[string]bool
	// backoff holds the engines that get no items of this batch now.
	backoff backoff.Engines
	// bytes is the memory that the batch holds.
	bytes int64
	batch batch.Batch
	// byID maps item IDs to indexes in items.
	byID   map[string]int
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // It ends the streams of the batch.
	runner *Runner

	// changed is closed and replaced when results have been stored.
	changed chan struct{}
	// configDoubtedAt is since when the scheduler waits for a current configuration before
	// it handles the batch; zero if it doesn't.
	configDoubtedAt time.Time
	// unfinishedInGroup is the number of unfinished items by group.
	unfinishedInGroup map[string]int
	head              batch.Head
	items             []*itemState
	// stored are the results in the store, by position.
	stored []batch.Result
	// appendMu serializes writes of results. It is locked before the runner's mutex.
	appendMu sync.Mutex
	// startOrder holds the indexes of the items in the order in which they start.
	startOrder []int
	// pending are the results that are not yet stored.
	pending []batch.Result
	// appendSignal wakes appendLoop.
	appendSignal chan struct{}
	// inFlight counts the item runs and reward calls in flight, and runningOn the item runs by
	// engine.
	inFlight  int
	runningOn map[string]int
	// urgency is the highest urgency of the pending results.
	urgency urgency
	// completeGroups is the number of groups without unfinished items.
	completeGroups int
	// unconfirmed are the pending results in a write whose outcome is not yet known.
	unconfirmed []batch.Result
}

// newRun returns a run of b that continues with the stored results and the partial texts
// of an earlier owner. The caller holds the runner's mutex.
func newRun(r *Runner, head batch.Head, b batch.Batch, stored []batch.Result, partials []batch.Partial) *batchRun {
	br := &batchRun{
		batch: b, bytes: b.HeldBytes(), byID: make(map[string]int, len(b.Items)), changed: make(chan struct{}),
		unfinishedInGroup: make(map[string]int), head: head, stored: stored, appendSignal: make(chan struct{}, 1), runner: r,
		runningOn: make(map[string]int), turnedDownBy: make(map[string]bool),
	}
	now := time.Now()
	for i, item := range b.Items {
		br.items = append(br.items, &itemState{
			content: poison.RequestFingerprint(http.MethodPost, b.Host, item.Target, item.Body), item: item, readySince: now,
		})
		br.byID[item.ID] = i
		br.unfinishedInGroup[item.Group]++
	}
	for _, result := range stored {
		if i, ok := br.byID[result.Item]; ok && !br.items[i].done {
			br.items[i].done = true
			br.unfinishedInGroup[br.items[i].item.Group]--
		}
	}
	for _, unfinished := range br.unfinishedInGroup {
		if unfinished == 0 {
			br.completeGroups++
		}
	}
	for _, p := range partials {
		r.failures.raise(p.Item, p.Failures)
		// Partials of an earlier save may hold a shorter text of the same item.
		if i, ok := br.byID[p.Item]; ok && !br.items[i].done && len(p.Events) > len(br.items[i].events) {
			br.items[i].events, br.items[i].lastEventID, br.items[i].versions = p.Events, p.LastEvent, p.Versions
			br.items[i].software, br.items[i].textComplete = p.Software, p.TextComplete
		}
	}
	br.startOrder = placing.StartOrder(b.Items)
	return br
}

// countItems returns the numbers of items that are done, running, and have been started
// by this host. The caller holds the runner's mutex.
func (br *batchRun) countItems() (done, running, started int) {
	for _, s := range br.items {
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

// placement is one pass over the items of a batch that may start.
type placement struct {
	batch *batchRun
	// failing selects the items whose runs keep failing, otherwise all others.
	failing bool
	route   config.Route
	service string
}

// startable returns the items that may start in a placement, in their order. Items that failed
// several times or were refused for long come last, and as long as no engine has answered any item
// of the batch, all that have run. The caller holds the runner's mutex.
func (br *batchRun) startable(p placement) []*itemState {
	var items, last []*itemState
	for _, i := range br.startOrder {
		s := br.items[i]
		switch {
		case s.done || s.running || s.textComplete || s.unsendable || s.keepsFailing() != p.failing:
		case s.refused >= refusedRuns, s.failedRuns() >= failingRuns-1, !br.answered && s.eventless > 0:
			last = append(last, s)
		default:
			items = append(items, s)
		}
	}
	slices.SortStableFunc(last, func(a, b *itemState) int { return cmp.Compare(a.eventless, b.eventless) })
	return append(items, last...)
}

// place starts items on the candidate engines and updates their in-flight counts. Items with
// too many failed runs are finished as dead. The caller holds the runner's mutex.
func (br *batchRun) place(p placement, candidates []inventory.Candidate, now time.Time) {
	backingOff := br.backoff.Active(now)
	defer br.reportTooLarge(candidates)
	for _, s := range br.startable(p) {
		if br.runner.failures.count(s.item.ID) >= failedRunsFactor*max(p.route.MaxAttempts, 1) {
			br.finishDead(s, "too many failed runs")
			continue
		}
		if br.isQuarantined(s) {
			continue
		}
		demand := br.demand(s, p.route.SingleVersion)
		demand.BackingOff = backingOff
		engine, ok := placing.Choose(candidates, demand)
		if !ok {
			s.obstacle = placing.FindObstacle(candidates, demand)
			engine, ok = br.chooseToProbe(s, candidates, demand, now)
		}
		if !ok {
			if engine, ok = s.chooseToStartOver(candidates, demand); !ok {
				continue
			}
			s.reset()
		}
		for j := range candidates {
			if candidates[j].ID == engine.ID {
				candidates[j].InFlight++
			}
		}
		s.running, s.started = true, true
		br.inFlight++
		br.runningOn[engine.ID]++
		br.runner.Inventory.RequestStarted(engine.ID)
		start := runStart{
			budget: p.route.ItemTimeout - now.Sub(br.head.Submitted()), engine: engine, route: p.route, service: p.service,
			bestPace: placing.LowestEventInterval(candidates, demand), obstacle: s.obstacle, waited: now.Sub(s.readySince),
		}
		s.obstacle = ""
		br.runner.Go("item "+s.item.ID, func() error {
			br.runItem(s, start)
			return nil
		})
	}
}

// chooseToProbe returns an engine for an item that has not failed yet while all engines back off
// after failures of other items. Each engine gets one such item at a time. It shows whether the
// engines are at fault or the items that failed.
func (br *batchRun) chooseToProbe(s *itemState, candidates []inventory.Candidate, demand placing.Demand, now time.Time) (inventory.Candidate, bool) {
	if s.obstacle != placing.ObstacleBackoff || s.eventless > 0 {
		return inventory.Candidate{}, false
	}
	demand.BackingOff = br.backoff.Refusing(now)
	for id := range br.runningOn {
		demand.BackingOff[id] = true
	}
	return placing.Choose(candidates, demand)
}

// chooseToStartOver returns an engine that generates an item from the start, if that is
// better than to wait for one that can continue its text. A long text is worth the wait for
// an engine that is backing off.
func (s *itemState) chooseToStartOver(candidates []inventory.Candidate, demand placing.Demand) (inventory.Candidate, bool) {
	mayWait := s.obstacle == placing.ObstacleSlots || s.obstacle == placing.ObstacleBackoff && len(s.events) >= placing.LongRunEvents
	if demand.OnlyVersion == 0 && (!demand.Continues || mayWait) {
		return inventory.Candidate{}, false
	}
	demand.OnlyVersion, demand.Continues = 0, false
	return placing.Choose(candidates, demand)
}

// reset discards the partial text, so that the next run generates it from the start.
func (s *itemState) reset() { s.events, s.lastEventID, s.software, s.versions = nil, "", "", nil }

// runStart is the decision to run an item.
type runStart struct {
	// bestPace is the event interval of the fastest engine that the item could run on,
	// busy or not; zero if unknown.
	bestPace time.Duration
	// budget is how long the result is still of use.
	budget  time.Duration
	engine  inventory.Candidate
	route   config.Route
	service string
	// waited is how long the item waited for an engine, and obstacle what it waited for.
	waited   time.Duration
	obstacle placing.Obstacle
}

// runItem runs an item once on an engine.
func (br *batchRun) runItem(s *itemState, start runStart) {
	r, engine := br.runner, start.engine
	defer br.release(s, engine)
	if !br.admit(s) {
		return
	}
	began := time.Now()
	eventsBefore := len(s.events)
	responded := false
	tracker := intervalTracker{}
	outcome, err := r.Generation.Run(br.ctx, generation.Request{
		Account: br.batch.Account, Address: engine.Address, Body: s.item.Body, Budget: start.budget, EventTimeout: eventTimeout, FirstEventTimeout: firstEventTimeout,
		BeforeSend: func() error { return r.Inventory.CheckAvailable(engine.ID) },
		Header:     s.item.Header, Host: br.batch.Host, ID: s.item.ID, MaxTokens: s.item.Tokens, ResumeAfter: s.lastEventID, Server: engine.ID,
		Target: s.item.Target,
	}, func(load string) {
		r.Inventory.RecordAnswer(engine.ID, forward.ParseLoad(load))
	}, func(event generation.Event) error {
		if !responded {
			responded = true
			br.reportResponse(s)
		}
		return br.onEvent(s, engine.Server, start.service, &tracker, event)
	})
	r.metrics.recordRun(outcome, time.Since(began))
	if !responded {
		br.reportRunWithoutEvent(s, engine.Server, outcome, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if br.ctx.Err() == nil {
		r.Logger.Info("item run ended", slog.String("item", s.item.ID), slog.String("batch", br.batch.ID),
			slog.String("server", engine.ID), slog.String("outcome", string(outcome)), slog.Any("error", err),
			slog.Duration("after", time.Since(began)), slog.Int("events", len(s.events)-eventsBefore),
			slog.Int("events-in-all", len(s.events)), slog.String("software", s.software), slog.Int("hint", s.item.LengthHint),
			slog.Int("tokens", s.item.Tokens), slog.Duration("pace", tracker.meanInterval), slog.Duration("server-pace", engine.EventInterval),
			slog.Duration("best-pace", start.bestPace), slog.Duration("waited", start.waited), slog.String("waited-for", string(start.obstacle)),
			slog.Duration("to-first-event", tracker.toFirstEvent(began)), slog.Duration("silent", tracker.silence(began)),
			slog.String("refused-at-load", refusalLoad(err)))
	}
	r.recordPace(start.service, time.Since(began), outcome == generation.OutcomeCompleted)
	wroteWholeText := eventsBefore == 0 && outcome == generation.OutcomeCompleted
	if !wroteWholeText && br.hasOtherSoftware(engine.Server) {
		s.reset()
		outcome = generation.OutcomeStopped
	}
	if outcome == generation.OutcomeCompleted && len(s.events) == 0 {
		outcome, err = generation.OutcomeBroken, errNoEvent
	}
	br.recordBlame(s, engine, run{began: began, err: err, outcome: outcome, responded: responded})
	br.onRunEnded(s, engine, start.route, outcome, err)
}

// refusalLoad returns the load header of the answer by which an engine refused a run; empty if
// err isn't a refusal or the answer has no such header.
func refusalLoad(err error) string {
	var refusal *generation.RefusalError
	if errors.As(err, &refusal) {
		return refusal.Load
	}
	return ""
}

// hasOtherSoftware reports whether an engine has started again with other software under its
// id since it was chosen. It isn't known then which of the two wrote the events of the run.
func (br *batchRun) hasOtherSoftware(engine inventory.Server) bool {
	current, known := br.runner.Inventory.Get(engine.ID)
	return known && current.Software != engine.Software
}

// release marks an item as no longer running, whatever its outcome, and wakes the
// scheduler.
func (br *batchRun) release(s *itemState, engine inventory.Candidate) {
	br.runner.mu.Lock()
	br.inFlight--
	if br.runningOn[engine.ID]--; br.runningOn[engine.ID] == 0 {
		delete(br.runningOn, engine.ID)
	}
	s.running, s.readySince = false, time.Now()
	br.runner.mu.Unlock()
	br.runner.Inventory.RequestFinished(engine.ID)
	br.runner.wakeUp()
}

// onEvent adds an event to the text of an item. An error ends the run:
// errStaleVersion if the weight version of the event is too old for the batch,
// errSlow if the item moves to another engine.
func (br *batchRun) onEvent(s *itemState, server inventory.Server, service string, tracker *intervalTracker, event generation.Event) error {
	r := br.runner
	if event.Version > 0 {
		r.Inventory.RecordVersion(server.ID, br.batch.Model, event.Version)
		if event.Version < br.batch.MinVersion {
			return errStaleVersion
		}
	}
	interval, ok := tracker.observe(time.Now())
	if ok {
		r.Inventory.RecordEventInterval(server.ID, interval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	br.recordProgress(s, server.ID)
	s.events = append(s.events, event.Data)
	s.lastEventID = event.ID
	s.software = server.Software
	if !slices.Contains(s.versions, event.Version) {
		s.versions = append(s.versions, event.Version)
		slices.Sort(s.versions)
	}
	if br.shouldMove(s, server.ID, service, tracker) {
		s.moves++
		return errSlow
	}
	return nil
}

// shouldMove reports whether an item moves to a faster engine. The caller holds the
// runner's mutex.
func (br *batchRun) shouldMove(s *itemState, server, service string, tracker *intervalTracker) bool {
	run := placing.Run{Events: len(s.events), Intervals: tracker.intervals, EventInterval: tracker.meanInterval}
	if s.moves >= maxMoves || !placing.MayMove(run, br.runner.medianEventInterval[service]) {
		return false
	}
	if tracker.lastEvent.Sub(tracker.lastFasterCheck) < fasterCheckInterval {
		return false
	}
	tracker.lastFasterCheck = tracker.lastEvent
	demand := br.demand(s, false)
	demand.Avoid, demand.BackingOff = server, br.backoff.Active(tracker.lastEvent)
	return placing.HasFaster(br.runner.candidates(br.runner.Config(), service), demand, run)
}

// demand returns what an item requires of an engine.
func (br *batchRun) demand(s *itemState, singleVersion bool) placing.Demand {
	demand := placing.Demand{
		Avoid: s.avoidEngine, MinVersion: br.batch.MinVersion, Model: br.batch.Model, Continues: len(s.events) > 0, Software: s.software,
		Tokens: s.item.Tokens,
	}
	if singleVersion && len(s.versions) == 1 {
		demand.OnlyVersion = s.versions[0]
	}
	return demand
}

var errStaleVersion = errors.New("weight version of the engine is older than the batch's minimum version")

// onRunEnded updates an item according to the outcome of its run. The caller holds the
// runner's mutex.
func (br *batchRun) onRunEnded(
	s *itemState, engine inventory.Candidate, route config.Route, outcome generation.Outcome, err error,
) {
	switch outcome {
	case generation.OutcomeCompleted:
		if route.SingleVersion && len(s.versions) > 1 {
			s.reset()
			return
		}
		s.textComplete = true
		if s.item.Reward != nil {
			br.queueReward(s)
			return
		}
		br.complete(s, "")
	case generation.OutcomeFailed:
		s.failures++
		br.runner.failures.add(s.item.ID, 1)
		s.avoidEngine = engine.ID
		if s.failures >= max(route.MaxAttempts, 1) {
			br.finish(s, batch.Result{Item: s.item.ID, State: batch.StateDead})
		}
	case generation.OutcomeImpossible:
		br.runner.failures.add(s.item.ID, max(route.MaxAttempts, 1))
		br.finish(s, batch.Result{Item: s.item.ID, State: batch.StateDead})
	case generation.OutcomeNotRun, generation.OutcomeStopped, generation.OutcomeUnreachable, generation.OutcomeUnsendable:
	case generation.OutcomeBroken, generation.OutcomeStalled:
		s.avoidEngine = engine.ID
		if errors.Is(err, generation.ErrOutOfOrder) {
			// The engine doesn't resume the text, and others may not either.
			s.reset()
		}
	}
}

// complete finishes an item as completed with its text and score. The caller holds the
// runner's mutex.
func (br *batchRun) complete(s *itemState, score string) {
	br.finish(s, batch.Result{
		Item: s.item.ID, Score: score, State: batch.StateCompleted, Text: strings.Join(s.events, "\n"), Versions: s.versions,
	})
}

// finish records the result of an item unless it has one already. The caller holds the
// runner's mutex.
func (br *batchRun) finish(s *itemState, result batch.Result) {
	if s.done {
		return
	}
	s.done = true
	s.events = nil
	br.cancelReward(s)
	br.pending = append(br.pending, result)
	br.unfinishedInGroup[s.item.Group]--
	if br.unfinishedInGroup[s.item.Group] == 0 {
		br.completeGroups++
		br.urgency = max(br.urgency, urgencyGroup)
		if br.completeGroups >= br.batch.TargetGroups || br.completeGroups == len(br.unfinishedInGroup) {
			br.urgency = urgencyStep
		}
		if br.completeGroups == br.batch.TargetGroups {
			br.runner.Logger.Info("awaited groups complete", slog.String("batch", br.batch.ID), slog.String("item", s.item.ID),
				slog.Int("groups", br.completeGroups), slog.Duration("after", time.Since(br.head.Submitted())))
		}
	}
	br.signalAppend()
}

// signalAppend wakes appendLoop.
func (br *batchRun) signalAppend() {
	select {
	case br.appendSignal <- struct{}{}:
	default:
	}
}

// finishAllDead finishes all unfinished items as dead, including running ones. The
// caller holds the runner's mutex.
func (br *batchRun) finishAllDead(_ time.Time, reason string) {
	for _, s := range br.items {
		if s.done {
			continue
		}
		br.finishDead(s, reason)
	}
	br.urgency = urgencyStep
}

// finishDead finishes an item as dead without another run. The caller holds the
// runner's mutex.
func (br *batchRun) finishDead(s *itemState, reason string) {
	br.runner.Logger.Info("item marked dead", slog.String("item", s.item.ID),
		slog.String("batch", br.batch.ID), slog.String("reason", reason))
	br.finish(s, batch.Result{Item: s.item.ID, State: batch.StateDead})
}
