package host

import (
	"context"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/recovery"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

const (
	// removalGrace is how long after an outage of the store the host still uses servers
	// whose entries were deleted. Their leases may have expired only because of the
	// outage, and running servers register again within two seconds.
	removalGrace = 2200 * time.Millisecond
	// minOutage is the shortest outage of the store that starts the grace period. During
	// a shorter one, no entry expires.
	minOutage = 300 * time.Millisecond

	// retirementInterval is the longest time between two attempts to write pending
	// statuses. A new status is written at once.
	retirementInterval = 500 * time.Millisecond
)

// inventoryUpdater applies changes of the entries of backend servers to the inventory.
type inventoryUpdater struct {
	Decoder   EntryDecoder
	Inventory *inventory.Inventory
	Logger    *slog.Logger

	mu sync.Mutex
	// graceUntil is the time before which a deleted entry doesn't remove its server.
	graceUntil time.Time
	// removals holds the timers of delayed removals by server id.
	removals map[string]*time.Timer
}

// apply sets the servers whose entries changed and removes those whose entries were
// deleted or are invalid.
func (u *inventoryUpdater) apply(change mirror.Change) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if change.Outage > minOutage {
		u.graceUntil = time.Now().Add(removalGrace)
	}
	for _, event := range change.Events {
		id := strings.TrimPrefix(event.Entry.Key, u.Decoder.Prefixes().Servers)
		if timer, ok := u.removals[id]; ok {
			timer.Stop()
			delete(u.removals, id)
		}
		if event.Delete {
			u.scheduleRemoval(id)
			continue
		}
		var server inventory.Server
		err := recovery.Call(u.Logger, "entry "+event.Entry.Key, func() (err error) {
			server, err = u.Decoder.Server(event.Entry.Key, event.Entry.Value)
			return err
		})
		if err != nil {
			u.Logger.Warn("invalid server entry; server removed from inventory", slog.String("server", id), slog.Any("error", err))
			u.Inventory.Remove(id)
			continue
		}
		before, known := u.Inventory.Get(id)
		if !known || before.Draining != server.Draining || before.Address != server.Address ||
			before.Started != server.Started || before.Software != server.Software || !maps.Equal(before.Versions, server.Versions) {
			u.Logger.Info("server changed", slog.String("server", id), slog.String("service", server.Service),
				slog.String("address", server.Address), slog.Bool("draining", server.Draining), slog.String("software", server.Software),
				slog.Any("versions", server.Versions),
				slog.Int64("revision", event.Entry.ModRevision))
		}
		u.Inventory.Set(server)
	}
}

// scheduleRemoval removes a server whose entry was deleted, at once or, after an outage
// of the store, at the end of the grace period. The caller holds u.mu.
func (u *inventoryUpdater) scheduleRemoval(id string) {
	wait := time.Until(u.graceUntil)
	u.Logger.Info("server entry gone", slog.String("server", id), slog.Duration("kept-for", max(wait, 0)))
	if wait <= 0 {
		u.Inventory.Remove(id)
		return
	}
	if u.removals == nil {
		u.removals = make(map[string]*time.Timer)
	}
	u.removals[id] = time.AfterFunc(wait, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if _, ok := u.removals[id]; ok {
			delete(u.removals, id)
			u.Inventory.Remove(id)
		}
	})
}

// retirementResponder writes the statuses of the retirements that operators request for
// hosts with disks.
type retirementResponder struct {
	Decoder EntryDecoder
	// IsResponsible reports whether this host writes the status under key. Two hosts may
	// both be responsible, which does no harm because they write the same value.
	IsResponsible func(key string) bool
	Logger        *slog.Logger
	Store         kv.Store

	mu      sync.Mutex
	pending map[string][]byte
	wake    chan struct{}
}

// enqueue adds the status of a retirement to the pending writes if key requests one.
func (r *retirementResponder) enqueue(key string) {
	statusKey, status, ok := r.Decoder.Retirement(key)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[string][]byte)
	}
	r.pending[statusKey] = status
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run writes pending statuses until ctx ends and retries those that fail.
func (r *retirementResponder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		pending := maps.Clone(r.pending)
		r.mu.Unlock()
		for key, status := range pending {
			if !r.IsResponsible(key) {
				continue
			}
			_, err := r.Store.Commit(ctx, kv.Txn{Writes: []kv.Write{{Key: key, Value: status}}})
			r.Logger.LogAttrs(ctx, slog.LevelInfo, "retirement status write attempted", slog.String("key", key), slog.Any("error", err))
			if err == nil {
				r.mu.Lock()
				delete(r.pending, key)
				r.mu.Unlock()
			}
		}
		timer := time.NewTimer(retirementInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
		}
		timer.Stop()
	}
	return nil
}
