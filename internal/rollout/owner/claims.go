// Package owner assigns each trainer's stream to one entry host by a lease,
// runs the streams that this host owns, and routes trainers' requests to the
// owner of their stream.
package owner

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/lease"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/rollout/stream"
)

var classError = errs.Class("owner")

const (
	// DefaultTTL is the default time to live of a claim after its last keep-alive.
	DefaultTTL = 6 * time.Second
	// renewalsPerTTL is the number of keep-alives in one time to live.
	renewalsPerTTL = 3
	// marginDivisor sets the safety margin: the host stops relying on a claim when
	// 1/marginDivisor of the time to live is left.
	marginDivisor = 4
)

// Holder is the value of a claim's key.
type Holder struct {
	Incarnation uint64 `json:"incarnation"`
	Node        string `json:"node"`
	PeerAddress string `json:"peer-address"`
}

// Claims holds the claims of this host. All of them share one lease of the
// key-value service, so that the number of renewals doesn't grow with the
// number of claims. The exported fields are set before Run.
type Claims struct {
	Logger *slog.Logger
	Now    func() time.Time
	Self   member.Node
	Store  kv.Store
	// TTL is how long a claim lasts without a keep-alive; zero means DefaultTTL.
	TTL time.Duration

	mu          sync.Mutex
	leaseID     kv.LeaseID
	lifecycle   lease.Lifecycle
	cancelLease context.CancelFunc
	leaseCtx    context.Context //nolint:containedctx // It ends with the lease.
}

func (c *Claims) ttl() time.Duration {
	if c.TTL == 0 {
		return DefaultTTL
	}
	return c.TTL
}

// Run renews the lease until ctx ends, then revokes it, which releases all
// claims.
func (c *Claims) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.ttl() / renewalsPerTTL)
	defer ticker.Stop()
	for {
		c.renew(ctx)
		select {
		case <-ctx.Done():
			c.release(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Claims) release(ctx context.Context) {
	c.mu.Lock()
	id := c.leaseID
	c.dropLease()
	c.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := c.Store.RevokeLease(ctx, id); err != nil {
		c.Logger.WarnContext(ctx, "failed to revoke the lease of the claims; they last until it expires", slog.Any("error", err))
	}
}

// dropLease clears the lease and cancels its context. The caller holds c.mu.
func (c *Claims) dropLease() {
	c.leaseID = 0
	c.lifecycle.Released()
	if c.cancelLease != nil {
		c.cancelLease()
		c.cancelLease = nil
	}
}

// renew sends a keep-alive for the lease, if there is one, and drops a lease
// that has expired.
func (c *Claims) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.ttl()/renewalsPerTTL)
	defer cancel()
	c.mu.Lock()
	id := c.leaseID
	c.mu.Unlock()
	if id == 0 {
		return
	}
	// The store may have extended the lease at any time during the call, so the
	// time to live is counted from its start.
	before := c.Now()
	left, err := c.Store.KeepAlive(ctx, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.leaseID != id:
	case err != nil:
		c.Logger.WarnContext(ctx, "failed to renew the lease of the claims", slog.Any("error", err))
	default:
		c.lifecycle.Renewed(before, c.Now(), min(left, c.ttl()))
		if c.lifecycle.State() == lease.StateLost {
			c.Logger.WarnContext(ctx, "the lease of the claims has expired")
			c.dropLease()
		}
	}
}

// ensureLease returns the lease and the context that ends with it. It grants a
// new lease if there is none.
func (c *Claims) ensureLease(ctx context.Context) (kv.LeaseID, context.Context, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseID != 0 {
		return c.leaseID, c.leaseCtx, nil
	}
	before := c.Now()
	id, err := c.Store.GrantLease(ctx, c.ttl())
	if err != nil {
		return 0, nil, err
	}
	c.leaseID = id
	c.lifecycle = lease.Lifecycle{Margin: c.ttl() / marginDivisor}
	c.lifecycle.Acquire()
	c.lifecycle.Granted(before, c.Now(), c.ttl(), int64(id))
	c.leaseCtx, c.cancelLease = context.WithCancel(context.WithoutCancel(ctx))
	return id, c.leaseCtx, nil
}

// holdsLease reports whether this host certainly holds the lease with this id
// now.
func (c *Claims) holdsLease(id kv.LeaseID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, ok := c.lifecycle.Held(c.Now())
	return c.leaseID == id && ok
}

// leaseHeldUntil returns the time until which this host certainly holds the
// lease with this id, or the zero time if it may not hold it now.
func (c *Claims) leaseHeldUntil(id kv.LeaseID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, deadline, ok := c.lifecycle.Held(c.Now())
	if c.leaseID != id || !ok {
		return time.Time{}
	}
	return deadline
}

// Claim creates key with this host as its holder. If another host holds the
// key, Claim returns that holder and an error of kind not-owner. The returned
// context ends with the lease.
func (c *Claims) Claim(ctx context.Context, key string) (stream.Claim, context.Context, Holder, error) {
	id, leaseCtx, err := c.ensureLease(ctx)
	if err != nil {
		return stream.Claim{}, nil, Holder{}, err
	}
	self := Holder{Incarnation: c.Self.Incarnation, Node: c.Self.ID, PeerAddress: c.Self.PeerAddress}
	value, err := json.Marshal(self)
	if err != nil {
		return stream.Claim{}, nil, Holder{}, classError.Wrap(err)
	}
	result, err := c.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: key}},
		Writes:     []kv.Write{{Key: key, Lease: id, Value: value}},
	})
	if err == nil && result.Committed {
		return c.newClaim(key, id, result.Revision), leaseCtx, self, nil
	}
	if err != nil && !kind.Is(err, kind.StoreWriteUnknown) {
		return stream.Claim{}, nil, Holder{}, err
	}
	// The key exists or the outcome of the write is unknown; in both cases the
	// key may be this host's own.
	entry, err := c.Store.Get(ctx, key)
	if err != nil {
		return stream.Claim{}, nil, Holder{}, err
	}
	if entry.ModRevision == 0 {
		return stream.Claim{}, nil, Holder{}, kind.New(kind.NotOwner, "claim %s: the key does not exist after the attempt to create it", key)
	}
	if entry.Lease == id {
		return c.newClaim(key, id, entry.ModRevision), leaseCtx, self, nil
	}
	var holder Holder
	if err := json.Unmarshal(entry.Value, &holder); err != nil {
		return stream.Claim{}, nil, Holder{}, classError.Wrap(err)
	}
	return stream.Claim{}, nil, holder, kind.New(kind.NotOwner, "claim %s: host %s holds the key", key, holder.Node)
}

func (c *Claims) newClaim(key string, id kv.LeaseID, revision int64) stream.Claim {
	return stream.Claim{
		Condition:    kv.Condition{Key: key, ModRevision: revision},
		FencingToken: revision,
		Held:         func() bool { return c.holdsLease(id) },
	}
}

// HolderOf returns the holder of key. ok is false if no host holds it.
func (c *Claims) HolderOf(ctx context.Context, key string) (holder Holder, ok bool, err error) {
	entry, err := c.Store.Get(ctx, key)
	if err != nil || entry.ModRevision == 0 {
		return Holder{}, false, err
	}
	return holder, true, classError.Wrap(json.Unmarshal(entry.Value, &holder))
}
