package host

import (
	"context"
	"log/slog"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/recovery"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/follow"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

// mirrors returns the mirrors of the operators' keys, the backend servers' entries and
// the live keys of the fleet.
func (h *Host) mirrors() []*mirror.Mirror {
	prefixes := h.Decoder.Prefixes()
	h.liveMirror = &mirror.Mirror{CoalesceDelay: h.Settings.coalesceDelay(), Prefix: mirror.LivePrefix, OnChange: func(c mirror.Change) {
		h.applyDuties(c)
		h.roster.Apply(c)
		h.loadController.SetHosts(roster.IDs(roster.Connected(h.roster.Active())))
		h.Batches.Index.Apply(c)
		h.poisonRegistry.Apply(c)
		h.leavingBroadcaster.Apply(c)
		h.softwareHistory.Apply(c)
	}}
	servers := h.serverMirror
	servers.HostsMirror, servers.Prefix, servers.OnChange = h.liveMirror, prefixes.Servers, h.inventoryUpdater.apply
	servers.CoalesceDelay = h.Settings.coalesceDelay()
	operators := h.operatorMirror
	operators.HostsMirror, operators.OnChange, operators.Prefix = h.liveMirror, h.applyOperatorChange, prefixes.Operators
	for m, bound := range map[*mirror.Mirror]time.Duration{
		operators: h.Settings.configBound(), servers: h.Settings.drainBound(), h.liveMirror: min(h.Settings.drainBound(), h.Settings.endBound()),
	} {
		m.MaxAge, m.WatchTimeout = share(maxAgeShare, bound), share(watchShare, bound)
	}
	if bound := h.Settings.RevocationBound; bound > 0 {
		operators.WatchTimeout = min(operators.WatchTimeout, share(keyWatchShare, bound))
		operators.ListAge = share(keyListShare, bound)
	}
	mirrors := []*mirror.Mirror{operators, servers, h.liveMirror}
	compaction := new(mirror.CompactionSignal)
	// One source for all mirrors: a reader that fails one of them is left by the others too.
	source := &follow.Source{
		Bound: min(h.Settings.configBound(), h.Settings.drainBound(), h.Settings.endBound()),
		Pool:  h.peers, Roster: h.roster, Self: h.Settings.ID,
	}
	if bound := h.Settings.RevocationBound; bound > 0 {
		source.MaxWait = map[string]time.Duration{prefixes.Operators: share(keyPollShare, bound)}
	}
	for _, m := range mirrors {
		m.Compaction, m.Logger, m.Store = compaction, h.Logger, h.store
		if h.Settings.PeerAddress != "" {
			m.Source = source
			m.StaleLister, m.SettleDelay = h.store, settleDelay
		}
	}
	return mirrors
}

// resumableServices returns the services whose streams callers may resume, or none before the
// servers are known.
func (h *Host) resumableServices() []string {
	c := h.config.Load()
	if c == nil || !h.serverMirror.Delivered() {
		return nil
	}
	return c.ResumableServices()
}

// recordCrash attributes the crash of a server to the content that it ran.
func (h *Host) recordCrash(c crashdetect.Incident) {
	h.poisonRegistry.RecordCrash(c.Content, poison.CrashID(c.Server.ID, time.UnixMilli(c.Server.Started)))
}

// isResponsible reports whether this host is the rendezvous-hash owner of a duty, such as
// the write of a key. Hosts that know different sets of hosts may both be responsible, so
// two hosts must be able to perform the duty at the same time.
func (h *Host) isResponsible(duty string) bool {
	return rendezvous.Owner(duty, roster.IDs(h.roster.Active())) == h.Settings.ID
}

// applyOperatorChange applies what operators and trainers wrote. If the handling of an
// entry panics, the other entries are still applied.
func (h *Host) applyOperatorChange(change mirror.Change) {
	for _, event := range change.Events {
		if event.Delete {
			continue
		}
		_ = recovery.Call(h.Logger, "entry "+event.Entry.Key, func() error { // Call logs the error.
			h.applyOperatorEntry(event.Entry)
			return nil
		})
	}
}

func (h *Host) applyOperatorEntry(entry kv.Entry) {
	h.applyConfig(entry.Key, entry.Value, entry.ModRevision)
	if model, version, ok, err := h.Decoder.Version(entry.Key, entry.Value); err != nil {
		h.Logger.Warn("invalid weight version entry ignored", slog.String("key", entry.Key), slog.Any("error", err))
	} else if ok {
		h.loadController.SetNewestVersion(model, version)
	}
	h.retirements.enqueue(entry.Key)
}

// applyConfig puts a configuration in force unless the current one has the same or a
// higher version.
func (h *Host) applyConfig(key string, value []byte, revision int64) {
	c, ok, err := h.Decoder.Config(key, value)
	if err != nil {
		h.Logger.Warn("invalid configuration ignored", slog.String("key", key), slog.Any("error", err))
		return
	}
	if !ok {
		return
	}
	c.IndexAccounts()
	for {
		current := h.config.Load()
		if current != nil && current.Version >= c.Version {
			return
		}
		if h.config.CompareAndSwap(current, c) {
			break
		}
	}
	h.Logger.Info("configuration in force", slog.Int64("version", c.Version), slog.Int64("revision", revision),
		slog.Int("routes", len(c.Routes)), slog.Int("services", len(c.Services)), slog.Int("accounts", len(c.Accounts)))
}

// refreshConfig reads the configuration from the store and puts it in force if it is newer.
func (h *Host) refreshConfig(ctx context.Context) error {
	entries, _, err := h.store.List(ctx, h.Decoder.Prefixes().Operators)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		h.applyConfig(entry.Key, entry.Value, entry.ModRevision)
	}
	return nil
}

// ConfigInForce returns the configuration in force, or an error of kind unavailable
// while none has been read.
func (h *Host) ConfigInForce() (*config.Config, error) {
	c := h.config.Load()
	if c == nil {
		return nil, kind.New(kind.Unavailable, "no configuration has been read yet").WithRetryAfter(notReadyRetryAfter)
	}
	return c, nil
}
