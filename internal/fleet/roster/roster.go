// Package roster keeps the list of the entry hosts that are alive, each under
// a lease of its own in the key-value service.
package roster

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

// Prefix is the prefix of the keys of hosts.
const Prefix = listPrefix + "/"

const (
	listPrefix = mirror.LivePrefix + "hosts"
	// epochKey changes whenever a host is added to the list, so that a write can
	// be made under the condition that none was.
	epochKey = listPrefix + "-epoch"
)

const (
	// leaseTTL is how long a host stays listed after its last renewal. A dead
	// host is gone from answers to callers before their own second try.
	leaseTTL = 2500 * time.Millisecond
	// renewInterval leaves room for two lost renewals.
	renewInterval = 700 * time.Millisecond
	// In a fleet of more than largeFleet hosts the renewals are most of the calls
	// of the service; the longer interval leaves room for one that is lost.
	largeFleet         = 24
	largeRenewInterval = 1200 * time.Millisecond
	retryInterval      = 200 * time.Millisecond
)

// Host is one entry host.
type Host struct {
	// Address is where callers connect.
	Address string `json:"address"`
	ID      string `json:"id"`
	// Incarnation is different at each start of the process.
	Incarnation string `json:"incarnation"`
	// Leaving hosts finish what they have.
	Leaving bool `json:"leaving"`
	// Peer is where other hosts connect; empty if they don't.
	Peer string `json:"peer"`
	// Processor is the host's share of a core, or its cores; zero if it isn't known.
	Processor float64 `json:"processor,omitempty"`
	Zone      string  `json:"zone"`
}

// Roster registers this host and knows the others. The fields are set before
// Run.
type Roster struct {
	Logger *slog.Logger
	// OnGone is called when a host, by its incarnation, is no longer listed.
	OnGone func(Host)
	Self   Host
	Store  kv.Store

	mu      sync.Mutex
	hosts   map[string]Host
	lease   kv.LeaseID
	leaving bool
	// revisions are those of the keys of the list, as the mirror told them.
	revisions map[string]int64
	written   bool
	wake      chan struct{}
}

// Run registers this host and follows the others until ctx ends; then the
// host's entry is removed.
func (r *Roster) Run(ctx context.Context) error {
	r.mu.Lock()
	r.wakeChannel()
	r.mu.Unlock()
	for ctx.Err() == nil {
		wait := r.interval()
		if err := r.renew(ctx); err != nil {
			if !kv.IsTransient(err) {
				r.Logger.LogAttrs(ctx, slog.LevelWarn, "host entry not renewed", slog.Any("error", err))
			}
			wait = retryInterval
		}
		r.pause(ctx, wait)
	}
	return nil
}

// interval returns the time between two renewals.
func (r *Roster) interval() time.Duration {
	if len(r.Listed()) > largeFleet {
		return largeRenewInterval
	}
	return renewInterval
}

// Leave tells the others that this host takes no new requests.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving, r.written = true, false
	close(r.wakeChannel())
	r.wake = nil
}

// Hosts returns the listed hosts that take requests, by id. This host is among
// them as long as it isn't leaving.
func (r *Roster) Hosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []Host
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		if h := r.hosts[id]; !h.Leaving && id != r.Self.ID {
			hosts = append(hosts, h)
		}
	}
	if !r.leaving {
		hosts = append(hosts, r.Self)
	}
	return hosts
}

// Listed returns the hosts that are listed and not leaving, by id, whether or
// not they include this one.
func (r *Roster) Listed() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return present(r.hosts)
}

// List is a list of hosts with the revisions of its keys.
type List struct {
	// Hosts are those that are not leaving.
	Hosts []Host

	revisions map[string]int64
}

// Known returns the list as this host has heard of it. Hosts that it still holds
// may be gone; one that was added shows as another Epoch.
func (r *Roster) Known() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return List{Hosts: present(r.hosts), revisions: maps.Clone(r.revisions)}
}

// Epoch is the revision at which a host was last added; zero if that isn't known.
func (l List) Epoch() int64 { return l.revisions[epochKey] }

// Read reads the list at the store.
func Read(ctx context.Context, store kv.Store) (List, error) {
	entries, _, err := store.List(ctx, listPrefix)
	if err != nil {
		return List{}, err
	}
	list := List{revisions: make(map[string]int64, len(entries))}
	hosts := make(map[string]Host, len(entries))
	for _, entry := range entries {
		list.revisions[entry.Key] = entry.ModRevision
		if entry.Key == epochKey {
			continue
		}
		var host Host
		if err := json.Unmarshal(entry.Value, &host); err != nil {
			return List{}, kind.Wrap(kind.Internal, err)
		}
		hosts[host.ID] = host
	}
	list.Hosts = present(hosts)
	return list, nil
}

// Unchanged are the conditions under which no host was added since the list was
// read and the host id is still listed.
func (l List) Unchanged(id string) []kv.Condition {
	return []kv.Condition{
		{Key: epochKey, ModRevision: l.revisions[epochKey]},
		{Key: Prefix + id, ModRevision: l.revisions[Prefix+id]},
	}
}

func present(hosts map[string]Host) []Host {
	var list []Host
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		if !hosts[id].Leaving {
			list = append(list, hosts[id])
		}
	}
	return list
}

// IDs returns the ids of hosts.
func IDs(hosts []Host) []string {
	ids := make([]string, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	return ids
}

// strongShare is the share of the strongest host's processor that makes a host a
// strong one.
const strongShare = 0.5

// Strong returns the hosts that have at least half as much of a processor as the one
// with the most: those that can carry the streams of a whole batch.
func Strong(hosts []Host) []Host {
	var most float64
	for _, h := range hosts {
		most = max(most, h.Processor)
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Processor < strongShare*most })
}

// Get returns a listed host, leaving or not.
func (r *Roster) Get(id string) (Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	host, ok := r.hosts[id]
	return host, ok
}

// Alive reports whether the incarnation is listed, leaving or not.
func (r *Roster) Alive(id, incarnation string) bool {
	host, ok := r.Get(id)
	return ok && host.Incarnation == incarnation
}

// Apply takes over what the mirror of LivePrefix says of hosts.
func (r *Roster) Apply(change mirror.Change) {
	for _, event := range change.Events {
		id, ok := strings.CutPrefix(event.Entry.Key, Prefix)
		if !ok {
			continue
		}
		var host Host
		if !event.Delete {
			if err := json.Unmarshal(event.Entry.Value, &host); err != nil {
				r.Logger.Warn("host entry unreadable", slog.String("key", event.Entry.Key), slog.Any("error", err))
				continue
			}
		}
		r.set(id, host, event.Delete)
	}
	// The epoch comes last: with it the list is known to hold all added hosts.
	for _, event := range change.Events {
		if strings.HasPrefix(event.Entry.Key, listPrefix) {
			r.note(event)
		}
	}
}

// note keeps the revision of a key of the list.
func (r *Roster) note(event kv.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revisions == nil {
		r.revisions = make(map[string]int64)
	}
	if event.Delete {
		delete(r.revisions, event.Entry.Key)
		return
	}
	r.revisions[event.Entry.Key] = event.Entry.ModRevision
}

// set replaces or removes one host and reports an incarnation that is gone.
func (r *Roster) set(id string, host Host, remove bool) {
	r.mu.Lock()
	before, known := r.hosts[id]
	if r.hosts == nil {
		r.hosts = make(map[string]Host)
	}
	if remove {
		delete(r.hosts, id)
	} else {
		r.hosts[id] = host
	}
	if id == r.Self.ID && (remove || host.Incarnation != r.Self.Incarnation) {
		// The entry lapsed while this process lives; it is written again.
		r.written = false
		close(r.wakeChannel())
		r.wake = nil
	}
	r.mu.Unlock()
	if gone := known && (remove || before.Incarnation != host.Incarnation); gone {
		r.Logger.Info("host gone", slog.String("host", id), slog.String("incarnation", before.Incarnation))
		if r.OnGone != nil {
			r.OnGone(before)
		}
	}
}

// renew extends the lease, and writes the entry when it isn't there.
func (r *Roster) renew(ctx context.Context) error {
	r.mu.Lock()
	lease, written := r.lease, r.written
	r.mu.Unlock()
	if lease != 0 && written {
		left, err := r.Store.KeepAlive(ctx, lease)
		if err != nil || left > 0 {
			return err
		}
		lease = 0
	}
	return r.Enlist(ctx, lease)
}

// Enlist writes this host's entry under lease, or under a new one if lease is
// zero.
func (r *Roster) Enlist(ctx context.Context, lease kv.LeaseID) error {
	r.mu.Lock()
	self := r.Self
	self.Leaving = r.leaving
	r.mu.Unlock()
	if lease == 0 {
		granted, err := r.Store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		lease = granted
	}
	value, err := json.Marshal(self)
	if err != nil {
		return kind.Wrap(kind.Internal, err)
	}
	_, err = r.Store.Commit(ctx, kv.Txn{Writes: []kv.Write{
		{Key: Prefix + self.ID, Lease: lease, Value: value}, {Key: epochKey, Value: []byte(self.Incarnation)},
	}})
	if kind.Is(err, kind.NotFound) {
		lease = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
	r.written = err == nil && self.Leaving == r.leaving
	return err
}

// Withdraw removes this host's entry at once.
func (r *Roster) Withdraw(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return r.Store.RevokeLease(ctx, lease)
}

// wakeChannel returns the channel that ends a pause. r.mu is held.
func (r *Roster) wakeChannel() chan struct{} {
	if r.wake == nil {
		r.wake = make(chan struct{})
	}
	return r.wake
}

func (r *Roster) pause(ctx context.Context, d time.Duration) {
	r.mu.Lock()
	wake := r.wakeChannel()
	r.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
