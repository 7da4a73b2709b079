// Package batchrun runs the batches that this host owns: it places their items on model
// engines, resumes an item on another engine when one stalls, has texts scored, and
// stores the results. It also takes over batches whose owner is gone.
package batchrun

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/recovery"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/placing"
	"github.com/nutmegway/nutmegway/internal/rollout/reward"
)

const (
	// scheduleInterval is how often the scheduler runs without being woken, so that
	// back-offs that have expired take effect.
	scheduleInterval = 100 * time.Millisecond
	// firstEventTimeout is the longest time to the first event of a stream. It
	// allows for prompt processing and a short queue at the engine.
	firstEventTimeout = 1500 * time.Millisecond
	// eventTimeout is the time without an event after which a stream counts as stalled.
	// An engine takes 40 ms for an event, and 160 ms when it is slowed down by a factor
	// of four.
	eventTimeout = time.Second
	// finishPollInterval is how often AwaitClosed checks whether all batches
	// are closed.
	finishPollInterval = 20 * time.Millisecond
	// handoverTimeout bounds the handover of one batch by a leaving host.
	handoverTimeout = 2 * time.Second
)

// Runner runs the batches that this host owns. The exported fields are set before
// Start.
type Runner struct {
	Batches *batch.Store
	// Config returns the configuration in force; nil if there is none yet.
	Config func() *config.Config
	// CrashDetector checks whether an engine that broke off a run without an event has ended;
	// nil disables the check.
	CrashDetector *crashdetect.Detector
	Generation    *generation.Client
	// Index holds the newest known heads. A batch whose known head is newer than that of
	// a handover isn't started.
	Index     *batch.Index
	Inventory *inventory.Inventory
	Logger    *slog.Logger
	// OnReleased is called with the head of a batch that this host has released; it may
	// be nil.
	OnReleased func(context.Context, batch.Head)
	// Quarantine admits the contents of items; nil admits all.
	Quarantine forward.Quarantine
	// RefreshConfig reads the configuration from the store and puts it in force. Items are
	// given up by their route only after that. Nil means that Config is always current.
	RefreshConfig func(context.Context) error
	// Rewards sends the reward requests of items whose text is complete.
	Rewards *forward.Forwarder
	// Self is this incarnation of this host.
	Self batch.Owner

	// mu guards the fields below, except those that only Start sets.
	mu          sync.Mutex
	closed      closedCache
	configCheck configCheck
	// draining is set once Drain stops all items; nothing is scheduled any more.
	draining bool
	failures failureCounts
	// finishing is set once this host accepts no new batches.
	finishing bool
	group     *errgroup.Group
	// held is the memory of the batches in runs.
	held    atomic.Int64
	metrics instruments
	// lastWaitLog is when a line about waiting items was last logged.
	lastWaitLog time.Time
	// paces holds for how long items occupy slots, by service.
	paces map[string]*pace
	// rewards holds the reward calls that have no answer yet.
	rewards reward.Queue[*pendingScore]
	// runs holds the batches that this host runs, by ID.
	runs map[string]*batchRun
	// medianEventInterval is the median event interval of the engines, by service.
	medianEventInterval map[string]time.Duration
	// wake wakes the scheduler.
	wake chan struct{}
}

// Start prepares the runner. Its later goroutines run in group.
func (r *Runner) Start(group *errgroup.Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group = group
	r.metrics = newInstruments(r.Logger)
	r.registerWaiting()
	if r.Rewards != nil {
		r.rewards.Choose = r.Rewards.Chooser().Choose
	}
	r.runs = make(map[string]*batchRun)
	r.medianEventInterval = make(map[string]time.Duration)
	r.wake = make(chan struct{}, 1)
}

// Go runs f in a goroutine of the runner's group. If f panics, the panic is
// logged with the name work, and only this goroutine ends.
func (r *Runner) Go(work string, f func() error) {
	r.group.Go(func() error { return r.callRecovered(work, f) })
}

// callRecovered calls f. If f panics, the panic is logged and the error is nil.
func (r *Runner) callRecovered(work string, f func() error) error {
	panicked := false
	err := recovery.Call(r.Logger, work, func() error {
		panicked = true
		err := f()
		panicked = false
		return err
	})
	if panicked {
		return nil
	}
	return err
}

// Run schedules items and reward calls until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.Inventory.Changed()
		r.schedule(ctx)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-changed:
		case <-ticker.C:
		}
	}
	r.abort()
	return nil
}

// abort cancels all batches and accepts no more, so that the host can end. Batches that it
// has not handed over are taken over by other hosts.
func (r *Runner) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishing = true
	for _, br := range r.runs {
		br.cancel()
	}
}

// wakeUp makes the scheduler run soon.
func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Adopt starts to run a batch that this host owns, unless it runs already, the host
// accepts no new batches, or a newer head is known: whoever changed the head since may
// have run or closed the batch. stored are the results in the store, and partials are
// the partial texts that an earlier owner saved.
func (r *Runner) Adopt(
	ctx context.Context, head batch.Head, b batch.Batch, stored []batch.Result, partials []batch.Partial,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, running := r.runs[head.ID]; running || r.finishing {
		return
	}
	if newest, ok := r.Index.Get(head.ID); ok && newest.Revision > head.Revision {
		r.Logger.LogAttrs(ctx, slog.LevelInfo, "outdated handover of batch ignored", slog.String("batch", head.ID),
			slog.Int64("revision", head.Revision), slog.Int64("newest", newest.Revision),
			slog.String("owner", newest.Owner.Host), slog.Bool("open", newest.IsOpen()))
		return
	}
	br := newRun(r, head, b, stored, partials)
	br.ctx, br.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.runs[head.ID] = br
	r.held.Add(br.bytes)
	r.closed.remove(head.ID)
	br.queueRewards()
	r.Logger.LogAttrs(ctx, slog.LevelInfo, "batch adopted", slog.String("batch", head.ID),
		slog.String("model", b.Model), slog.Int64("step", b.Step), slog.Int64("min-version", b.MinVersion),
		slog.Int("items", len(b.Items)), slog.Int("target-groups", b.TargetGroups), slog.Int("listed", len(stored)), slog.Int("partial", len(partials)),
		slog.Int64("revision", head.Revision))
	for work, loop := range map[string]func(context.Context) error{"list": br.appendLoop, "save": br.savePartialsLoop} {
		r.group.Go(func() error { return recovery.Supervise(br.ctx, r.Logger, work+" results of "+head.ID, loop) })
	}
	r.wakeUp()
}

// HeldBytes returns the memory that the batches of this host hold.
func (r *Runner) HeldBytes() int64 { return r.held.Load() }

// Runs reports whether this host runs the batch.
func (r *Runner) Runs(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.runs[id]
	return ok
}

// HandleHead handles a changed head: a batch that was closed or has another owner stops.
func (r *Runner) HandleHead(head batch.Head) {
	r.mu.Lock()
	br := r.runs[head.ID]
	// The head may be older than one that this host wrote itself.
	outdated := br != nil && head.Revision < br.head.Revision
	r.mu.Unlock()
	if br == nil || outdated || head.IsOpen() && head.Owner == r.Self {
		return
	}
	r.stop(br, head)
}

// stop cancels the streams and reward calls of a batch and removes it from the runner. The
// index keeps head, so that a late handover doesn't start the batch again.
func (r *Runner) stop(br *batchRun, head batch.Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[head.ID] != br {
		return
	}
	delete(r.runs, head.ID)
	r.held.Add(-br.bytes)
	r.Index.Put(head)
	r.cacheClosed(br, head)
	br.cancel()
	br.cancelRewards()
	done, running, started := br.countItems()
	r.Logger.Info("batch stopped", slog.String("batch", head.ID), slog.Bool("ended", head.Ended),
		slog.Bool("done", head.Done), slog.String("owner", head.Owner.Host), slog.Int("items", len(br.items)),
		slog.Int("finished", done), slog.Int("running", running), slog.Int("started", started),
		slog.Duration("after", time.Since(head.Submitted())))
}

// Page returns the stored results from position after on. If there are none yet, it waits
// for one until ctx ends or the batch stops. It returns false if this host neither runs
// the batch nor has its final results.
func (r *Runner) Page(ctx context.Context, id string, after int) (batch.Page, bool) {
	for {
		r.mu.Lock()
		br := r.runs[id]
		if br == nil {
			page, ok := r.closed.page(id, after)
			r.mu.Unlock()
			return page, ok
		}
		stored, changed, total := br.stored, br.changed, br.head.Total
		r.mu.Unlock()
		if after < len(stored) {
			return batch.NewPage(stored[after:], total, after), true
		}
		select {
		case <-changed:
		case <-br.ctx.Done():
			// The batch is being handed over or was closed.
			r.mu.Lock()
			page, ok := r.closed.page(id, after)
			r.mu.Unlock()
			return page, ok
		case <-ctx.Done():
			return batch.Page{Next: after, Total: total}, true
		}
	}
}

// Body returns the request body of an item of a batch that this host runs. It returns
// false if the host doesn't run the batch or the batch has no such item.
func (r *Runner) Body(id, item string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	br := r.runs[id]
	if br == nil {
		return nil, false
	}
	i, ok := br.byID[item]
	if !ok {
		return nil, false
	}
	return br.items[i].item.Body, true
}

// schedule starts the items and reward calls that can start, in the order in which their
// batches were submitted. Items whose runs keep failing start after all others. The items of a batch that has no route, or is older than its
// route's item limit, are finished as dead, once the store has confirmed the configuration.
// A batch that was accepted under a newer configuration waits for that one.
func (r *Runner) schedule(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.Config()
	if c == nil || r.draining {
		return
	}
	byService := make(map[string][]inventory.Candidate)
	var placements []placement
	runs := slices.SortedFunc(maps.Values(r.runs), func(a, b *batchRun) int {
		return cmp.Compare(a.head.SubmittedMillis, b.head.SubmittedMillis)
	})
	now := time.Now()
	for _, br := range runs {
		if br.ctx.Err() != nil {
			continue // It is being handed over.
		}
		route, expiry := br.findRoute(c, now)
		if expiry != "" || c.Version < br.batch.ConfigVersion {
			if !r.isConfigCurrent(ctx, br, now) {
				continue
			}
		} else {
			br.configDoubtedAt = time.Time{}
		}
		if expiry != "" {
			br.finishAllDead(now, expiry)
			continue
		}
		service := route.PickService(0)
		candidates, ok := byService[service]
		if !ok {
			candidates = r.candidates(c, service)
			r.medianEventInterval[service] = placing.MedianEventInterval(candidates)
		}
		byService[service] = candidates
		placements = append(placements, placement{batch: br, route: route, service: service})
	}
	for _, failing := range []bool{false, true} {
		for _, p := range placements {
			p.failing = failing
			p.batch.place(p, byService[p.service], now)
		}
	}
	r.reportWaiting(now)
	r.startRewards(c, now)
}

// candidates returns the engines of a service. An engine that hasn't reported its memory has that
// of the configuration.
func (r *Runner) candidates(c *config.Config, service string) []inventory.Candidate {
	candidates := r.Inventory.Candidates(service)
	for i := range candidates {
		if candidates[i].KVTokens == 0 && c != nil {
			candidates[i].KVTokens = c.Services[service].KVTokens
		}
	}
	return candidates
}

// AwaitClosed makes the runner accept no new batches, and waits until it runs
// none or ctx ends. Most batches close before the host has to exit. This is
// cheaper than a handover, after which the new owner of the batch has to
// connect to all its engines.
func (r *Runner) AwaitClosed(ctx context.Context) {
	r.mu.Lock()
	r.finishing = true
	r.mu.Unlock()
	ticker := time.NewTicker(finishPollInterval)
	defer ticker.Stop()
	for r.Running() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Drain starts no more items and releases all batches.
func (r *Runner) Drain(ctx context.Context) {
	r.mu.Lock()
	r.draining, r.finishing = true, true
	r.mu.Unlock()
	r.release(ctx, func(batch.Head) bool { return true })
}

// release stops the items of the batches that selected returns true for, and releases these
// batches, so that other hosts take them over with the partial texts received so far.
func (r *Runner) release(ctx context.Context, selected func(batch.Head) bool) {
	r.mu.Lock()
	runs := slices.Collect(maps.Values(r.runs))
	heads := make([]batch.Head, len(runs))
	for i, br := range runs {
		heads[i] = br.head
	}
	r.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	for i, br := range runs {
		if !selected(heads[i]) {
			continue
		}
		group.Go(func() error {
			br.handOver(ctx)
			return nil
		})
	}
	_ = group.Wait()
}

// isFinishing reports whether this host has stopped accepting batches.
func (r *Runner) isFinishing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finishing
}

// Running returns the number of batches that this host runs.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}
