// Package duty gives the fleet's duties towards the platform to one host at a time. Since
// the platform doesn't check fencing tokens, a holder stops in time by its own clocks, and
// its successor waits until no call of the holder can be under way.
package duty

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/lease"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

// key is the key of the lease of the duties. All hosts mirror it.
const key = mirror.LivePrefix + "duties"

const (
	// leaseTTL is how long the duties stay with a host that has stopped renewing.
	leaseTTL = 2 * time.Second
	// CallTimeout bounds one call to the platform. A call begins at the latest CallTimeout
	// before the lease may end.
	CallTimeout = 500 * time.Millisecond
	// startDelay lets the hosts of a starting fleet be listed before one takes the duties.
	startDelay = time.Second
	// turnInterval is the time that each candidate has before the next one tries.
	turnInterval = 400 * time.Millisecond
	// pollInterval is the time between two looks at the list of candidates.
	pollInterval = 100 * time.Millisecond
	// eligibleInterval is the time between two checks whether the holder may go on.
	eligibleInterval = time.Second
)

// Term is one period in which this host holds the duties.
type Term struct {
	// Fence rises with each new holder.
	Fence int64
}

// ServerOrder orders the number of servers that a service has in an availability zone.
type ServerOrder struct {
	Service string
	Zone    string
	Servers int
	// Spot orders cheaper servers, which may be reclaimed.
	Spot bool
}

// Platform is the platform's interface for duties. An error has the kind not-owner if the
// term may have ended, unavailable if the platform carried nothing out, overloaded if it
// limits the calls, conflict if it has no such servers, bad-request if it refuses the call
// for good, and outcome-unknown if the answer was lost. Only after outcome-unknown may the
// call have been carried out.
type Platform interface {
	// ReportUsage reports the counts of requests by account of one window.
	ReportUsage(ctx context.Context, term Term, window int64, counts map[string]int64) error
	OrderServers(ctx context.Context, term Term, order ServerOrder) error
}

// Holder holds the duties while this host is the chosen one. The exported fields are set
// before Run.
type Holder struct {
	// Candidates returns the ids of the hosts that may hold the duties. It may change at any
	// time, and hosts may have different lists.
	Candidates func() []string
	// Eligible reports whether this host may hold the duties; nil means that it may. A holder
	// that no longer may gives them up.
	Eligible func() bool
	Logger   *slog.Logger
	// Self is the id of this host.
	Self string
	// Spacing is the least time between calls of two holders.
	Spacing time.Duration
	Store   kv.Store

	mu sync.Mutex
	// active is set while calls may begin.
	active bool
	// calls counts the calls to the platform under way, and idle is closed when the last of
	// them ends. It is nil without a waiter.
	calls int
	idle  chan struct{}
	// changed is closed and replaced when another host gets or loses the duties.
	changed chan struct{}
	// current is the id of the holder according to the store, and last the one before it
	// while there is none. vacantSince is when this host learned that there is none.
	current, last string
	vacantSince   time.Time
	// lease is that of the present attempt to hold the duties. It is nil while this host isn't
	// eligible or is leaving.
	lease *lease.Holder
}

// Run holds the duties whenever it is this host's turn, until ctx ends. It then gives them
// up once the last call has ended.
func (h *Holder) Run(ctx context.Context) error {
	h.mu.Lock()
	h.vacantSince = time.Now().Add(startDelay)
	h.mu.Unlock()
	unregister := h.observe()
	defer unregister()
	for ctx.Err() == nil {
		if !h.eligible() {
			wait.For(ctx, eligibleInterval)
			continue
		}
		if err := h.holdWhileEligible(ctx); err != nil {
			return err
		}
	}
	return nil
}

// holdWhileEligible takes part in the choice of the holder until ctx ends or this host is no
// longer eligible.
func (h *Holder) holdWhileEligible(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	held := &lease.Holder{
		AwaitTurn: h.awaitTurn, ID: h.Self, Key: key, Logger: h.Logger, Margin: CallTimeout, Name: "duties",
		Store: h.Store, TakeoverDelay: max(h.Spacing, leaseTTL), TTL: leaseTTL, WhileHeld: h.whileHeld,
	}
	h.setLease(held)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		for wait.For(ctx, eligibleInterval) {
			if !h.eligible() {
				h.Logger.LogAttrs(ctx, slog.LevelInfo, "duties given up: the host is no longer eligible")
				return nil
			}
		}
		return nil
	})
	group.Go(func() error { return held.Run(ctx) })
	return group.Wait()
}

// whileHeld is called while this host holds the duties. It returns only when no call is under
// way, since the lease is ended after that.
func (h *Holder) whileHeld(ctx context.Context, grant lease.Grant) error {
	h.setActive(true)
	h.Logger.LogAttrs(ctx, slog.LevelInfo, "duties taken", slog.Int64("fence", grant.FencingToken))
	<-ctx.Done()
	h.setActive(false)
	h.mu.Lock()
	for h.calls > 0 {
		if h.idle == nil {
			h.idle = make(chan struct{})
		}
		idle := h.idle
		h.mu.Unlock()
		<-idle
		h.mu.Lock()
	}
	h.mu.Unlock()
	h.Logger.LogAttrs(ctx, slog.LevelInfo, "duties no longer held", slog.Int64("fence", grant.FencingToken))
	return nil
}

// Term returns the term in which this host holds the duties now. It returns false if it may
// not hold them.
func (h *Holder) Term() (Term, bool) {
	h.mu.Lock()
	held, active := h.lease, h.active
	h.mu.Unlock()
	if held == nil || !active {
		return Term{}, false
	}
	fence, _, ok := held.Held()
	return Term{Fence: fence}, ok
}

// Check returns an error of kind not-owner if the term may have ended. It is called just
// before a call is written.
func (h *Holder) Check(t Term) error {
	if current, ok := h.Term(); !ok || current != t {
		return kind.New(kind.NotOwner, "the term %d of the duties may have ended", t.Fence)
	}
	return nil
}

// Condition returns the condition that holds in the store as long as the term lasts, for writes
// that only its holder may make.
func (*Holder) Condition(t Term) kv.Condition { return kv.Condition{Key: key, ModRevision: t.Fence} }

// Call makes one call to the platform within a term. The context of call ends after
// CallTimeout; call must not leave anything behind that could arrive later.
func (h *Holder) Call(ctx context.Context, t Term, call func(ctx context.Context) error) error {
	h.mu.Lock()
	h.calls++
	h.mu.Unlock()
	defer h.endCall()
	if err := h.Check(t); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return call(ctx)
}

func (h *Holder) endCall() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls--
	if h.calls == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

// Current returns the id of the host that holds the duties as far as this host knows. It
// may not act yet. ok is false if there is none.
func (h *Holder) Current() (id string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.current != ""
}

// Successor returns the candidate that is the first to take the duties over, or the empty
// string if there is none.
func (h *Holder) Successor() string {
	h.mu.Lock()
	current := h.current
	h.mu.Unlock()
	for _, id := range h.ranked(current) {
		if id != current {
			return id
		}
	}
	return ""
}

// Changed returns a channel that is closed when the holder changes.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changedChannel()
}

// Apply applies a change from the mirror of mirror.LivePrefix. Other keys are ignored.
func (h *Holder) Apply(change mirror.Change) {
	for _, event := range change.Events {
		if event.Entry.Key != key {
			continue
		}
		var holder string
		if !event.Delete {
			holder = lease.HolderOf(event.Entry)
		}
		h.setCurrent(holder)
	}
}

func (h *Holder) setCurrent(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id == h.current {
		return
	}
	if id == "" {
		h.last, h.vacantSince = h.current, time.Now()
	}
	h.current = id
	close(h.changedChannel())
	h.changed = nil
	h.Logger.Info("holder of the duties changed", slog.String("holder", id))
}

func (h *Holder) setLease(held *lease.Holder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease = held
}

func (h *Holder) setActive(active bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active = active
}

func (h *Holder) eligible() bool { return h.Eligible == nil || h.Eligible() }

// awaitTurn waits until the duties have no holder and the better candidates have had their
// turns.
func (h *Holder) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		current, last, since := h.current, h.last, h.vacantSince
		changed := h.changedChannel()
		h.mu.Unlock()
		if current != "" {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		rank := slices.Index(h.ranked(last), h.Self)
		if rank >= 0 && time.Since(since) >= time.Duration(rank)*turnInterval {
			return
		}
		wait.For(ctx, pollInterval)
	}
}

// ranked returns the candidates in the order in which they take the duties over. The former
// holder comes last, since it may have died.
func (h *Holder) ranked(former string) []string {
	ranked := rendezvous.Rank("duties", h.Candidates())
	slices.SortStableFunc(ranked, func(a, b string) int {
		return cmp.Compare(boolToInt(a == former), boolToInt(b == former))
	})
	return ranked
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// changedChannel returns the channel that is closed when the holder changes. h.mu is held.
func (h *Holder) changedChannel() chan struct{} {
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// observe registers the metric that tells whether this host holds the duties.
func (h *Holder) observe() (unregister func()) {
	meter := otel.Meter("nutmegway/duty")
	held, err := meter.Int64ObservableGauge("nutmegway.duty.held",
		metric.WithDescription("One if this host holds the fleet's duties towards the platform, otherwise zero."))
	if err != nil {
		h.Logger.Error("cannot create metric", slog.Any("error", err))
		return func() {}
	}
	registration, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		_, ok := h.Term()
		o.ObserveInt64(held, int64(boolToInt(ok)))
		return nil
	}, held)
	if err != nil {
		h.Logger.Error("cannot create metric", slog.Any("error", err))
		return func() {}
	}
	return func() { _ = registration.Unregister() }
}
