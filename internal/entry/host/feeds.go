package host

import (
	"context"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/guard"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

const (
	// lapseGrace is how long after the store's return a server whose entry
	// lapsed meanwhile is still used. Living servers are back in two seconds.
	lapseGrace = 2200 * time.Millisecond
	// shortestOutage is the shortest silence of the store during which entries may
	// have lapsed.
	shortestOutage = 300 * time.Millisecond

	retireInterval = 500 * time.Millisecond
)

// serverFeed takes the entries of backend servers over into the inventory.
type serverFeed struct {
	Documents Documents
	Inventory *inventory.Inventory
	Logger    *slog.Logger

	mu sync.Mutex
	// keepUntil is until when entries that vanish are still used.
	keepUntil time.Time
	// lapsed holds the timers of entries that vanished around an outage.
	lapsed map[string]*time.Timer
}

func (f *serverFeed) apply(change mirror.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if change.Outage > shortestOutage {
		f.keepUntil = time.Now().Add(lapseGrace)
	}
	for _, event := range change.Events {
		id := strings.TrimPrefix(event.Entry.Key, f.Documents.Prefixes().Servers)
		if timer, ok := f.lapsed[id]; ok {
			timer.Stop()
			delete(f.lapsed, id)
		}
		if event.Delete {
			f.vanished(id)
			continue
		}
		var server inventory.Server
		err := guard.Call(f.Logger, "entry "+event.Entry.Key, func() (err error) {
			server, err = f.Documents.Server(event.Entry.Key, event.Entry.Value)
			return err
		})
		if err != nil {
			f.Logger.Warn("server entry unreadable", slog.String("server", id), slog.Any("error", err))
			f.Inventory.Remove(id)
			continue
		}
		before, known := f.Inventory.Get(id)
		if !known || before.Draining != server.Draining || before.Address != server.Address ||
			before.Started != server.Started || !maps.Equal(before.Versions, server.Versions) {
			f.Logger.Info("server changed", slog.String("server", id), slog.String("service", server.Service),
				slog.String("address", server.Address), slog.Bool("draining", server.Draining),
				slog.Any("versions", server.Versions),
				slog.Int64("revision", event.Entry.ModRevision))
		}
		f.Inventory.Set(server)
	}
}

// vanished removes a server, at once or after the grace that follows an outage
// of the store.
func (f *serverFeed) vanished(id string) {
	wait := time.Until(f.keepUntil)
	f.Logger.Info("server entry gone", slog.String("server", id), slog.Duration("kept-for", max(wait, 0)))
	if wait <= 0 {
		f.Inventory.Remove(id)
		return
	}
	if f.lapsed == nil {
		f.lapsed = make(map[string]*time.Timer)
	}
	f.lapsed[id] = time.AfterFunc(wait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if _, ok := f.lapsed[id]; ok {
			delete(f.lapsed, id)
			f.Inventory.Remove(id)
		}
	})
}

// retirements answers operators who ask for hosts with disks to be emptied.
type retirements struct {
	Documents Documents
	// Duty reports whether an answer falls to this host. Two hosts that both
	// think so write the same.
	Duty   func(key string) bool
	Logger *slog.Logger
	Store  kv.Store

	mu      sync.Mutex
	pending map[string][]byte
	wake    chan struct{}
}

// note takes a key over if it asks for a retirement.
func (r *retirements) note(key string) {
	statusKey, status, ok := r.Documents.Retirement(key)
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

// Run answers until ctx ends.
func (r *retirements) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		pending := maps.Clone(r.pending)
		r.mu.Unlock()
		for key, status := range pending {
			if !r.Duty(key) {
				continue
			}
			_, err := r.Store.Commit(ctx, kv.Txn{Writes: []kv.Write{{Key: key, Value: status}}})
			r.Logger.LogAttrs(ctx, slog.LevelInfo, "retirement answered", slog.String("key", key), slog.Any("error", err))
			if err == nil {
				r.mu.Lock()
				delete(r.pending, key)
				r.mu.Unlock()
			}
		}
		timer := time.NewTimer(retireInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
		}
		timer.Stop()
	}
	return nil
}
