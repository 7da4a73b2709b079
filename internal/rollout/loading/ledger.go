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
	recordPrefix = "nutmegway/orders/"
	// maxRecords leaves room for the conditions among the 32 rows of a
	// transaction.
	maxRecords = 28
)

// Record is the last order to an engine that a host may have given.
type Record struct {
	// AtMillis is when it was given, in Unix milliseconds of the host's clock.
	AtMillis int64  `json:"at-millis"`
	Host     string `json:"host"`
}

// Permit is the right of a host to give orders, under a list of hosts.
type Permit struct {
	Hosts []string

	list roster.List
}

// Epoch tells the permit's list of hosts from one to which a host was added.
func (p Permit) Epoch() int64 { return p.list.Epoch() }

// Ledger keeps in the store who ordered which engine last. The fields are set
// before the first call.
type Ledger struct {
	// Known returns the list of hosts as this host has heard of it. It saves
	// reading the list before each order; nil reads it.
	Known func() roster.List
	Self  string
	Store kv.Store

	// refused is the epoch of the list that the store last refused.
	refused atomic.Int64
}

var _ Register = (*Ledger)(nil)

// Permit implements Register. A list that this host has heard of serves as well
// as one that was just read, since Enter succeeds only if no host was added to
// it.
func (l *Ledger) Permit(ctx context.Context) (Permit, error) {
	if l.Known != nil {
		list := l.Known()
		if epoch := list.Epoch(); epoch != 0 && epoch != l.refused.Load() {
			return Permit{Hosts: roster.IDs(list.Hosts), list: list}, nil
		}
	}
	list, err := roster.Read(ctx, l.Store)
	if err != nil {
		return Permit{}, err
	}
	return Permit{Hosts: roster.IDs(list.Hosts), list: list}, nil
}

// Enter implements Register. The fencing number is the store's revision of the
// entry. It fails with kind conflict if a host was added to the permit's list, or
// if this host is no longer listed.
func (l *Ledger) Enter(ctx context.Context, permit Permit, engines []string, now time.Time) (int64, error) {
	var fence int64
	value, err := json.Marshal(Record{AtMillis: now.UnixMilli(), Host: l.Self})
	if err != nil {
		return 0, kind.Wrap(kind.Internal, err)
	}
	for start := 0; start < len(engines); start += maxRecords {
		txn := kv.Txn{Conditions: permit.list.UnchangedConditions(l.Self)}
		for _, engine := range engines[start:min(start+maxRecords, len(engines))] {
			txn.Writes = append(txn.Writes, kv.Write{Key: recordPrefix + engine, Value: value})
		}
		result, err := l.Store.Commit(ctx, txn)
		if err != nil {
			return 0, err
		}
		if !result.Committed {
			l.refused.Store(permit.list.Epoch())
			return 0, kind.New(kind.Conflict, "the list of hosts has changed")
		}
		fence = result.Revision
	}
	return fence, nil
}

// Records implements Register.
func (l *Ledger) Records(ctx context.Context) (map[string]Record, error) {
	entries, _, err := l.Store.List(ctx, recordPrefix)
	if err != nil {
		return nil, err
	}
	records := make(map[string]Record, len(entries))
	for _, entry := range entries {
		var record Record
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return nil, kind.Wrap(kind.Internal, err)
		}
		records[strings.TrimPrefix(entry.Key, recordPrefix)] = record
	}
	return records, nil
}
