package loading

import (
	"context"
	"encoding/json"
	"strings"
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

// Permit is the right of a host to give orders, as of one moment.
type Permit struct {
	Hosts []string
	// Revision is the fencing number.
	Revision int64

	list roster.List
}

// Ledger keeps in the store who ordered which engine last. The fields are set
// before the first call.
type Ledger struct {
	Self  string
	Store kv.Store
}

var _ Register = Ledger{}

// Permit implements Register.
func (l Ledger) Permit(ctx context.Context) (Permit, error) {
	list, err := roster.Read(ctx, l.Store)
	if err != nil {
		return Permit{}, err
	}
	return Permit{Hosts: roster.IDs(list.Hosts), Revision: list.Revision, list: list}, nil
}

// Enter implements Register. It fails with kind conflict if a host was added
// since the permit was read, or if this host is no longer listed.
func (l Ledger) Enter(ctx context.Context, permit Permit, engines []string, now time.Time) error {
	value, err := json.Marshal(Record{AtMillis: now.UnixMilli(), Host: l.Self})
	if err != nil {
		return kind.Wrap(kind.Internal, err)
	}
	for start := 0; start < len(engines); start += maxRecords {
		txn := kv.Txn{Conditions: permit.list.Unchanged(l.Self)}
		for _, engine := range engines[start:min(start+maxRecords, len(engines))] {
			txn.Writes = append(txn.Writes, kv.Write{Key: recordPrefix + engine, Value: value})
		}
		result, err := l.Store.Commit(ctx, txn)
		if err != nil {
			return err
		}
		if !result.Committed {
			return kind.New(kind.Conflict, "the list of hosts has changed")
		}
	}
	return nil
}

// Records implements Register.
func (l Ledger) Records(ctx context.Context) (map[string]Record, error) {
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
