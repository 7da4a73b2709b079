// Package runner runs the generations of one trainer's groups. It asks a
// schedule policy what to start and end, and passes finished samples on.
package runner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
	"github.com/nutmegway/nutmegway/internal/rollout/schedule"
)

const (
	// decideEvery is the shortest time between two decisions.
	decideEvery = 10 * time.Millisecond
	// checkEvery is the longest time without a decision, so that stalled
	// attempts are noticed.
	checkEvery = 250 * time.Millisecond
	// burstGap is the time without an order that separates the orders of two
	// steps.
	burstGap = 300 * time.Millisecond
	// lengthsWeight is the weight of a new sample in the mean length.
	lengthsWeight = 1.0 / 64
	// rateWeight is the weight of a new sample in the usual token rate.
	rateWeight = 1.0 / 16
)

// Settings are what the runner reads anew for each decision.
type Settings struct {
	// Engines is the number of backend servers of the service.
	Engines int
	Model   string
	OverAsk int
	// Published is the newest version of the weights and PublishedAt the time
	// when it became known.
	Published   int64
	PublishedAt time.Time
	// PublishEvery is the mean time between versions; zero is unknown.
	PublishEvery time.Duration
	Team         string
	Weighing     schedule.Weighing
}

// Runner runs the groups of one trainer. The fields are set before Run.
type Runner struct {
	// AttemptPrefix makes the request ids of this runner unique.
	AttemptPrefix string
	Dispatcher    dispatch.Dispatcher
	// Finish takes a finished sample.
	Finish func(sample.Sample) bool
	// Full reports that no new work must start.
	Full   func() bool
	Logger *slog.Logger
	Now    func() time.Time
	Policy schedule.Policy
	// Refresh renews the newest version from the source, for a version that
	// is not known here yet, and returns it.
	Refresh  func(ctx context.Context) int64
	Service  string
	Settings func() Settings
	Trainer  string

	mu       sync.Mutex
	attempts map[string]*attempt
	// batchSize is the number of samples of the last burst of orders.
	batchSize int
	lastAdd   time.Time
	groups    map[string]*group
	order     []*group
	mean      float64
	rate      float64
	sequence  int64
	started   int64
	unread    int
	stepSize  int
	wake      chan struct{}
	window    window
	once      sync.Once
}

// group is an accepted order with unfinished samples.
type group struct {
	lengths  []int
	order    sample.Group
	samples  map[int]*work
	sequence int64
}

// work is an unfinished sample.
type work struct {
	attempts  []*attempt
	failures  int
	key       sample.Key
	notBefore time.Time
}

func (r *Runner) init() {
	r.once.Do(func() {
		r.attempts = make(map[string]*attempt)
		r.groups = make(map[string]*group)
		r.wake = make(chan struct{}, 1)
	})
}

func (r *Runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Add takes an accepted group of which the indices wanted are not finished.
func (r *Runner) Add(order sample.Group, wanted, lengths []int) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	now := r.Now()
	if now.Sub(r.lastAdd) > burstGap {
		r.stepSize, r.batchSize = r.batchSize, 0
	}
	r.lastAdd = now
	r.batchSize += order.SampleCount
	added := &group{lengths: lengths, order: order, samples: map[int]*work{}, sequence: r.sequence}
	for _, index := range wanted {
		added.samples[index] = &work{key: sample.Key{Group: order.ID, Index: index}}
	}
	r.groups[order.ID] = added
	r.order = append(r.order, added)
	r.poke()
}

// Drop ends a cancelled group.
func (r *Runner) Drop(groupID string) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped, ok := r.groups[groupID]
	if !ok {
		return
	}
	for _, w := range dropped.samples {
		for _, a := range w.attempts {
			a.cancel()
		}
	}
	delete(r.groups, groupID)
	r.order = slices.DeleteFunc(r.order, func(g *group) bool { return g == dropped })
	r.poke()
}

// Regenerate makes a sample again.
func (r *Runner) Regenerate(key sample.Key) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if g, ok := r.groups[key.Group]; ok {
		g.samples[key.Index] = &work{key: key}
		r.poke()
	}
}

// SetUnread notes how many finished samples the trainer has not read.
func (r *Runner) SetUnread(unread int) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unread != unread {
		r.unread = unread
		r.poke()
	}
}

// Run starts and ends generations until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	r.init()
	running, ctx := errgroup.WithContext(ctx)
	timer := time.NewTimer(checkEvery)
	defer timer.Stop()
	for ctx.Err() == nil {
		wakeAt := r.decide(ctx, running)
		timer.Reset(r.untilNext(wakeAt))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
			// Events that arrive together share one decision.
			pause(ctx, decideEvery)
		}
	}
	return running.Wait()
}

func (r *Runner) untilNext(wakeAt time.Time) time.Duration {
	if wakeAt.IsZero() {
		return checkEvery
	}
	return min(checkEvery, max(decideEvery, wakeAt.Sub(r.Now())))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// decide asks the policy and carries the decision out.
func (r *Runner) decide(ctx context.Context, running *errgroup.Group) time.Time {
	settings := r.Settings()
	full := r.Full()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.fit(settings.Engines)
	state := r.state(settings)
	if full || r.window.paused(state.Now) {
		state.Window = 0
	}
	decision := r.Policy.Decide(state)
	for _, id := range decision.Cancel {
		if a, ok := r.attempts[id]; ok {
			a.doomed = true
			a.cancel()
		}
	}
	if state.Window == 0 {
		return decision.WakeAt
	}
	for _, start := range decision.Starts {
		if a := r.begin(ctx, settings, start); a != nil {
			running.Go(func() error {
				r.run(a)
				return nil
			})
		}
	}
	return decision.WakeAt
}

// state is what the policy decides on. The lock is held.
func (r *Runner) state(settings Settings) schedule.State {
	state := schedule.State{
		Engines:      settings.Engines,
		MeanTokens:   r.mean,
		Now:          r.Now(),
		OverAsk:      settings.OverAsk,
		Published:    settings.Published,
		PublishedAt:  settings.PublishedAt,
		PublishEvery: settings.PublishEvery,
		StepSize:     r.stepSize,
		TokenRate:    r.rate,
		Unread:       r.unread,
		Weighing:     settings.Weighing,
		Window:       r.window.size(),
	}
	for _, g := range r.order {
		if len(g.samples) > 0 {
			state.Groups = append(state.Groups, g.view())
		}
	}
	return state
}

func (g *group) view() schedule.Group {
	view := schedule.Group{Order: g.order, Lengths: g.lengths, Sequence: g.sequence}
	for index, w := range g.samples {
		s := schedule.Sample{Index: index, NotBefore: w.notBefore}
		for _, a := range w.attempts {
			s.Attempts = append(s.Attempts, a.view())
		}
		view.Samples = append(view.Samples, s)
	}
	slices.SortFunc(view.Samples, func(a, b schedule.Sample) int { return a.Index - b.Index })
	return view
}
