// Package owner gives each trainer's stream to one entry host, runs the
// streams that this host owns, and carries trainers' requests to the owner.
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

// The times of a claim.
const (
	// DefaultTTL is how long a claim lasts after its last keep-alive.
	DefaultTTL = 6 * time.Second
	// renewals is the number of keep-alives in one time to live.
	renewals = 3
	// marginDivisor gives the part of the time to live before its end in which
	// a claim is not believed any more.
	marginDivisor = 4
)

// Holder is the value of a claim's key.
type Holder struct {
	Incarnation uint64 `json:"incarnation"`
	Node        string `json:"node"`
	PeerAddress string `json:"peer-address"`
}

// Claims holds the claims of this host. All of them share one lease of the
// key-value service, so that a host renews once however much it owns. The
// fields are set before Run.
type Claims struct {
	Logger *slog.Logger
	Now    func() time.Time
	Self   member.Node
	Store  kv.Store
	// TTL is how long a claim lasts without a keep-alive; zero is DefaultTTL.
	TTL time.Duration

	mu        sync.Mutex
	id        kv.LeaseID
	lifecycle lease.Lifecycle
	lost      context.CancelFunc
	lostCtx   context.Context //nolint:containedctx // It is the life of the lease.
}

func (c *Claims) ttl() time.Duration {
	if c.TTL == 0 {
		return DefaultTTL
	}
	return c.TTL
}

// Run renews the lease until ctx ends, then gives all claims up.
func (c *Claims) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.ttl() / renewals)
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
	id := c.id
	c.drop()
	c.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := c.Store.RevokeLease(ctx, id); err != nil {
		c.Logger.WarnContext(ctx, "the claims lapse later", slog.Any("error", err))
	}
}

// drop forgets the lease and ends what depends on it. The lock is held.
func (c *Claims) drop() {
	c.id = 0
	c.lifecycle.Released()
	if c.lost != nil {
		c.lost()
		c.lost = nil
	}
}

// renew keeps the lease alive or gets a new one after it has ended.
func (c *Claims) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.ttl()/renewals)
	defer cancel()
	c.mu.Lock()
	id := c.id
	c.mu.Unlock()
	if id == 0 {
		return
	}
	// The time to live counts from before the call.
	before := c.Now()
	left, err := c.Store.KeepAlive(ctx, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.id != id:
	case err != nil:
		c.Logger.WarnContext(ctx, "the claims are not renewed", slog.Any("error", err))
	default:
		c.lifecycle.Renewed(before, c.Now(), min(left, c.ttl()))
		if c.lifecycle.State() == lease.StateLost {
			c.Logger.WarnContext(ctx, "the claims have lapsed")
			c.drop()
		}
	}
}

// current returns the lease and the context that ends with it, and gets a
// lease when there is none.
func (c *Claims) current(ctx context.Context) (kv.LeaseID, context.Context, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id != 0 {
		return c.id, c.lostCtx, nil
	}
	before := c.Now()
	id, err := c.Store.GrantLease(ctx, c.ttl())
	if err != nil {
		return 0, nil, err
	}
	c.id = id
	c.lifecycle = lease.Lifecycle{Margin: c.ttl() / marginDivisor}
	c.lifecycle.Acquire()
	c.lifecycle.Granted(before, c.Now(), c.ttl(), int64(id))
	c.lostCtx, c.lost = context.WithCancel(context.WithoutCancel(ctx))
	return id, c.lostCtx, nil
}

// held reports whether the lease id is known not to have lapsed.
func (c *Claims) held(id kv.LeaseID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, ok := c.lifecycle.Held(c.Now())
	return c.id == id && ok
}

// until returns the time until which the lease id is known to be held.
func (c *Claims) until(id kv.LeaseID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, deadline, ok := c.lifecycle.Held(c.Now())
	if c.id != id || !ok {
		return time.Time{}
	}
	return deadline
}

// Claim takes the right named key. It returns an error of kind not-owner and
// the holder when another host has it. The context ends with the claim.
func (c *Claims) Claim(ctx context.Context, key string) (stream.Claim, context.Context, Holder, error) {
	id, life, err := c.current(ctx)
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
		return c.claim(key, id, result.Revision), life, self, nil
	}
	if err != nil && !kind.Is(err, kind.StoreWriteUnknown) {
		return stream.Claim{}, nil, Holder{}, err
	}
	// The key exists, or the reply was lost: it may be this host's own.
	entry, err := c.Store.Get(ctx, key)
	if err != nil {
		return stream.Claim{}, nil, Holder{}, err
	}
	if entry.ModRevision == 0 {
		return stream.Claim{}, nil, Holder{}, kind.New(kind.NotOwner, "%s is free", key)
	}
	if entry.Lease == id {
		return c.claim(key, id, entry.ModRevision), life, self, nil
	}
	var holder Holder
	if err := json.Unmarshal(entry.Value, &holder); err != nil {
		return stream.Claim{}, nil, Holder{}, classError.Wrap(err)
	}
	return stream.Claim{}, nil, holder, kind.New(kind.NotOwner, "%s belongs to %s", key, holder.Node)
}

func (c *Claims) claim(key string, id kv.LeaseID, revision int64) stream.Claim {
	return stream.Claim{
		Condition: kv.Condition{Key: key, ModRevision: revision},
		FencingToken:     revision,
		Held:      func() bool { return c.held(id) },
	}
}

// HolderOf returns the holder of key; ok is false when nobody holds it.
func (c *Claims) HolderOf(ctx context.Context, key string) (holder Holder, ok bool, err error) {
	entry, err := c.Store.Get(ctx, key)
	if err != nil || entry.ModRevision == 0 {
		return Holder{}, false, err
	}
	return holder, true, classError.Wrap(json.Unmarshal(entry.Value, &holder))
}
