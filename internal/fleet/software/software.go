// Package software keeps, for all hosts, which software versions the backend servers of a
// service have had lately. A host that has just started knows from it which versions a stream
// may have begun at.
package software

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

const (
	// Window is for how long a version counts after its last server is gone. It is longer
	// than a caller takes to resume a stream, and than clocks of hosts differ.
	Window = 2 * time.Minute

	prefix = mirror.LivePrefix + "software/"
	// checkInterval is how often the records are compared with the inventory.
	checkInterval = 200 * time.Millisecond
	retryInterval = time.Second
)

// record is the JSON value of the key of a service.
type record struct {
	Serving []string `json:"serving"`
	// Gone maps each version without a server to the time at which its last one was gone,
	// in Unix milliseconds.
	Gone map[string]int64 `json:"gone,omitempty"`
}

// History holds the records of all services. The exported fields are set before Run.
type History struct {
	Inventory *inventory.Inventory
	// IsResponsible reports whether this host writes a key. Two hosts may both be
	// responsible.
	IsResponsible func(key string) bool
	Logger        *slog.Logger
	// Services returns the services whose streams callers may resume. It returns none while
	// the inventory isn't complete.
	Services func() []string
	Store    kv.Store

	mu sync.Mutex
	// records and revisions hold the stored records and the revisions of their keys.
	records   map[string]record
	revisions map[string]int64
}

// Apply applies a change from the mirror of mirror.LivePrefix. Other keys are ignored.
func (h *History) Apply(change mirror.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.records == nil {
		h.records, h.revisions = make(map[string]record), make(map[string]int64)
	}
	for _, event := range change.Events {
		service, ok := strings.CutPrefix(event.Entry.Key, prefix)
		if !ok {
			continue
		}
		delete(h.records, service)
		delete(h.revisions, service)
		if event.Delete {
			continue
		}
		h.revisions[service] = event.Entry.ModRevision
		var r record
		if err := json.Unmarshal(event.Entry.Value, &r); err != nil {
			h.Logger.Warn("invalid record of software versions", slog.String("key", event.Entry.Key), slog.Any("error", err))
			continue
		}
		h.records[service] = r
	}
}

// Recent returns the software versions that servers of the service have or had within
// Window, as far as this host has heard. complete is false if there may have been others.
func (h *History) Recent(service string) (versions []string, complete bool) {
	h.mu.Lock()
	r, ok := h.records[service]
	h.mu.Unlock()
	return h.recent(service, r), ok
}

// Confirm is Recent with the record that is in the store now. A host that was paused or cut
// off doesn't know the versions that have come meanwhile. complete is false if the store
// doesn't answer.
func (h *History) Confirm(ctx context.Context, service string) (versions []string, complete bool) {
	stored, err := h.Store.Get(ctx, prefix+service)
	if err != nil {
		h.Logger.LogAttrs(ctx, slog.LevelInfo, "software versions not confirmed", slog.String("service", service), slog.Any("error", err))
		return nil, false
	}
	if stored.ModRevision == 0 {
		return nil, false
	}
	var r record
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		h.Logger.LogAttrs(ctx, slog.LevelWarn, "invalid record of software versions", slog.String("key", stored.Key), slog.Any("error", err))
		return nil, false
	}
	return h.recent(service, r), true
}

// recent returns the versions that this host has seen within Window and those of a record.
func (h *History) recent(service string, r record) []string {
	versions := h.Inventory.RecentSoftware(service, Window)
	versions = append(versions, r.Serving...)
	for version, gone := range r.Gone {
		if time.Since(time.UnixMilli(gone)) < Window {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Run writes the records that this host is responsible for until ctx ends.
func (h *History) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var retryAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Before(retryAt) {
				continue
			}
			if err := h.update(ctx); err != nil {
				retryAt = now.Add(retryInterval)
				h.Logger.LogAttrs(ctx, slog.LevelInfo, "software versions not recorded", slog.Any("error", err))
			}
		}
	}
}

func (h *History) update(ctx context.Context) error {
	for _, service := range h.Services() {
		serving := h.Inventory.ServingSoftware(service)
		h.mu.Lock()
		before, known := h.records[service]
		revision := h.revisions[service]
		h.mu.Unlock()
		if len(serving) == 0 || known && slices.Equal(serving, before.Serving) || !h.IsResponsible(prefix+service) {
			continue
		}
		value, err := json.Marshal(before.successor(serving, time.Now()))
		if err != nil {
			return kind.Wrap(kind.Internal, err)
		}
		key := prefix + service
		_, err = h.Store.Commit(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: key, ModRevision: revision}}, Writes: []kv.Write{{Key: key, Value: value}},
		})
		if err != nil {
			return err
		}
		h.Logger.LogAttrs(ctx, slog.LevelInfo, "software versions recorded", slog.String("service", service),
			slog.Any("serving", serving), slog.Any("serving-before", before.Serving))
	}
	return nil
}

// successor returns the record that follows r when the versions in serving have servers.
func (r record) successor(serving []string, now time.Time) record {
	next := record{Serving: serving, Gone: make(map[string]int64)}
	for version, gone := range r.Gone {
		if now.Sub(time.UnixMilli(gone)) < Window && !slices.Contains(serving, version) {
			next.Gone[version] = gone
		}
	}
	for _, version := range r.Serving {
		if !slices.Contains(serving, version) {
			next.Gone[version] = now.UnixMilli()
		}
	}
	return next
}
