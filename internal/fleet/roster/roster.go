// Package roster maintains the list of live entry hosts. Each host registers
// itself in the key-value service under its own lease.
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

// Prefix is the prefix of the keys of host entries.
const Prefix = hostsPrefix + "/"

const (
	hostsPrefix = mirror.LivePrefix + "hosts"
	// epochKey is written whenever a host registers, so that a transaction can
	// require that no host was added.
	epochKey = hostsPrefix + "-epoch"
)

const (
	// leaseTTL is how long a host stays listed after its last renewal. A dead
	// host is no longer returned to callers by the time they retry.
	leaseTTL = 2500 * time.Millisecond
	// renewInterval tolerates two lost renewals within leaseTTL.
	renewInterval = 700 * time.Millisecond
	// In a fleet of more than largeFleetHosts hosts, renewals are most of the calls
	// to the service. The longer interval tolerates one lost renewal.
	largeFleetHosts         = 24
	largeFleetRenewInterval = 1200 * time.Millisecond
	retryInterval           = 200 * time.Millisecond
)

// Host is one entry host.
type Host struct {
	// Address is the address for callers.
	Address string `json:"address"`
	ID      string `json:"id"`
	// Incarnation differs at each start of the process.
	Incarnation string `json:"incarnation"`
	// Isolated reports that the host reaches no backend server. It still serves callers, over
	// other hosts.
	Isolated bool `json:"isolated,omitempty"`
	// Leaving reports that the host finishes its requests and takes no new ones.
	Leaving bool `json:"leaving"`
	// PeerAddress is the address for other hosts, or empty if they cannot connect.
	PeerAddress string `json:"peer"`
	// Cores is the number of cores of the host, which may be a fraction. Zero
	// means unknown.
	Cores float64 `json:"processor,omitempty"`
	Zone  string  `json:"zone"`
}

// Roster registers this host and tracks the others. The exported fields must be
// set before Run.
type Roster struct {
	Logger *slog.Logger
	// OnRemoved is called when an incarnation of a host is no longer listed.
	OnRemoved func(Host)
	Self      Host
	Store     kv.Store

	mu       sync.Mutex
	hosts    map[string]Host
	isolated bool
	lease    kv.LeaseID
	leaving  bool
	// revisions holds the revisions of the keys of the list, as the mirror reported
	// them.
	revisions map[string]int64
	// registered reports that the store holds the current entry of this host.
	registered bool
	// wake is closed and reset to end sleep early.
	wake chan struct{}
}

// Run registers this host and renews its lease until ctx ends. It does not remove
// the entry; Deregister does.
func (r *Roster) Run(ctx context.Context) error {
	r.mu.Lock()
	r.wakeChannel()
	r.mu.Unlock()
	for ctx.Err() == nil {
		delay := r.renewalInterval()
		if err := r.renew(ctx); err != nil {
			if !kv.IsTransient(err) {
				r.Logger.LogAttrs(ctx, slog.LevelWarn, "host entry not renewed", slog.Any("error", err))
			}
			delay = retryInterval
		}
		r.sleep(ctx, delay)
	}
	return nil
}

// renewalInterval returns the time between two renewals.
func (r *Roster) renewalInterval() time.Duration {
	if len(r.Active()) > largeFleetHosts {
		return largeFleetRenewInterval
	}
	return renewInterval
}

// Leave announces to the other hosts that this one takes no new requests.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving, r.registered = true, false
	close(r.wakeChannel())
	r.wake = nil
}

// SetIsolated announces to the other hosts whether this one reaches backend servers.
func (r *Roster) SetIsolated(isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated, r.registered = isolated, false
	close(r.wakeChannel())
	r.wake = nil
}

// Hosts returns the listed hosts that are not leaving, sorted by id. This host
// comes last, listed or not, unless it is leaving.
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
		hosts = append(hosts, r.selfEntry())
	}
	return hosts
}

// Active returns the listed hosts that are not leaving, sorted by id. This host is
// included only if it is listed.
func (r *Roster) Active() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return activeHosts(r.hosts)
}

// List is a list of hosts with the revisions of their keys.
type List struct {
	// Hosts are the hosts that are not leaving, sorted by id.
	Hosts []Host

	revisions map[string]int64
}

// Snapshot returns the list as last reported by the mirror. It may still hold hosts
// that are no longer listed. If a host was added since, the epoch in the store is
// newer than that of the snapshot, and UnchangedConditions do not hold.
func (r *Roster) Snapshot() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return List{Hosts: activeHosts(r.hosts), revisions: maps.Clone(r.revisions)}
}

// Epoch returns the revision at which a host was last added, or zero if unknown.
func (l List) Epoch() int64 { return l.revisions[epochKey] }

// Read reads the list from the store.
func Read(ctx context.Context, store kv.Store) (List, error) {
	entries, _, err := store.List(ctx, hostsPrefix)
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
	list.Hosts = activeHosts(hosts)
	return list, nil
}

// UnchangedConditions returns the conditions that hold as long as no host was added
// since the list was read and the entry of the host id is unchanged.
func (l List) UnchangedConditions(id string) []kv.Condition {
	return []kv.Condition{
		{Key: epochKey, ModRevision: l.revisions[epochKey]},
		{Key: Prefix + id, ModRevision: l.revisions[Prefix+id]},
	}
}

// activeHosts returns the hosts that are not leaving, sorted by id.
func activeHosts(hosts map[string]Host) []Host {
	var active []Host
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		if !hosts[id].Leaving {
			active = append(active, hosts[id])
		}
	}
	return active
}

// IDs returns the ids of hosts.
func IDs(hosts []Host) []string {
	ids := make([]string, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	return ids
}

// minCapacityShare is the minimum number of cores of a high-capacity host, as a share
// of the cores of the largest host.
const minCapacityShare = 0.5

// HighCapacity returns the hosts that have at least minCapacityShare of the cores of
// the largest host. These hosts can carry the streams of a whole batch.
func HighCapacity(hosts []Host) []Host {
	var largest float64
	for _, h := range hosts {
		largest = max(largest, h.Cores)
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Cores < minCapacityShare*largest })
}

// Connected returns the hosts that reach backend servers, or all hosts if none does. Duties
// that need backend servers are theirs.
func Connected(hosts []Host) []Host {
	connected := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Isolated })
	if len(connected) == 0 {
		return hosts
	}
	return connected
}

// Get returns the listed host with the id, leaving or not.
func (r *Roster) Get(id string) (Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	host, ok := r.hosts[id]
	return host, ok
}

// Alive reports whether the incarnation of the host id is listed, leaving or not.
func (r *Roster) Alive(id, incarnation string) bool {
	host, ok := r.Get(id)
	return ok && host.Incarnation == incarnation
}

// Apply applies a change from the mirror of mirror.LivePrefix. Other keys are ignored.
func (r *Roster) Apply(change mirror.Change) {
	for _, event := range change.Events {
		id, ok := strings.CutPrefix(event.Entry.Key, Prefix)
		if !ok {
			continue
		}
		var host Host
		if !event.Delete {
			if err := json.Unmarshal(event.Entry.Value, &host); err != nil {
				r.Logger.Warn("invalid host entry", slog.String("key", event.Entry.Key), slog.Any("error", err))
				continue
			}
		}
		r.setHost(id, host, event.Delete)
	}
	// Revisions come last: once the epoch is recorded, r.hosts must hold all hosts
	// that were added up to it.
	for _, event := range change.Events {
		if strings.HasPrefix(event.Entry.Key, hostsPrefix) {
			r.recordRevision(event)
		}
	}
}

// recordRevision records the revision of a key of the list.
func (r *Roster) recordRevision(event kv.Event) {
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

// setHost replaces or removes one host and calls OnRemoved if its incarnation is no
// longer listed.
func (r *Roster) setHost(id string, host Host, remove bool) {
	r.mu.Lock()
	previous, known := r.hosts[id]
	if r.hosts == nil {
		r.hosts = make(map[string]Host)
	}
	if remove {
		delete(r.hosts, id)
	} else {
		r.hosts[id] = host
	}
	if id == r.Self.ID && (remove || host.Incarnation != r.Self.Incarnation) {
		// The entry of this process has expired, or the stored entry is that of
		// another incarnation. Run writes it again.
		r.registered = false
		close(r.wakeChannel())
		r.wake = nil
	}
	r.mu.Unlock()
	if removed := known && (remove || previous.Incarnation != host.Incarnation); removed {
		r.Logger.Info("host gone", slog.String("host", id), slog.String("incarnation", previous.Incarnation))
		if r.OnRemoved != nil {
			r.OnRemoved(previous)
		}
	}
}

// renew extends the lease. It registers the host if it has no lease or no current
// entry, or if the lease has expired.
func (r *Roster) renew(ctx context.Context) error {
	r.mu.Lock()
	lease, registered := r.lease, r.registered
	r.mu.Unlock()
	if lease != 0 && registered {
		remaining, err := r.Store.KeepAlive(ctx, lease)
		if err != nil || remaining > 0 {
			return err
		}
		lease = 0
	}
	return r.Register(ctx, lease)
}

// Register writes this host's entry under lease, or under a new lease if lease is
// zero. If the lease has ended, Register returns an error of kind not-found, and the
// next renewal by Run uses a new lease.
func (r *Roster) Register(ctx context.Context, lease kv.LeaseID) error {
	r.mu.Lock()
	self := r.selfEntry()
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
	r.registered = err == nil && self == r.selfEntry()
	return err
}

// selfEntry returns the current entry of this host. r.mu is held.
func (r *Roster) selfEntry() Host {
	self := r.Self
	self.Isolated, self.Leaving = r.isolated, r.leaving
	return self
}

// Deregister removes this host's entry by revoking its lease.
func (r *Roster) Deregister(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return r.Store.RevokeLease(ctx, lease)
}

// wakeChannel returns the channel whose closing ends sleep early. r.mu is held.
func (r *Roster) wakeChannel() chan struct{} {
	if r.wake == nil {
		r.wake = make(chan struct{})
	}
	return r.wake
}

// sleep waits for d, until ctx ends, or until the wake channel is closed.
func (r *Roster) sleep(ctx context.Context, d time.Duration) {
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
