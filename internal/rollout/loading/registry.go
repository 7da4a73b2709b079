package loading

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
)

const (
	// lastOrderPrefix is the prefix of the keys that hold the last orders.
	lastOrderPrefix = "nutmegway/orders/"
	// maxWritesPerTxn leaves room for the conditions of a transaction, which has
	// at most 32 operations.
	maxWritesPerTxn = 28
)

// LastOrder says which host recorded the last order to an engine. The order itself
// may not have been sent.
type LastOrder struct {
	// AtMillis is when it was recorded, in Unix milliseconds of the host's clock.
	AtMillis int64  `json:"at-millis"`
	Host     string `json:"host"`
}

// Permit holds the host list under which orders can be recorded.
type Permit struct {
	Hosts []string

	list roster.List
}

// Epoch returns the epoch of the permit's host list. It changes whenever a host
// is added.
func (p Permit) Epoch() int64 { return p.list.Epoch() }

// StoreRegistry is an [OrderRegistry] in the key-value store. The fields are set
// before the first call.
type StoreRegistry struct {
	// CachedList returns the host list as this host has received it, which
	// saves a read of the store before each order. If CachedList is nil, the
	// list is read from the store each time.
	CachedList func() roster.List
	Self       string
	Store      kv.Store

	// rejectedEpoch is the epoch of the last host list that the store found
	// outdated.
	rejectedEpoch atomic.Int64
}

var _ OrderRegistry = (*StoreRegistry)(nil)

// Permit implements [OrderRegistry]. The cached list is as safe as one that was
// just read, since RecordOrders succeeds only if no host was added since.
func (r *StoreRegistry) Permit(ctx context.Context) (Permit, error) {
	if r.CachedList != nil {
		list := r.CachedList()
		if epoch := list.Epoch(); epoch != 0 && epoch != r.rejectedEpoch.Load() {
			return newPermit(list), nil
		}
	}
	list, err := roster.Read(ctx, r.Store)
	if err != nil {
		return Permit{}, err
	}
	return newPermit(list), nil
}

// newPermit returns the permit for a list. Hosts that reach no engines send no orders.
func newPermit(list roster.List) Permit {
	return Permit{Hosts: roster.IDs(roster.Connected(list.Hosts)), list: list}
}

// RecordOrders implements [OrderRegistry]. The fencing token is the store revision
// of the write. It fails with kind conflict if a host was added to the permit's
// list, or if this host's own entry has been changed or removed since.
func (r *StoreRegistry) RecordOrders(ctx context.Context, permit Permit, engines []string, now time.Time) (int64, error) {
	var fencingToken int64
	value, err := json.Marshal(LastOrder{AtMillis: now.UnixMilli(), Host: r.Self})
	if err != nil {
		return 0, kind.Wrap(kind.Internal, err)
	}
	for start := 0; start < len(engines); start += maxWritesPerTxn {
		txn := kv.Txn{Conditions: permit.list.UnchangedConditions(r.Self)}
		for _, engine := range engines[start:min(start+maxWritesPerTxn, len(engines))] {
			txn.Writes = append(txn.Writes, kv.Write{Key: lastOrderPrefix + engine, Value: value})
		}
		result, err := r.Store.Commit(ctx, txn)
		if err != nil {
			return 0, err
		}
		if !result.Committed {
			r.rejectedEpoch.Store(permit.list.Epoch())
			return 0, kind.New(kind.Conflict, "a host was added after epoch %d, or the entry of host %s has been changed or removed",
				permit.list.Epoch(), r.Self)
		}
		fencingToken = result.Revision
	}
	return fencingToken, nil
}

// LastOrders implements [OrderRegistry].
func (r *StoreRegistry) LastOrders(ctx context.Context) (map[string]LastOrder, error) {
	entries, _, err := r.Store.List(ctx, lastOrderPrefix)
	if err != nil {
		return nil, err
	}
	orders := make(map[string]LastOrder, len(entries))
	for _, entry := range entries {
		var order LastOrder
		if err := json.Unmarshal(entry.Value, &order); err != nil {
			return nil, kind.Wrap(kind.Internal, err)
		}
		orders[strings.TrimPrefix(entry.Key, lastOrderPrefix)] = order
	}
	return orders, nil
}
