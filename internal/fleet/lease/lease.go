// Package lease gives a job to one holder at a time, with a fencing number that
// grows with each new holder.
package lease

import (
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
	// The margin, the intervals at which another holder's lease is read and
	// the own one renewed, and the interval between repeats of a claim, as
	// fractions of the time to live.
	marginDivisor = 4
	pollDivisor   = 2
	renewDivisor  = 4
	claimDivisor  = 16
	// releaseTimeout bounds the call that gives the lease back.
	releaseTimeout = time.Second
)

// Grant is the right to act.
type Grant struct {
	// Fence is the fencing number, higher than that of each earlier holder.
	Fence int64
	// Name is the name of the lease.
	Name string
}

// record is the value of a lease's key.
type record struct {
	// Attempt tells the tries of one holder apart.
	Attempt string `json:"attempt"`
	Holder  string `json:"holder"`
}

// Holder tries for a lease and keeps it. The fields are set before Run.
type Holder struct {
	// ID names this node.
	ID     string
	Logger *slog.Logger
	// Margin is how long before the lease may end the holder stops to act. It
	// covers the difference of the clocks' rates. Zero means a quarter of TTL.
	Margin time.Duration
	// Name is the name of the lease.
	Name string
	// Own does the job. Its context ends as soon as the holder is no longer
	// certain to hold the lease; Own is called again after that when the
	// holder is certain once more. Nil only holds the lease.
	Own   func(ctx context.Context, grant Grant) error
	Store kv.Store
	// TTL is how long the lease outlives its holder, in whole seconds. Zero
	// means DefaultTTL.
	TTL time.Duration
	// WaitOut is how long a new holder waits before it acts, so that orders
	// which an earlier holder sent just before its deadline have run out.
	WaitOut time.Duration

	mu        sync.Mutex
	lifecycle Lifecycle
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	// expiry fires at the deadline.
	expiry *time.Timer
	// owner cancels the context of Own.
	owner context.CancelFunc
}

// Held returns the fencing number, the time until which the holder may act by
// the local clock, and whether it may act now. An order carries the number and
// a deadline that is not after the returned one.
func (h *Holder) Held() (fence int64, deadline time.Time, ok bool) {
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
	h.lifecycle.Tick(time.Now())
	return h.lifecycle.State()
}

// Run tries for the lease, keeps it and tries again after it was lost, until
// ctx ends. Then it waits for Own and gives the lease back.
func (h *Holder) Run(ctx context.Context) error {
	h.mu.Lock()
	h.lifecycle.Margin = h.margin()
	h.changed = make(chan struct{})
	h.mu.Unlock()
	var last kv.LeaseID
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.own(groupCtx) })
	group.Go(func() error {
		for groupCtx.Err() == nil {
			h.update(groupCtx, func(l *Lifecycle, _ time.Time) { l.Acquire() })
			last = 0
			if id, ok := h.acquire(groupCtx); ok {
				last = id
				h.keep(groupCtx, id)
			}
		}
		h.update(groupCtx, func(l *Lifecycle, _ time.Time) { l.Released() })
		return nil
	})
	err := group.Wait()
	if last != 0 {
		h.revoke(ctx, last)
	}
	return err
}

// update changes the lifecycle and lets the others know.
func (h *Holder) update(ctx context.Context, change func(l *Lifecycle, now time.Time)) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	before := h.lifecycle.State()
	change(&h.lifecycle, now)
	after := h.lifecycle.State()
	if h.expiry != nil {
		h.expiry.Stop()
	}
	if after == StateHeld {
		_, deadline, _ := h.lifecycle.Held(now)
		h.expiry = time.AfterFunc(deadline.Sub(now), func() {
			h.update(ctx, (*Lifecycle).Tick)
		})
	}
	if after == before {
		return after
	}
	if after != StateHeld && h.owner != nil {
		h.owner()
	}
	close(h.changed)
	h.changed = make(chan struct{})
	h.Logger.LogAttrs(ctx, slog.LevelInfo, "lease changed state",
		slog.String("lease", h.Name), slog.String("from", string(before)), slog.String("to", string(after)))
	return after
}

// acquire tries for the lease until it has it. It returns false when ctx ends.
func (h *Holder) acquire(ctx context.Context) (kv.LeaseID, bool) {
	for ctx.Err() == nil {
		entry, err := h.Store.Get(ctx, h.key())
		if err != nil {
			h.warn(ctx, "get", err)
			h.pause(ctx, h.ttl())
			continue
		}
		if entry.ModRevision == 0 {
			if id, ok := h.try(ctx); ok {
				return id, true
			}
		}
		h.pause(ctx, h.ttl()/pollDivisor)
	}
	return 0, false
}

// try takes the lease if it is free.
func (h *Holder) try(ctx context.Context) (kv.LeaseID, bool) {
	sent := time.Now()
	id, err := h.Store.GrantLease(ctx, h.ttl())
	if err != nil {
		h.warn(ctx, "grant", err)
		return 0, false
	}
	fence, ok := h.claim(ctx, id)
	if !ok {
		h.revoke(ctx, id)
		return 0, false
	}
	until := time.Now().Add(h.WaitOut)
	for wait := h.WaitOut; wait > 0 && ctx.Err() == nil; wait = time.Until(until) {
		h.sleep(ctx, min(wait, h.ttl()/renewDivisor))
		sent = time.Now()
		if ttl, err := h.Store.KeepAlive(ctx, id); err != nil || ttl <= 0 {
			h.revoke(ctx, id)
			return 0, false
		}
	}
	h.update(ctx, func(l *Lifecycle, now time.Time) { l.Granted(sent, now, h.ttl(), fence) })
	return id, true
}

// claim creates the key of the lease. After a lost reply it reads back, and
// while the key is absent it sends the same write again, since the first one
// may still be under way. The fencing number is the revision that created the
// key, which grows with each new holder.
func (h *Holder) claim(ctx context.Context, id kv.LeaseID) (fence int64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, h.ttl()/2)
	defer cancel()
	attempt := uuid.NewString()
	value, err := json.Marshal(record{Attempt: attempt, Holder: h.ID})
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
			h.warn(ctx, "claim", err)
			return 0, false
		}
		h.warn(ctx, "claim", err)
		h.pause(ctx, h.ttl()/claimDivisor)
	}
	return 0, false
}

func attemptOf(entry kv.Entry) string {
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return ""
	}
	return r.Attempt
}

// keep renews the lease until it is lost or ctx ends.
func (h *Holder) keep(ctx context.Context, id kv.LeaseID) {
	for {
		h.sleep(ctx, h.ttl()/renewDivisor)
		if ctx.Err() != nil {
			return
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, h.ttl()/renewDivisor)
		ttl, err := h.Store.KeepAlive(callCtx, id)
		cancel()
		if err != nil {
			h.warn(ctx, "renew", err)
			continue
		}
		if h.update(ctx, func(l *Lifecycle, now time.Time) { l.Renewed(sent, now, ttl) }) == StateLost {
			return
		}
	}
}

func (h *Holder) revoke(ctx context.Context, id kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := h.Store.RevokeLease(ctx, id); err != nil {
		h.warn(ctx, "revoke", err)
	}
}

// own calls Own whenever the lease is held.
func (h *Holder) own(ctx context.Context) error {
	for ctx.Err() == nil {
		h.mu.Lock()
		fence, _, held := h.lifecycle.Held(time.Now())
		changed := h.changed
		ownCtx, cancel := context.WithCancel(ctx)
		if held {
			h.owner = cancel
		}
		h.mu.Unlock()
		if held && h.Own != nil {
			if err := h.Own(ownCtx, Grant{Fence: fence, Name: h.Name}); err != nil && ownCtx.Err() == nil {
				h.warn(ctx, "own", err)
				h.pause(ownCtx, h.ttl()/renewDivisor)
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

func (h *Holder) warn(ctx context.Context, step string, err error) {
	h.Logger.LogAttrs(ctx, slog.LevelWarn, "lease step failed",
		slog.String("lease", h.Name), slog.String("step", step), slog.Any("error", classError.Wrap(err)))
}

func (h *Holder) key() string { return keyPrefix + h.Name }

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

// pause waits between half of d and d, so that holders do not keep step.
func (h *Holder) pause(ctx context.Context, d time.Duration) {
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
