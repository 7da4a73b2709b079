// Package lease provides leases in the key-value store. A lease has at most one
// holder at a time and a fencing token that grows with each new holder.
package lease

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

var classError = errs.Class("lease")

const (
	// DefaultTTL is the time to live of a lease whose Holder sets none.
	DefaultTTL = 5 * time.Second

	keyPrefix = "nutmegway/leases/"
	// The time to live is divided by each of the following divisors.
	//
	// marginDivisor gives the default margin.
	marginDivisor = 4
	// pollDivisor gives the maximum interval at which a lease held by another node
	// is polled.
	pollDivisor = 2
	// renewDivisor gives the interval and the timeout of renewals.
	renewDivisor = 4
	// retryDivisor gives the maximum interval between attempts to create the key, and
	// the interval between renewals after one that failed.
	retryDivisor = 16
	// revokeTimeout limits the call that revokes a lease.
	revokeTimeout = time.Second
)

// Grant is the right to act as the holder of a lease.
type Grant struct {
	// FencingToken is higher than that of all earlier holders.
	FencingToken int64
	// Name is the name of the lease.
	Name string
}

// holderRecord is the value stored under a lease's key.
type holderRecord struct {
	// Attempt identifies one attempt of a holder to create the key.
	Attempt string `json:"attempt"`
	Holder  string `json:"holder"`
}

// Holder acquires a lease and renews it. The exported fields are set before Run.
type Holder struct {
	// AwaitTurn waits until this node is to try to acquire the lease. If it is nil, the
	// node reads the key again and again until no other node holds it.
	AwaitTurn func(ctx context.Context)
	// ID identifies this node.
	ID string
	// Key is the key of the lease in the store. If it is empty, it is made from Name.
	Key    string
	Logger *slog.Logger
	// Margin is how long before the earliest possible end of the lease the holder
	// stops acting: the context of WhileHeld is cancelled and Valid returns false.
	// It covers clock drift between this node and the store. Zero means a quarter
	// of TTL.
	Margin time.Duration
	// Name is the name of the lease.
	Name string
	// WhileHeld is called when the holder is certain to hold the lease. Its context
	// is cancelled as soon as that is no longer certain. If WhileHeld returns an
	// error while the lease is held, it is called again after a pause; if it returns
	// nil, it is called again only after the state has changed and the lease is held
	// again. If WhileHeld is nil, the lease is acquired and renewed, but nothing is
	// called.
	WhileHeld func(ctx context.Context, grant Grant) error
	Store     kv.Store
	// TTL is how long the lease lasts without renewal, in whole seconds. Zero
	// means DefaultTTL.
	TTL time.Duration
	// TakeoverDelay is how long a new holder waits before it acts, so that commands
	// that an earlier holder sent just before its deadline have expired.
	TakeoverDelay time.Duration

	mu        sync.Mutex
	lifecycle Lifecycle
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	// deadlineTimer marks the lease as doubtful at the deadline.
	deadlineTimer *time.Timer
	// cancelWhileHeld cancels the context of WhileHeld.
	cancelWhileHeld context.CancelFunc
}

// Held returns the fencing token, the deadline until which the holder may act by
// the local clock, and whether it may act now. Commands that the holder sends to
// other servers must carry the token and must not be valid beyond the deadline.
func (h *Holder) Held() (fencingToken int64, deadline time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lifecycle.Held(time.Now())
}

// Valid reports whether the holder may act at now.
func (h *Holder) Valid(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _, ok := h.lifecycle.Held(now)
	return ok
}

// State returns the state of the lease.
func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lifecycle.Advance(time.Now())
	return h.lifecycle.State()
}

// Run acquires the lease, renews it, and acquires it again after losing it, until
// ctx ends. It then waits for WhileHeld to return and revokes the lease.
func (h *Holder) Run(ctx context.Context) error {
	h.mu.Lock()
	h.lifecycle.Margin = h.margin()
	h.changed = make(chan struct{})
	h.mu.Unlock()
	var held kv.LeaseID
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.runWhileHeld(groupCtx) })
	group.Go(func() error {
		for groupCtx.Err() == nil {
			h.update(groupCtx, func(l *Lifecycle, _ time.Time) { l.Acquire() })
			held = 0
			if id, ok := h.acquire(groupCtx); ok {
				held = id
				h.renewUntilLost(groupCtx, id)
			}
		}
		h.update(groupCtx, func(l *Lifecycle, _ time.Time) { l.Released() })
		return nil
	})
	err := group.Wait()
	if held != 0 {
		h.revoke(ctx, held)
	}
	return err
}

// update applies change to the lifecycle. If the state changes, it cancels
// WhileHeld unless the lease is held, and closes h.changed.
func (h *Holder) update(ctx context.Context, change func(l *Lifecycle, now time.Time)) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	before := h.lifecycle.State()
	change(&h.lifecycle, now)
	after := h.lifecycle.State()
	if h.deadlineTimer != nil {
		h.deadlineTimer.Stop()
	}
	if after == StateHeld {
		_, deadline, _ := h.lifecycle.Held(now)
		h.deadlineTimer = time.AfterFunc(deadline.Sub(now), func() {
			h.update(ctx, (*Lifecycle).Advance)
		})
	}
	if after == before {
		return after
	}
	if after != StateHeld && h.cancelWhileHeld != nil {
		h.cancelWhileHeld()
	}
	close(h.changed)
	h.changed = make(chan struct{})
	h.Logger.LogAttrs(ctx, slog.LevelInfo, "lease changed state",
		slog.String("lease", h.Name), slog.String("from", string(before)), slog.String("to", string(after)))
	return after
}

// acquire tries to acquire the lease until it succeeds. It returns false when ctx
// ends.
func (h *Holder) acquire(ctx context.Context) (kv.LeaseID, bool) {
	for h.AwaitTurn != nil && ctx.Err() == nil {
		if h.AwaitTurn(ctx); ctx.Err() != nil {
			break
		}
		if id, ok := h.tryAcquire(ctx); ok {
			return id, true
		}
		h.sleepJittered(ctx, h.ttl()/pollDivisor)
	}
	for ctx.Err() == nil {
		entry, err := h.Store.Get(ctx, h.key())
		if err != nil {
			h.warnStepFailed(ctx, "get", err)
			h.sleepJittered(ctx, h.ttl())
			continue
		}
		if entry.ModRevision == 0 {
			if id, ok := h.tryAcquire(ctx); ok {
				return id, true
			}
		}
		h.sleepJittered(ctx, h.ttl()/pollDivisor)
	}
	return 0, false
}

// tryAcquire acquires the lease if no other node holds it.
func (h *Holder) tryAcquire(ctx context.Context) (kv.LeaseID, bool) {
	sent := time.Now()
	id, err := h.Store.GrantLease(ctx, h.ttl())
	if err != nil {
		h.warnStepFailed(ctx, "grant", err)
		return 0, false
	}
	fencingToken, ok := h.createKey(ctx, id)
	if !ok {
		h.revoke(ctx, id)
		return 0, false
	}
	until := time.Now().Add(h.TakeoverDelay)
	for wait := h.TakeoverDelay; wait > 0 && ctx.Err() == nil; wait = time.Until(until) {
		h.sleep(ctx, min(wait, h.ttl()/renewDivisor))
		renewalSent := time.Now()
		ttl, err := h.keepAlive(ctx, id)
		switch {
		case err != nil:
			h.warnStepFailed(ctx, "renew", err)
		case ttl <= 0:
			return 0, false
		default:
			sent = renewalSent
		}
	}
	if ctx.Err() != nil {
		h.revoke(ctx, id)
		return 0, false
	}
	h.update(ctx, func(l *Lifecycle, now time.Time) { l.Granted(sent, now, h.ttl(), fencingToken) })
	return id, true
}

// createKey creates the key of the lease and returns the fencing token, which is the
// revision that created the key and thus grows with each new holder. It returns false
// if another holder has the key or the write fails.
//
// If the outcome of the write is unknown, createKey repeats it for up to half of the
// time to live. If the key then exists, the attempt in its value shows whether one of
// these writes created it.
func (h *Holder) createKey(ctx context.Context, id kv.LeaseID) (fencingToken int64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, h.ttl()/2)
	defer cancel()
	attempt := uuid.NewString()
	value, err := json.Marshal(holderRecord{Attempt: attempt, Holder: h.ID})
	if err != nil {
		return 0, false
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: h.key()}},
		Writes:     []kv.Write{{Key: h.key(), Lease: id, Value: value}},
	}
	for ctx.Err() == nil {
		result, err := h.Store.Commit(ctx, txn)
		switch {
		case err == nil && result.Committed:
			return result.Revision, true
		case err == nil:
			current := result.Current[0]
			return current.CreateRevision, attemptOf(current) == attempt
		case !kind.Is(err, kind.StoreWriteUnknown):
			h.warnStepFailed(ctx, "claim", err)
			return 0, false
		}
		h.warnStepFailed(ctx, "claim", err)
		h.sleepJittered(ctx, h.ttl()/retryDivisor)
	}
	return 0, false
}

// attemptOf returns the attempt that created the entry, or the empty string if
// its value is invalid.
func attemptOf(entry kv.Entry) string {
	var r holderRecord
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return ""
	}
	return r.Attempt
}

// renewUntilLost renews the lease until it is lost or ctx ends.
func (h *Holder) renewUntilLost(ctx context.Context, id kv.LeaseID) {
	pause := h.ttl() / renewDivisor
	for {
		h.sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		sent := time.Now()
		ttl, err := h.keepAlive(ctx, id)
		if err != nil {
			if pause == h.ttl()/renewDivisor { // The first of a series.
				h.warnStepFailed(ctx, "renew", err)
			}
			pause = h.ttl() / retryDivisor
			continue
		}
		pause = h.ttl() / renewDivisor
		if h.update(ctx, func(l *Lifecycle, now time.Time) { l.Renewed(sent, now, ttl) }) == StateLost {
			return
		}
	}
}

func (h *Holder) keepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, h.ttl()/renewDivisor)
	defer cancel()
	return h.Store.KeepAlive(ctx, id)
}

func (h *Holder) revoke(ctx context.Context, id kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := h.Store.RevokeLease(ctx, id); err != nil {
		h.warnStepFailed(ctx, "revoke", err)
	}
}

// runWhileHeld calls WhileHeld whenever the lease is held.
func (h *Holder) runWhileHeld(ctx context.Context) error {
	for ctx.Err() == nil {
		h.mu.Lock()
		fencingToken, _, held := h.lifecycle.Held(time.Now())
		changed := h.changed
		heldCtx, cancel := context.WithCancel(ctx)
		if held {
			h.cancelWhileHeld = cancel
		}
		h.mu.Unlock()
		if held && h.WhileHeld != nil {
			if err := h.WhileHeld(heldCtx, Grant{FencingToken: fencingToken, Name: h.Name}); err != nil && heldCtx.Err() == nil {
				h.warnStepFailed(ctx, "own", err)
				h.sleepJittered(heldCtx, h.ttl()/renewDivisor)
				cancel()
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
		cancel()
	}
	return nil
}

func (h *Holder) warnStepFailed(ctx context.Context, step string, err error) {
	h.Logger.LogAttrs(ctx, slog.LevelWarn, "lease step failed",
		slog.String("lease", h.Name), slog.String("step", step), slog.Any("error", classError.Wrap(err)))
}

func (h *Holder) key() string { return cmp.Or(h.Key, keyPrefix+h.Name) }

// HolderOf returns the id of the node that holds the lease of an entry, or the empty string
// if its value is invalid.
func HolderOf(entry kv.Entry) string {
	var r holderRecord
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return ""
	}
	return r.Holder
}

func (h *Holder) ttl() time.Duration {
	if h.TTL > 0 {
		return h.TTL
	}
	return DefaultTTL
}

func (h *Holder) margin() time.Duration {
	if h.Margin > 0 {
		return h.Margin
	}
	return h.ttl() / marginDivisor
}

// sleepJittered sleeps between half of d and d, so that holders do not retry in
// lockstep.
func (h *Holder) sleepJittered(ctx context.Context, d time.Duration) {
	h.sleep(ctx, d/2+rand.N(d/2+1))
}

func (h *Holder) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
