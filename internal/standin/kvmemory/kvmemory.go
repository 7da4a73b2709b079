// Package kvmemory implements an in-memory key-value service with leases, watches and
// injected faults.
package kvmemory

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// Fault is the outcome that is injected into a call.
type Fault int

// The faults. Under any fault but FaultNone, a call other than Commit has no effect.
const (
	FaultNone Fault = iota
	// FaultRefused fails the call and reports that it had no effect.
	FaultRefused
	// FaultReplyLost commits a transaction and reports that its outcome is unknown.
	FaultReplyLost
	// FaultDelayedCommit reports that the outcome of a transaction is unknown, and
	// commits it when CommitDelayed is called.
	FaultDelayedCommit
)

// Store is an in-memory key-value service. The zero value is ready to use.
type Store struct {
	mu sync.Mutex
	// faultFor returns the fault of each call, given its method.
	faultFor          func(method string) Fault
	changed           chan struct{}
	entries           map[string]kv.Entry
	events            []kv.Event
	compactedRevision int64
	delayed           []kv.Txn
	leases            map[kv.LeaseID]*lease
	lastLeaseID       kv.LeaseID
	revision          int64
}

type lease struct {
	timer *time.Timer
	ttl   time.Duration
}

var _ kv.RangeStore = (*Store)(nil)

// Inject sets the function that returns the fault of each call, given its method. Nil
// ends all faults.
func (s *Store) Inject(faultFor func(method string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = faultFor
}

func (s *Store) nextFault(method string) Fault {
	s.mu.Lock()
	faultFor := s.faultFor
	s.mu.Unlock()
	if faultFor == nil {
		return FaultNone
	}
	return faultFor(method)
}

func (s *Store) faultError(method string) error {
	switch s.nextFault(method) {
	case FaultRefused:
		return kind.New(kind.StoreUnavailable, "call refused by an injected fault")
	case FaultReplyLost, FaultDelayedCommit:
		return kind.New(kind.StoreWriteUnknown, "reply dropped by an injected fault")
	case FaultNone:
	}
	return nil
}

// Commit implements kv.Store.
func (s *Store) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	fault := s.nextFault("commit")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault {
	case FaultRefused:
		return kv.TxnResult{}, kind.New(kind.StoreUnavailable, "call refused by an injected fault")
	case FaultDelayedCommit:
		s.delayed = append(s.delayed, txn)
		return kv.TxnResult{}, kind.New(kind.StoreWriteUnknown, "reply dropped by an injected fault")
	case FaultReplyLost:
		_, _ = s.commit(txn)
		return kv.TxnResult{}, kind.New(kind.StoreWriteUnknown, "reply dropped by an injected fault")
	case FaultNone:
	}
	return s.commit(txn)
}

// Put commits writes without injected faults, like an operator with direct access to
// the service.
func (s *Store) Put(writes ...kv.Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.commit(kv.Txn{Writes: writes}) // A commit fails only because of conditions or leases.
}

// CommitDelayed commits the transactions that FaultDelayedCommit held back.
func (s *Store) CommitDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.delayed {
		_, _ = s.commit(txn)
	}
	s.delayed = nil
}

func (s *Store) commit(txn kv.Txn) (kv.TxnResult, error) {
	var current []kv.Entry
	committed := true
	for _, c := range txn.Conditions {
		entry := s.entries[c.Key]
		entry.Key = c.Key
		current = append(current, entry)
		committed = committed && entry.ModRevision == c.ModRevision
	}
	if !committed {
		return kv.TxnResult{Current: current, Revision: s.revision}, nil
	}
	for _, w := range txn.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return kv.TxnResult{}, kind.New(kind.NotFound, "write of %q: lease %d does not exist", w.Key, w.Lease)
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.applyWrite(w)
	}
	s.notify()
	return kv.TxnResult{Committed: true, Revision: s.revision}, nil
}

func (s *Store) applyWrite(w kv.Write) {
	if s.entries == nil {
		s.entries = make(map[string]kv.Entry)
	}
	before, ok := s.entries[w.Key]
	if w.Delete {
		if ok {
			delete(s.entries, w.Key)
			s.events = append(s.events, kv.Event{Delete: true, Entry: kv.Entry{Key: w.Key, ModRevision: s.revision}})
		}
		return
	}
	entry := kv.Entry{
		CreateRevision: s.revision, Key: w.Key, Lease: w.Lease, ModRevision: s.revision, Value: slices.Clone(w.Value),
	}
	if ok {
		entry.CreateRevision = before.CreateRevision
	}
	s.entries[w.Key] = entry
	s.events = append(s.events, kv.Event{Entry: entry})
}

func (s *Store) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Get implements kv.Store.
func (s *Store) Get(_ context.Context, key string) (kv.Entry, error) {
	if err := s.faultError("get"); err != nil {
		return kv.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	entry.Key = key
	return entry, nil
}

// GrantLease implements kv.Store.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.faultError("grant-lease"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	id := s.lastLeaseID
	if s.leases == nil {
		s.leases = make(map[kv.LeaseID]*lease)
	}
	s.leases[id] = &lease{timer: time.AfterFunc(ttl, func() { s.ExpireLease(id) }), ttl: ttl}
	return id, nil
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(_ context.Context, id kv.LeaseID) (time.Duration, error) {
	if err := s.faultError("keep-alive"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return 0, nil
	}
	l.timer.Reset(l.ttl)
	return l.ttl, nil
}

// ExpireLease ends a lease at once and deletes its keys.
func (s *Store) ExpireLease(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.remove(func(e kv.Entry) bool { return e.Lease == id })
}

// ExpireAllLeases ends all leases at once and deletes their keys.
func (s *Store) ExpireAllLeases() {
	s.mu.Lock()
	ids := slices.Collect(maps.Keys(s.leases))
	s.mu.Unlock()
	for _, id := range ids {
		s.ExpireLease(id)
	}
}

// Remove deletes the keys with the prefix whether or not they have a lease, as an
// operator or a failing service may.
func (s *Store) Remove(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(func(e kv.Entry) bool { return strings.HasPrefix(e.Key, prefix) })
}

func (s *Store) remove(match func(kv.Entry) bool) {
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if match(s.entries[key]) {
			s.applyWrite(kv.Write{Delete: true, Key: key})
		}
	}
	s.notify()
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	return s.ListAfter(ctx, prefix, "")
}

// ListAfter implements kv.RangeStore.
func (s *Store) ListAfter(_ context.Context, prefix, after string) ([]kv.Entry, int64, error) {
	if err := s.faultError("list"); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []kv.Entry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, s.entries[key])
		}
	}
	return entries, s.revision, nil
}

// ListStale implements kv.RangeStore. The revision returned is that of the newest entry,
// like that of a service that does not report the revision of its answer.
func (s *Store) ListStale(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	entries, _, err := s.ListAfter(ctx, prefix, "")
	var revision int64
	for _, e := range entries {
		revision = max(revision, e.ModRevision)
	}
	return entries, revision, err
}

// RevokeLease implements kv.Store.
func (s *Store) RevokeLease(_ context.Context, id kv.LeaseID) error {
	if err := s.faultError("revoke-lease"); err != nil {
		return err
	}
	s.ExpireLease(id)
	return nil
}

// Compact discards all events so far.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedRevision = nil, s.revision
}

// Watch implements kv.Store.
func (s *Store) Watch(_ context.Context, prefix string, revision int64) (kv.Watcher, error) {
	return &watcher{prefix: prefix, revision: revision, store: s}, nil
}

type watcher struct {
	prefix   string
	revision int64
	store    *Store
}

var _ kv.Watcher = (*watcher)(nil)

// Close implements kv.Watcher.
func (*watcher) Close() {}

// Next implements kv.Watcher. It returns an empty batch when ctx's deadline passes,
// like a service that bounds how long a call waits.
func (w *watcher) Next(ctx context.Context) (kv.Batch, error) {
	for {
		if err := w.store.faultError("watch"); err != nil {
			return kv.Batch{}, err
		}
		batch, changed, err := w.read()
		if err != nil || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				return batch, nil
			}
			return kv.Batch{}, ctx.Err()
		}
	}
}

func (w *watcher) read() (kv.Batch, <-chan struct{}, error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.revision < s.compactedRevision {
		return kv.Batch{}, nil, kv.ErrCompacted
	}
	batch := kv.Batch{Revision: s.revision}
	for _, event := range s.events {
		if event.Entry.ModRevision > w.revision && strings.HasPrefix(event.Entry.Key, w.prefix) {
			batch.Events = append(batch.Events, event)
		}
	}
	w.revision = batch.Revision
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return batch, s.changed, nil
}
