package kv

import (
	"context"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// DryRun is a Store that reads from another store and writes nothing. Commit
// evaluates the conditions of a transaction against the current entries and
// returns the result that the transaction would have had.
type DryRun struct {
	Store Store
}

var _ Store = DryRun{}

// Commit reads the keys of the conditions and returns the result that txn would
// have had. The result's revision is the highest ModRevision that was read.
func (d DryRun) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	result := TxnResult{Committed: true}
	current := make([]Entry, 0, len(txn.Conditions))
	for _, condition := range txn.Conditions {
		entry, err := d.Store.Get(ctx, condition.Key)
		if err != nil {
			return TxnResult{}, err
		}
		if entry.ModRevision != condition.ModRevision {
			result.Committed = false
		}
		result.Revision = max(result.Revision, entry.ModRevision)
		current = append(current, entry)
	}
	if !result.Committed {
		result.Current = current
	}
	return result, nil
}

// Get implements Store.
func (d DryRun) Get(ctx context.Context, key string) (Entry, error) { return d.Store.Get(ctx, key) }

// GrantLease returns an error of kind bad-request, since a lease is a write.
func (d DryRun) GrantLease(context.Context, time.Duration) (LeaseID, error) {
	return 0, errDryRun()
}

// KeepAlive returns an error of kind bad-request, since it would extend a lease.
func (d DryRun) KeepAlive(context.Context, LeaseID) (time.Duration, error) {
	return 0, errDryRun()
}

// List implements Store.
func (d DryRun) List(ctx context.Context, prefix string) ([]Entry, int64, error) {
	return d.Store.List(ctx, prefix)
}

// RevokeLease returns an error of kind bad-request, since it would delete keys.
func (d DryRun) RevokeLease(context.Context, LeaseID) error { return errDryRun() }

// Watch implements Store.
func (d DryRun) Watch(ctx context.Context, prefix string, revision int64) (Watcher, error) {
	return d.Store.Watch(ctx, prefix, revision)
}

func errDryRun() error {
	return kind.New(kind.BadRequest, "leases can't be granted, extended or revoked in a dry run")
}
