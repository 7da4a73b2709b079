// Package runner generates the samples of one trainer's groups. It asks a
// scheduling policy which attempts to start and to cancel, dispatches them, and
// passes finished samples on.
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
	// minDecisionInterval is the minimum time between two decisions.
	minDecisionInterval = 10 * time.Millisecond
	// maxDecisionInterval is the maximum time between two decisions. It bounds
	// the time until a stalled attempt is detected.
	maxDecisionInterval = 250 * time.Millisecond
	// stepGap is the time without an order after which the next order is taken to
	// belong to a new training step.
	stepGap = 300 * time.Millisecond
	// meanTokensGain is the weight of a new sample in the moving average of the
	// length.
	meanTokensGain = 1.0 / 64
	// tokenRateGain is the weight of a new sample in the moving average of the
	// token rate.
	tokenRateGain = 1.0 / 16
)

// Settings holds the configured and published values of the service. Runner
// reads them again for each decision.
type Settings struct {
	// Engines is the number of backend servers of the service.
	Engines int
	Model   string
	// SurplusSamples is the maximum number of spare samples per group.
	SurplusSamples int
	// Published is the newest published weight version and PublishedAt the time
	// at which it became known.
	Published   int64
	PublishedAt time.Time
	// MeanPublishInterval is the mean interval between versions; zero is unknown.
	MeanPublishInterval time.Duration
	Team                string
	CostWeights         schedule.CostWeights
}

// Runner runs the groups of one trainer. Its exported fields must be set before Run
// is called.
type Runner struct {
	// AttemptPrefix is the prefix of the request ids of attempts and makes them
	// unique among runners.
	AttemptPrefix string
	Dispatcher    dispatch.Dispatcher
	// Finish is called for each finished or void sample. Its result is ignored.
	Finish func(sample.Sample) bool
	// BacklogFull reports whether no new attempt may start because too many
	// results wait to be committed.
	BacklogFull func() bool
	Logger      *slog.Logger
	Now         func() time.Time
	Policy      schedule.Policy
	// Refresh reads the newest published version from its source and returns
	// it. It is called when an attempt has a newer version than
	// Settings.Published.
	Refresh  func(ctx context.Context) int64
	Service  string
	Settings func() Settings
	Trainer  string

	mu       sync.Mutex
	attempts map[string]*attempt
	// burstSize is the number of samples in the current burst of orders, and
	// stepSize that in the burst before it.
	burstSize    int
	lastOrderAt  time.Time
	groups       map[string]*group
	accepted     []*group
	meanTokens   float64
	tokenRate    float64
	lastSequence int64
	attemptCount int64
	unread       int
	stepSize     int
	wake         chan struct{}
	window       window
	initOnce     sync.Once
}

// group is an accepted order. It is kept until RemoveGroup is called, since its
// finished samples may have to be generated again.
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

// wakeUp makes Run take a new decision.
func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Add adds an accepted group. wanted holds the indices of its unfinished samples, and
// lengths the lengths in tokens of the finished ones.
func (r *Runner) Add(order sample.Group, wanted, lengths []int) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSequence++
	now := r.Now()
	if now.Sub(r.lastOrderAt) > stepGap {
		r.stepSize, r.burstSize = r.burstSize, 0
	}
	r.lastOrderAt = now
	r.burstSize += order.SampleCount
	added := &group{lengths: lengths, order: order, samples: map[int]*pendingSample{}, sequence: r.lastSequence}
	for _, index := range wanted {
		added.samples[index] = &pendingSample{key: sample.Key{Group: order.ID, Index: index}}
	}
	r.groups[order.ID] = added
	r.accepted = append(r.accepted, added)
	r.wakeUp()
}

// RemoveGroup removes a group and cancels its attempts.
func (r *Runner) RemoveGroup(groupID string) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	removed, ok := r.groups[groupID]
	if !ok {
		return
	}
	for _, pending := range removed.samples {
		for _, a := range pending.attempts {
			a.cancel()
		}
	}
	delete(r.groups, groupID)
	r.accepted = slices.DeleteFunc(r.accepted, func(g *group) bool { return g == removed })
	r.wakeUp()
}

// Regenerate generates a sample again from the start, unless its group is gone.
func (r *Runner) Regenerate(key sample.Key) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if g, ok := r.groups[key.Group]; ok {
		g.samples[key.Index] = &pendingSample{key: key}
		r.wakeUp()
	}
}

// SetUnread sets the number of finished samples that the trainer has not read.
func (r *Runner) SetUnread(unread int) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unread != unread {
		r.unread = unread
		r.wakeUp()
	}
}

// Run starts and cancels attempts as the policy decides until ctx ends, then waits
// for them to end.
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
			// Wait, so that events in quick succession share one decision.
			sleep(ctx, minDecisionInterval)
		}
	}
	return running.Wait()
}

// untilNextDecision returns the time to wait before the next decision if no event
// occurs.
func (r *Runner) untilNextDecision(wakeAt time.Time) time.Duration {
	if wakeAt.IsZero() {
		return maxDecisionInterval
	}
	return min(maxDecisionInterval, max(minDecisionInterval, wakeAt.Sub(r.Now())))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// decide asks the policy for a decision and carries it out. While the backlog
// is full or starts are paused, it starts no attempts. It returns the time at
// which the policy wants to decide again; zero if it has none.
func (r *Runner) decide(ctx context.Context, running *errgroup.Group) time.Time {
	settings := r.Settings()
	backlogFull := r.BacklogFull()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.setEngines(settings.Engines)
	state := r.state(settings)
	if backlogFull || r.window.paused(state.Now) {
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

// state returns the input of the policy. r.mu must be held.
func (r *Runner) state(settings Settings) schedule.State {
	state := schedule.State{
		Engines:             settings.Engines,
		MeanTokens:          r.meanTokens,
		Now:                 r.Now(),
		SurplusSamples:      settings.SurplusSamples,
		Published:           settings.Published,
		PublishedAt:         settings.PublishedAt,
		MeanPublishInterval: settings.MeanPublishInterval,
		StepSize:            r.stepSize,
		TokenRate:           r.tokenRate,
		Unread:              r.unread,
		CostWeights:         settings.CostWeights,
		Window:              r.window.size(),
	}
	for _, g := range r.accepted {
		if len(g.samples) > 0 {
			state.Groups = append(state.Groups, g.view())
		}
	}
	return state
}

// view returns the group as the policy sees it. Runner.mu must be held.
func (g *group) view() schedule.Group {
	view := schedule.Group{Order: g.order, Lengths: g.lengths, Sequence: g.sequence}
	for index, pending := range g.samples {
		s := schedule.Sample{Index: index, NotBefore: pending.notBefore}
		for _, a := range pending.attempts {
			s.Attempts = append(s.Attempts, a.view())
		}
		view.Samples = append(view.Samples, s)
	}
	slices.SortFunc(view.Samples, func(a, b schedule.Sample) int { return a.Index - b.Index })
	return view
}
