// Package kvmemory is a key-value service in memory, with leases, watches and
// the faults that such a service has.
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

// Fault is what happens to a call.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultRefused answers that nothing was done.
	FaultRefused
	// FaultLost carries a write out and loses the answer.
	FaultLost
	// FaultLate loses the answer, and carries the write out when Late is called.
	FaultLate
)

// Store is the service. The zero value is ready.
type Store struct {
	mu sync.Mutex
	// onCall decides on the fault of each call by its method.
	onCall   func(method string) Fault
	changed  chan struct{}
	entries  map[string]kv.Entry
	events   []kv.Event
	compact  int64
	late     []kv.Txn
	leases   map[kv.LeaseID]*lease
	next     kv.LeaseID
	revision int64
}

type lease struct {
	timer *time.Timer
	ttl   time.Duration
}

var _ kv.RangeStore = (*Store)(nil)

// Inject lets onCall decide on the fault of each call by its method; nil ends
// all faults.
func (s *Store) Inject(onCall func(method string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCall = onCall
}

func (s *Store) decide(method string) Fault {
	s.mu.Lock()
	onCall := s.onCall
	s.mu.Unlock()
	if onCall == nil {
		return FaultNone
	}
	return onCall(method)
}

func (s *Store) fault(method string) error {
	switch s.decide(method) {
	case FaultRefused:
		return kind.New(kind.StoreUnavailable, "refused")
	case FaultLost, FaultLate:
		return kind.New(kind.StoreWriteUnknown, "lost")
	case FaultNone:
	}
	return nil
}

// Commit implements kv.Store.
func (s *Store) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	fault := s.decide("commit")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault {
	case FaultRefused:
		return kv.TxnResult{}, kind.New(kind.StoreUnavailable, "refused")
	case FaultLate:
		s.late = append(s.late, txn)
		return kv.TxnResult{}, kind.New(kind.StoreWriteUnknown, "lost")
	case FaultLost:
		_, _ = s.commit(txn)
		return kv.TxnResult{}, kind.New(kind.StoreWriteUnknown, "lost")
	case FaultNone:
	}
	return s.commit(txn)
}

// Put writes without regard to faults, as an operator does whom the service
// never refuses.
func (s *Store) Put(writes ...kv.Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.commit(kv.Txn{Writes: writes}) // Only conditions and leases can fail.
}

// Late carries out the writes that FaultLate held back.
func (s *Store) Late() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.late {
		_, _ = s.commit(txn)
	}
	s.late = nil
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
			return kv.TxnResult{}, kind.New(kind.NotFound, "no such lease")
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.write(w)
	}
	s.notify()
	return kv.TxnResult{Committed: true, Revision: s.revision}, nil
}

func (s *Store) write(w kv.Write) {
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
	if err := s.fault("get"); err != nil {
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
	if err := s.fault("grant-lease"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	if s.leases == nil {
		s.leases = make(map[kv.LeaseID]*lease)
	}
	s.leases[id] = &lease{timer: time.AfterFunc(ttl, func() { s.End(id) }), ttl: ttl}
	return id, nil
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(_ context.Context, id kv.LeaseID) (time.Duration, error) {
	if err := s.fault("keep-alive"); err != nil {
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

// End ends a lease at once.
func (s *Store) End(id kv.LeaseID) {
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

// EndAll ends all leases at once.
func (s *Store) EndAll() {
	s.mu.Lock()
	ids := slices.Collect(maps.Keys(s.leases))
	s.mu.Unlock()
	for _, id := range ids {
		s.End(id)
	}
}

// Remove deletes keys without regard to leases, as an operator or a failing
// service may.
func (s *Store) Remove(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(func(e kv.Entry) bool { return strings.HasPrefix(e.Key, prefix) })
}

func (s *Store) remove(match func(kv.Entry) bool) {
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if match(s.entries[key]) {
			s.write(kv.Write{Delete: true, Key: key})
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
	if err := s.fault("list"); err != nil {
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

// ListStale implements kv.RangeStore. The revision is that of the newest entry, as
// of a service that doesn't tell how old its answer is.
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
	if err := s.fault("revoke-lease"); err != nil {
		return err
	}
	s.End(id)
	return nil
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compact = nil, s.revision
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

// Next implements kv.Watcher. It returns an empty batch when ctx's deadline
// passes, as a service does that bounds the wait.
func (w *watcher) Next(ctx context.Context) (kv.Batch, error) {
	for {
		if err := w.store.fault("watch"); err != nil {
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
	if w.revision < s.compact {
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
