package kv

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

var classError = errs.Class("kv")

// InstrumentedStore is a Store that counts its calls by method and outcome and
// records their duration. The counts show how much a node uses of the service's rate
// limit, which all nodes share. Use NewInstrumentedStore.
type InstrumentedStore struct {
	store Store

	calls    metric.Int64Counter
	duration metric.Float64Histogram
}

var _ Store = InstrumentedStore{}

// NewInstrumentedStore returns a store that records the calls of store with
// instruments of meter.
func NewInstrumentedStore(store Store, meter metric.Meter) (InstrumentedStore, error) {
	calls, err := meter.Int64Counter("nutmegway.store.calls",
		metric.WithDescription("Calls of the key-value service by method and outcome."))
	if err != nil {
		return InstrumentedStore{}, classError.Wrap(err)
	}
	duration, err := meter.Float64Histogram("nutmegway.store.duration",
		metric.WithDescription("Time of a call of the key-value service by method."), metric.WithUnit("s"))
	if err != nil {
		return InstrumentedStore{}, classError.Wrap(err)
	}
	return InstrumentedStore{store: store, calls: calls, duration: duration}, nil
}

// Commit implements Store.
func (s InstrumentedStore) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	start := time.Now()
	result, err := s.store.Commit(ctx, txn)
	s.record(ctx, "commit", start, err)
	return result, err
}

// Get implements Store.
func (s InstrumentedStore) Get(ctx context.Context, key string) (Entry, error) {
	start := time.Now()
	entry, err := s.store.Get(ctx, key)
	s.record(ctx, "get", start, err)
	return entry, err
}

// GrantLease implements Store.
func (s InstrumentedStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	start := time.Now()
	id, err := s.store.GrantLease(ctx, ttl)
	s.record(ctx, "grant-lease", start, err)
	return id, err
}

// KeepAlive implements Store.
func (s InstrumentedStore) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	start := time.Now()
	ttl, err := s.store.KeepAlive(ctx, id)
	s.record(ctx, "keep-alive", start, err)
	return ttl, err
}

// List implements Store.
func (s InstrumentedStore) List(ctx context.Context, prefix string) ([]Entry, int64, error) {
	start := time.Now()
	entries, revision, err := s.store.List(ctx, prefix)
	s.record(ctx, "list", start, err)
	return entries, revision, err
}

// RevokeLease implements Store.
func (s InstrumentedStore) RevokeLease(ctx context.Context, id LeaseID) error {
	start := time.Now()
	err := s.store.RevokeLease(ctx, id)
	s.record(ctx, "revoke-lease", start, err)
	return err
}

// Watch implements Store. It records the call that opens the watch, not the
// batches that the watch delivers.
func (s InstrumentedStore) Watch(ctx context.Context, prefix string, revision int64) (Watcher, error) {
	start := time.Now()
	watcher, err := s.store.Watch(ctx, prefix, revision)
	s.record(ctx, "watch", start, err)
	return watcher, err
}

func (s InstrumentedStore) record(ctx context.Context, method string, start time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(kind.Of(err).Kind)
	}
	methodAttr := attribute.String("method", method)
	s.calls.Add(ctx, 1, metric.WithAttributes(methodAttr, attribute.String("outcome", outcome)))
	s.duration.Record(ctx, time.Since(start).Seconds(), metric.WithAttributes(methodAttr))
}

// InstrumentedRangeStore is a RangeStore that records its calls like
// InstrumentedStore. Use NewInstrumentedRangeStore.
type InstrumentedRangeStore struct {
	InstrumentedStore

	ranges RangeStore
}

var _ RangeStore = InstrumentedRangeStore{}

// NewInstrumentedRangeStore returns a store that records the calls of store with
// instruments of meter.
func NewInstrumentedRangeStore(store RangeStore, meter metric.Meter) (InstrumentedRangeStore, error) {
	instrumented, err := NewInstrumentedStore(store, meter)
	return InstrumentedRangeStore{InstrumentedStore: instrumented, ranges: store}, err
}

// ListAfter implements RangeStore.
func (s InstrumentedRangeStore) ListAfter(ctx context.Context, prefix, after string) ([]Entry, int64, error) {
	start := time.Now()
	entries, revision, err := s.ranges.ListAfter(ctx, prefix, after)
	s.record(ctx, "list", start, err)
	return entries, revision, err
}

// ListStale implements RangeStore.
func (s InstrumentedRangeStore) ListStale(ctx context.Context, prefix string) ([]Entry, int64, error) {
	start := time.Now()
	entries, revision, err := s.ranges.ListStale(ctx, prefix)
	s.record(ctx, "list-old", start, err)
	return entries, revision, err
}
