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

// Counted passes calls on and counts them by method and outcome, since the
// service's rate is shared by all nodes. Use NewCounted.
type Counted struct {
	store Store

	calls   metric.Int64Counter
	seconds metric.Float64Histogram
}

var _ Store = Counted{}

// NewCounted returns a store that counts its calls with instruments of meter.
func NewCounted(store Store, meter metric.Meter) (Counted, error) {
	calls, err := meter.Int64Counter("nutmegway.store.calls",
		metric.WithDescription("Calls of the key-value service by method and outcome."))
	if err != nil {
		return Counted{}, classError.Wrap(err)
	}
	seconds, err := meter.Float64Histogram("nutmegway.store.duration",
		metric.WithDescription("Time of a call of the key-value service by method."), metric.WithUnit("s"))
	if err != nil {
		return Counted{}, classError.Wrap(err)
	}
	return Counted{store: store, calls: calls, seconds: seconds}, nil
}

// Commit implements Store.
func (c Counted) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	start := time.Now()
	result, err := c.store.Commit(ctx, txn)
	c.count(ctx, "commit", start, err)
	return result, err
}

// Get implements Store.
func (c Counted) Get(ctx context.Context, key string) (Entry, error) {
	start := time.Now()
	entry, err := c.store.Get(ctx, key)
	c.count(ctx, "get", start, err)
	return entry, err
}

// GrantLease implements Store.
func (c Counted) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	start := time.Now()
	id, err := c.store.GrantLease(ctx, ttl)
	c.count(ctx, "grant-lease", start, err)
	return id, err
}

// KeepAlive implements Store.
func (c Counted) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	start := time.Now()
	ttl, err := c.store.KeepAlive(ctx, id)
	c.count(ctx, "keep-alive", start, err)
	return ttl, err
}

// List implements Store.
func (c Counted) List(ctx context.Context, prefix string) ([]Entry, int64, error) {
	start := time.Now()
	entries, revision, err := c.store.List(ctx, prefix)
	c.count(ctx, "list", start, err)
	return entries, revision, err
}

// RevokeLease implements Store.
func (c Counted) RevokeLease(ctx context.Context, id LeaseID) error {
	start := time.Now()
	err := c.store.RevokeLease(ctx, id)
	c.count(ctx, "revoke-lease", start, err)
	return err
}

// Watch implements Store. The opening of the watch is counted.
func (c Counted) Watch(ctx context.Context, prefix string, revision int64) (Watcher, error) {
	start := time.Now()
	watcher, err := c.store.Watch(ctx, prefix, revision)
	c.count(ctx, "watch", start, err)
	return watcher, err
}

func (c Counted) count(ctx context.Context, method string, start time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(kind.Of(err).Kind)
	}
	byMethod := attribute.String("method", method)
	c.calls.Add(ctx, 1, metric.WithAttributes(byMethod, attribute.String("outcome", outcome)))
	c.seconds.Record(ctx, time.Since(start).Seconds(), metric.WithAttributes(byMethod))
}

// CountedRange counts the calls of a RangeStore. Use NewCountedRange.
type CountedRange struct {
	Counted

	ranges RangeStore
}

var _ RangeStore = CountedRange{}

// NewCountedRange returns a store that counts its calls with instruments of meter.
func NewCountedRange(store RangeStore, meter metric.Meter) (CountedRange, error) {
	counted, err := NewCounted(store, meter)
	return CountedRange{Counted: counted, ranges: store}, err
}

// ListAfter implements RangeStore.
func (c CountedRange) ListAfter(ctx context.Context, prefix, after string) ([]Entry, int64, error) {
	start := time.Now()
	entries, revision, err := c.ranges.ListAfter(ctx, prefix, after)
	c.count(ctx, "list", start, err)
	return entries, revision, err
}

// ListOld implements RangeStore.
func (c CountedRange) ListOld(ctx context.Context, prefix string) ([]Entry, int64, error) {
	start := time.Now()
	entries, revision, err := c.ranges.ListOld(ctx, prefix)
	c.count(ctx, "list-old", start, err)
	return entries, revision, err
}
