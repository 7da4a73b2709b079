// Package kv defines the interface to the platform's key-value service. The
// client for each protocol is in a package named after the protocol.
package kv

import (
	"context"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// ErrCompacted is returned by Next of a RangeStore's watcher when the changes that
// the watch has to deliver next have been compacted. The caller must list the keys
// again and open a new watch.
var ErrCompacted error = kind.New(kind.Conflict, "the revisions that the watch continues from have been compacted")

// Entry is one key with its value and revisions.
type Entry struct {
	// CreateRevision is the revision that created the key.
	CreateRevision int64
	Key            string
	Lease          LeaseID
	// ModRevision is the revision of the last change. Zero means that the key
	// does not exist.
	ModRevision int64
	Value       []byte
}

// LeaseID identifies a lease of the service. Zero means no lease.
type LeaseID int64

// Condition requires that Key was last changed at ModRevision; zero requires
// that the key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Write sets Key, or removes it when Delete is set.
type Write struct {
	Delete bool
	Key    string
	Lease  LeaseID
	Value  []byte
}

// Txn is a set of writes that is applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	// Committed is false when a condition did not hold.
	Committed bool
	// Current holds the entries of the conditions' keys at the time the
	// transaction was refused, in the order of the conditions. It is empty if the
	// transaction was committed.
	Current []Entry
	// Revision is the store's revision after the transaction.
	Revision int64
}

// Event is one change of a key.
type Event struct {
	Delete bool
	Entry  Entry
}

// Batch holds the changes that a watch delivers at once, in revision order. It may
// have no events; it then only reports that no further change exists up to Revision.
type Batch struct {
	Events []Event
	// Revision is the store's revision up to which all changes have been
	// delivered.
	Revision int64
}

// Watcher delivers the changes below a prefix until it fails or is closed.
type Watcher interface {
	// Close ends the watch.
	Close()
	// Next waits for the next batch until ctx ends. The watcher of a RangeStore
	// can be used again after any error except ErrCompacted. With any other Store,
	// an error ends the watch unless ctx has ended: the caller lists the keys again
	// and opens a new watch.
	Next(ctx context.Context) (Batch, error)
}

// Store is the key-value service. Each call counts against its rate limit.
//
// If Commit fails with kind store-unavailable, nothing was written. If it fails with
// kind store-write-unknown, the writes may have been applied or may still be: the
// caller reads the keys, or repeats the transaction if its conditions or its writes
// make that safe. Commit fails with kind not-found, without effect, if the lease of a
// write has ended. A lease call that fails with kind store-unavailable or
// store-write-unknown may have taken effect.
type Store interface {
	// Commit applies the writes of txn if all of its conditions hold
	// (compare-and-swap).
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Get returns the entry of key; ModRevision is zero when there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// GrantLease returns a new lease that expires ttl after its last keep-alive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease and returns its remaining time to live; zero
	// means that the lease has ended.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// List returns the entries below prefix, sorted by key, and the store's
	// revision.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// RevokeLease ends the lease and deletes the keys bound to it.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch reports changes below prefix after revision.
	Watch(ctx context.Context, prefix string, revision int64) (Watcher, error)
}

// IsTransient reports whether err has kind store-unavailable or store-write-unknown.
// Such an error says nothing about the stored keys, so the call is worth repeating.
func IsTransient(err error) bool {
	return kind.Is(err, kind.StoreUnavailable) || kind.Is(err, kind.StoreWriteUnknown)
}

// RangeStore is a Store that can list the keys below a prefix that sort after a
// given key, so that a reader can continue an interrupted list.
type RangeStore interface {
	Store
	// ListAfter returns the entries below prefix whose keys sort after the key
	// after, sorted by key, and the store's revision before the first entry was
	// read.
	ListAfter(ctx context.Context, prefix, after string) ([]Entry, int64, error)
	// ListStale is a cheaper List whose entries may be stale by some seconds. A watch
	// from the returned revision on misses no change; zero means that the revision
	// is unknown.
	ListStale(ctx context.Context, prefix string) ([]Entry, int64, error)
}
