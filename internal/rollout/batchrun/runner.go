// Package batchrun runs the batches that this host owns: it places their items
// on model engines, goes on elsewhere when an engine stalls, and lists results.
package batchrun

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/guard"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/placing"
	"github.com/nutmegway/nutmegway/internal/rollout/reward"
)

const (
	// tickInterval is how often the schedule is looked at without a change, so
	// that waits which have passed take effect.
	tickInterval = 100 * time.Millisecond
	// firstEventWait covers the reading of a prompt and a short queue.
	firstEventWait = 1500 * time.Millisecond
	// eventWait is the longest pause of a sound stream: an engine makes an event
	// in 40 ms, and in 160 ms when it is slowed four times.
	eventWait = time.Second
	// finishInterval is how often a leaving host looks whether its batches are closed.
	finishInterval = 20 * time.Millisecond
	// handoverTimeout bounds the calls by which a leaving host gives one batch up.
	handoverTimeout = 2 * time.Second
)

// Runner runs batches. The fields are set before Run.
type Runner struct {
	Batches *batch.Store
	// Config returns the configuration in force; nil if there is none yet.
	Config     func() *config.Config
	Generation *generation.Client
	Inventory  *inventory.Inventory
	Logger     *slog.Logger
	// OnHead is told a head that the store holds and that this host did not
	// expect.
	OnHead func(batch.Head)
	// OnReleased is told the head of a batch that this host has given up; nil isn't.
	OnReleased func(context.Context, batch.Head)
	// Rewards sends the reward requests of items whose text is whole.
	Rewards *forward.Forwarder
	Self    batch.Owner

	mu       sync.Mutex
	closed   closedResults
	draining bool
	failed   failedItems
	// finishing is set once this host takes no new batches.
	finishing bool
	group     *errgroup.Group
	metrics   instruments
	// rewards are the reward calls that have no answer yet.
	rewards reward.Queue[*scoring]
	runs    map[string]*run
	// typical is the median pace of each service's engines.
	typical map[string]time.Duration
	wake    chan struct{}
}

// Start makes the runner ready. The group carries its goroutines.
func (r *Runner) Start(group *errgroup.Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group = group
	r.metrics = newInstruments(r.Logger)
	if r.Rewards != nil {
		r.rewards.Choose = r.Rewards.Chooser().Choose
	}
	r.runs = make(map[string]*run)
	r.typical = make(map[string]time.Duration)
	r.wake = make(chan struct{}, 1)
}

// Go runs a function in the runner's group. A panic ends only the function.
func (r *Runner) Go(work string, f func() error) {
	r.group.Go(func() error { return r.guarded(work, f) })
}

// guarded runs a function whose panic is logged and then ends only the function.
func (r *Runner) guarded(work string, f func() error) error {
	failed := false
	err := guard.Call(r.Logger, work, func() error {
		failed = true
		err := f()
		failed = false
		return err
	})
	if failed {
		return nil
	}
	return err
}

// Run places items until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
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
	return nil
}

func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Adopt runs a batch that this host owns. listed are the results that the
// store holds, partials what an earlier owner had received.
func (r *Runner) Adopt(
	ctx context.Context, head batch.Head, b batch.Batch, listed []batch.Result, partials []batch.Partial,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, running := r.runs[head.ID]; running || r.finishing {
		return
	}
	x := newRun(r, head, b, listed, partials)
	x.ctx, x.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.runs[head.ID] = x
	r.closed.drop(head.ID)
	x.resumeRewards()
	r.Logger.LogAttrs(ctx, slog.LevelInfo, "batch adopted", slog.String("batch", head.ID),
		slog.String("model", b.Model), slog.Int64("step", b.Step), slog.Int64("min-version", b.MinVersion),
		slog.Int("items", len(b.Items)), slog.Int("target-groups", b.TargetGroups), slog.Int("listed", len(listed)), slog.Int("partial", len(partials)),
		slog.Int64("revision", head.Revision))
	for work, loop := range map[string]func(context.Context) error{"list": x.listLoop, "save": x.saveLoop} {
		r.group.Go(func() error { return guard.Supervise(x.ctx, r.Logger, work+" results of "+head.ID, loop) })
	}
	r.wakeUp()
}

// Has reports whether this host runs the batch.
func (r *Runner) Has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.runs[id]
	return ok
}

// Observe takes over a head that has changed: a batch that was ended or has
// another owner stops.
func (r *Runner) Observe(head batch.Head) {
	r.mu.Lock()
	x := r.runs[head.ID]
	// News may be older than what this host wrote itself.
	old := x != nil && head.Revision < x.head.Revision
	r.mu.Unlock()
	if x == nil || old || head.IsOpen() && head.Owner == r.Self {
		return
	}
	r.stop(x, head)
}

// stop ends a run's streams and forgets it.
func (r *Runner) stop(x *run, head batch.Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[head.ID] != x {
		return
	}
	delete(r.runs, head.ID)
	r.keepClosed(x, head)
	x.cancel()
	x.dropRewards()
	done, running, started := x.count()
	r.Logger.Info("batch stopped", slog.String("batch", head.ID), slog.Bool("ended", head.Ended),
		slog.Bool("done", head.Done), slog.String("owner", head.Owner.Host), slog.Int("items", len(x.items)),
		slog.Int("finished", done), slog.Int("running", running), slog.Int("started", started),
		slog.Duration("after", time.Since(head.Submitted())))
}

// Page returns the listed results from position after on, waiting for one until
// ctx ends or the batch is closed. It returns false if this host neither runs the
// batch nor has its final results.
func (r *Runner) Page(ctx context.Context, id string, after int) (batch.Page, bool) {
	for {
		r.mu.Lock()
		x := r.runs[id]
		if x == nil {
			page, ok := r.closed.page(id, after)
			r.mu.Unlock()
			return page, ok
		}
		listed, changed, total := x.listed, x.changed, x.head.Total
		r.mu.Unlock()
		if after < len(listed) {
			return batch.Cut(listed[after:], total, after), true
		}
		select {
		case <-changed:
		case <-x.ctx.Done():
			// The batch is being handed over or has ended.
			r.mu.Lock()
			page, ok := r.closed.page(id, after)
			r.mu.Unlock()
			return page, ok
		case <-ctx.Done():
			return batch.Page{Next: after, Total: total}, true
		}
	}
}

// Body returns the body of an item of a batch that this host runs.
func (r *Runner) Body(id, item string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.runs[id]
	if x == nil {
		return nil, false
	}
	i, ok := x.byID[item]
	if !ok {
		return nil, false
	}
	return x.items[i].item.Body, true
}

// schedule starts what can start.
func (r *Runner) schedule(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.Config()
	if c == nil || r.draining {
		return
	}
	byService := make(map[string][]inventory.Candidate)
	runs := slices.SortedFunc(maps.Values(r.runs), func(a, b *run) int {
		return cmp.Compare(a.head.SubmittedMillis, b.head.SubmittedMillis)
	})
	now := time.Now()
	for _, x := range runs {
		route, ok := c.Match(x.batch.Host, x.batch.Target)
		if !ok {
			x.giveUp(now, "its route is gone")
			continue
		}
		if route.ItemTimeout > 0 && now.Sub(x.head.Submitted()) > route.ItemTimeout {
			x.giveUp(now, "its time is up")
			continue
		}
		service := route.PickService(0)
		candidates, ok := byService[service]
		if !ok {
			candidates = r.Inventory.Candidates(service)
			r.typical[service] = placing.Typical(candidates)
		}
		byService[service] = x.place(ctx, route, service, candidates, now)
	}
	r.startRewards(c, now)
}

// Finish takes no new batches and lets those that this host runs go on until they
// are closed or ctx ends. Most steps end sooner than a host must, and a batch that
// moves costs its new owner connections to all its engines.
func (r *Runner) Finish(ctx context.Context) {
	r.mu.Lock()
	r.finishing = true
	r.mu.Unlock()
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for r.Running() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Drain stops all items and gives the batches up, so that other hosts go on
// with what was received.
func (r *Runner) Drain(ctx context.Context) {
	r.mu.Lock()
	r.draining, r.finishing = true, true
	runs := slices.Collect(maps.Values(r.runs))
	r.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	for _, x := range runs {
		group.Go(func() error {
			x.handOver(ctx)
			return nil
		})
	}
	_ = group.Wait()
}

// isFinishing reports whether this host takes no new batches.
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
