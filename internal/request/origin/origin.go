// Package origin keeps which software version of a service began each stream of a caller, so
// that a stream is resumed at that version only. While a service has several versions, the
// origins are written to the key-value service, where they outlive all hosts.
package origin

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/software"
)

const (
	keyPrefix = "nutmegway/stream-origins/"
	// flushInterval is how often origins are written. The origins of streams that began
	// since the last write are lost if all hosts are killed.
	flushInterval = 100 * time.Millisecond
	// maxWritesPerTxn is the number of keys that the service accepts in a transaction.
	maxWritesPerTxn = 32
	// maxKept bounds the origins that a host keeps. Beyond it, the oldest are dropped.
	maxKept = 16384
	// leaseTTL is the time to live of the keys. A lease gets new keys for half of it.
	leaseTTL = 2 * software.Window
)

// Origin is where a stream began.
type Origin struct {
	Service  string `json:"service"`
	Software string `json:"software"`
}

// entry is the origin of one stream.
type entry struct {
	Origin

	id      string
	began   time.Time
	targets int
	written bool
}

// value is the JSON value of the key of a stream. The key is a hash of the id.
type value struct {
	Origin

	ID string `json:"id"`
}

// Origins holds the origins of streams. The exported fields are set before the first call.
type Origins struct {
	Logger *slog.Logger
	// Confirm is Recent after a look into the store.
	Confirm func(ctx context.Context, service string) (versions []string, complete bool)
	// Recent returns the software versions that a service has or had lately, and false if
	// there may have been others.
	Recent func(service string) (versions []string, complete bool)
	Store  kv.Store

	mu   sync.Mutex
	byID map[string]*entry
	// order holds the entries, oldest first.
	order []*entry

	lease     kv.LeaseID
	grantedAt time.Time
}

// Record records where the stream of a caller's attempt began. targets is the number of
// services that its route may choose from.
func (o *Origins) Record(id string, origin Origin, targets int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byID == nil {
		o.byID = make(map[string]*entry)
	}
	now := time.Now()
	for len(o.order) > 0 && (len(o.order) >= maxKept || now.Sub(o.order[0].began) > software.Window) {
		if o.byID[o.order[0].id] == o.order[0] {
			delete(o.byID, o.order[0].id)
		}
		o.order = o.order[1:]
	}
	e := &entry{began: now, id: id, Origin: origin, targets: targets}
	o.byID[id] = e
	o.order = append(o.order, e)
}

// Find returns where the stream of a caller's attempt began. services are those that its
// route may choose from. An id that isn't recorded anywhere began at the only version of the
// only service, if that is certain. It isn't while the store doesn't answer: a version that
// this host doesn't know may have come meanwhile.
func (o *Origins) Find(ctx context.Context, id string, services []string) (Origin, bool) {
	o.mu.Lock()
	e, ok := o.byID[id]
	o.mu.Unlock()
	if ok && id != "" {
		return e.Origin, true
	}
	if origin, ok, err := o.read(ctx, id); ok || err != nil {
		return origin, ok
	}
	if len(services) != 1 {
		return Origin{}, false
	}
	version, ok := onlyVersion(o.Confirm(ctx, services[0]))
	return Origin{Service: services[0], Software: version}, ok
}

// onlyVersion returns the only one of the versions. It returns false if there may be others.
func onlyVersion(versions []string, complete bool) (string, bool) {
	if !complete || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// read reads the origin of a stream from the store, if it holds one.
func (o *Origins) read(ctx context.Context, id string) (found Origin, ok bool, err error) {
	if id == "" {
		return Origin{}, false, nil
	}
	stored, err := o.Store.Get(ctx, key(id))
	if err != nil {
		o.Logger.LogAttrs(ctx, slog.LevelInfo, "origin of a stream not read", slog.String("stream", id), slog.Any("error", err))
		return Origin{}, false, err
	}
	if stored.ModRevision == 0 {
		return Origin{}, false, nil
	}
	var v value
	if err := json.Unmarshal(stored.Value, &v); err != nil || v.ID != id {
		o.Logger.LogAttrs(ctx, slog.LevelWarn, "invalid origin of a stream", slog.String("key", stored.Key), slog.Any("error", err))
		return Origin{}, false, nil
	}
	return v.Origin, true, nil
}

// key returns the key of the stream of an attempt. Callers choose the ids, which may be longer
// than a key.
func key(id string) string {
	hash := xxh3.HashString128(id).Bytes()
	return keyPrefix + hex.EncodeToString(hash[:])
}

// Run writes the origins that other hosts may need until ctx ends. A host without the origin
// of a stream needs it unless the stream can have begun at one version only.
func (o *Origins) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		err := o.flush(ctx)
		if (err != nil) != failing {
			failing = err != nil
			o.Logger.LogAttrs(ctx, slog.LevelInfo, "writes of stream origins changed", slog.Bool("failing", failing), slog.Any("error", err))
		}
	}
}

// flush writes all origins that have to be written.
func (o *Origins) flush(ctx context.Context) error {
	pending := o.unwritten()
	for len(pending) > 0 {
		part := pending[:min(len(pending), maxWritesPerTxn)]
		if err := o.write(ctx, part); err != nil {
			return err
		}
		o.mu.Lock()
		for _, e := range part {
			e.written = true
		}
		o.mu.Unlock()
		pending = pending[len(part):]
	}
	return nil
}

// unwritten returns the origins that have to be written, oldest first.
func (o *Origins) unwritten() []*entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	certain := make(map[string]bool)
	var pending []*entry
	for _, e := range o.order {
		if e.written {
			continue
		}
		if _, known := certain[e.Service]; !known {
			_, certain[e.Service] = onlyVersion(o.Recent(e.Service))
		}
		if !certain[e.Service] || e.targets > 1 {
			pending = append(pending, e)
		}
	}
	return pending
}

func (o *Origins) write(ctx context.Context, entries []*entry) error {
	if time.Since(o.grantedAt) > leaseTTL/2 {
		lease, err := o.Store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		o.lease, o.grantedAt = lease, time.Now()
	}
	txn := kv.Txn{}
	for _, e := range entries {
		encoded, err := json.Marshal(value{ID: e.id, Origin: e.Origin})
		if err != nil {
			return kind.Wrap(kind.Internal, err)
		}
		txn.Writes = append(txn.Writes, kv.Write{Key: key(e.id), Lease: o.lease, Value: encoded})
	}
	_, err := o.Store.Commit(ctx, txn)
	if err != nil {
		o.grantedAt = time.Time{} // The lease may have expired during a store outage.
	}
	return err
}
