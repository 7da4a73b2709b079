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
	// minDecisionInterval is the shortest time between two decisions.
	minDecisionInterval = 10 * time.Millisecond
	// maxDecisionInterval is the longest time without a decision, so that stalled
	// attempts are noticed.
	maxDecisionInterval = 250 * time.Millisecond
	// stepGap is the time without an order that separates the orders of two
	// steps.
	stepGap = 300 * time.Millisecond
	// meanTokensGain is the weight of a new sample in the mean length.
	meanTokensGain = 1.0 / 64
	// tokenRateGain is the weight of a new sample in the usual token rate.
	tokenRateGain = 1.0 / 16
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
	CostWeights  schedule.CostWeights
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
	batchSize  int
	lastAdd    time.Time
	groups     map[string]*group
	accepted   []*group
	meanTokens float64
	tokenRate  float64
	sequence   int64
	started    int64
	unread     int
	stepSize   int
	wake       chan struct{}
	window     window
	initOnce   sync.Once
}

// group is an accepted order with unfinished samples.
type group struct {
	lengths  []int
	order    sample.Group
	samples  map[int]*pendingSample
	sequence int64
}

// pendingSample is an unfinished sample.
type pendingSample struct {
	attempts  []*attempt
	failures  int
	key       sample.Key
	notBefore time.Time
}

func (r *Runner) init() {
	r.initOnce.Do(func() {
		r.attempts = make(map[string]*attempt)
		r.groups = make(map[string]*group)
		r.wake = make(chan struct{}, 1)
	})
}

func (r *Runner) wakeUp() {
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
	if now.Sub(r.lastAdd) > stepGap {
		r.stepSize, r.batchSize = r.batchSize, 0
	}
	r.lastAdd = now
	r.batchSize += order.SampleCount
	added := &group{lengths: lengths, order: order, samples: map[int]*pendingSample{}, sequence: r.sequence}
	for _, index := range wanted {
		added.samples[index] = &pendingSample{key: sample.Key{Group: order.ID, Index: index}}
	}
	r.groups[order.ID] = added
	r.accepted = append(r.accepted, added)
	r.wakeUp()
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
	r.accepted = slices.DeleteFunc(r.accepted, func(g *group) bool { return g == dropped })
	r.wakeUp()
}

// Redo makes a sample again.
func (r *Runner) Redo(key sample.Key) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if g, ok := r.groups[key.Group]; ok {
		g.samples[key.Index] = &pendingSample{key: key}
		r.wakeUp()
	}
}

// Unread notes how many finished samples the trainer has not read.
func (r *Runner) Unread(unread int) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unread != unread {
		r.unread = unread
		r.wakeUp()
	}
}

// Run starts and ends generations until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	r.init()
	running, ctx := errgroup.WithContext(ctx)
	timer := time.NewTimer(maxDecisionInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		wakeAt := r.decide(ctx, running)
		timer.Reset(r.untilNextDecision(wakeAt))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
			// Events that arrive together share one decision.
			sleep(ctx, minDecisionInterval)
		}
	}
	return running.Wait()
}

func (r *Runner) untilNextDecision(wakeAt time.Time) time.Duration {
	if wakeAt.IsZero() {
		return maxDecisionInterval
	}
	return min(maxDecisionInterval, max(minDecisionInterval, wakeAt.Sub(r.Now())))
}

func sleep(ctx context.Context, d time.Duration) {
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
	r.window.setEngines(settings.Engines)
	state := r.state(settings)
	if full || r.window.paused(state.Now) {
		state.Window = 0
	}
	decision := r.Policy.Decide(state)
	for _, id := range decision.Cancel {
		if a, ok := r.attempts[id]; ok {
			a.cancelledByPolicy = true
			a.cancel()
		}
	}
	if state.Window == 0 {
		return decision.WakeAt
	}
	for _, start := range decision.Starts {
		if a := r.newAttempt(ctx, settings, start); a != nil {
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
		MeanTokens:   r.meanTokens,
		Now:          r.Now(),
		OverAsk:      settings.OverAsk,
		Published:    settings.Published,
		PublishedAt:  settings.PublishedAt,
		PublishEvery: settings.PublishEvery,
		StepSize:     r.stepSize,
		TokenRate:    r.tokenRate,
		Unread:       r.unread,
		CostWeights:  settings.CostWeights,
		Window:       r.window.size(),
	}
	for _, g := range r.accepted {
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
