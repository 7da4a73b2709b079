// Package leaving announces leaving backend servers to all entry hosts. A server says
// that it is leaving in a response to one host, which then notifies the others through
// the key-value service.
package leaving

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

const (
	// prefix is the prefix of the keys of leaving servers. Every host mirrors it.
	prefix = mirror.LivePrefix + "leaving/"
	// maxAnnounceDelay bounds the random delay before a host announces the servers in
	// its queue. By then most of them are listed as draining or were announced by
	// another host, so that no write is needed.
	maxAnnounceDelay = 400 * time.Millisecond
	// keyTTL is the time to live of the leases of the keys. A lease gets new keys for
	// half of that time, so a key exists for 30 to 60 s. Hosts retain a notice for
	// at least as long.
	keyTTL = time.Minute
	// maxQueued is the maximum number of servers that wait to be announced. Further
	// ones are not announced.
	maxQueued     = 256
	retryInterval = time.Second
	maxAttempts   = 5
)

// Broadcaster announces the leaving servers that one host learns of, and applies the
// announcements of the others. The exported fields must be set before Run.
type Broadcaster struct {
	Inventory *inventory.Inventory
	Logger    *slog.Logger
	Store     kv.Store

	once         sync.Once
	queue        chan string
	leaseGranted time.Time
	lease        kv.LeaseID

	// mu guards announced.
	mu sync.Mutex
	// announced holds the ids of the servers whose key is in the store.
	announced map[string]struct{}
}

// notice is the JSON value of the key of a leaving server.
type notice struct {
	// Started is the start time of the server in Unix milliseconds.
	Started int64 `json:"started"`
}

func (b *Broadcaster) init() {
	b.once.Do(func() {
		b.queue = make(chan string, maxQueued)
		b.announced = make(map[string]struct{})
	})
}

// ServerLeaving records in the inventory that a server said that it is leaving. If the
// inventory did not know that yet, ServerLeaving also queues the server to be
// announced. It never blocks: if the queue is full, it logs a warning and the server
// is not announced.
func (b *Broadcaster) ServerLeaving(server string) {
	b.init()
	if !b.Inventory.MarkLeaving(server, 0) {
		return
	}
	known, _ := b.Inventory.Get(server)
	b.Logger.Info("server says that it leaves", slog.String("server", server), slog.String("service", known.Service),
		slog.Bool("draining", known.Draining))
	select {
	case b.queue <- server:
	default:
		b.Logger.Warn("leaving server not announced, queue is full", slog.String("server", server), slog.Int("queued", maxQueued))
	}
}

// Apply applies a change from the mirror of mirror.LivePrefix. Other keys are ignored.
func (b *Broadcaster) Apply(change mirror.Change) {
	b.init()
	for _, event := range change.Events {
		server, ok := strings.CutPrefix(event.Entry.Key, prefix)
		if !ok {
			continue
		}
		b.mu.Lock()
		if event.Delete {
			delete(b.announced, server)
		} else {
			b.announced[server] = struct{}{}
		}
		b.mu.Unlock()
		if event.Delete {
			continue
		}
		var received notice
		if err := json.Unmarshal(event.Entry.Value, &received); err != nil || received.Started == 0 {
			b.Logger.Warn("invalid notice of a leaving server", slog.String("key", event.Entry.Key), slog.Any("error", err))
			continue
		}
		if b.Inventory.MarkLeaving(server, received.Started) {
			b.Logger.Info("server is leaving, announced by another host", slog.String("server", server),
				slog.Int64("revision", event.Entry.ModRevision))
		}
	}
}

// Run announces queued servers until ctx ends.
func (b *Broadcaster) Run(ctx context.Context) error {
	b.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case server := <-b.queue:
			wait.For(ctx, rand.N(maxAnnounceDelay))
			for more := true; more; {
				b.announce(ctx, server)
				select {
				case server = <-b.queue:
				default:
					more = false
				}
			}
		}
	}
}

// announce writes the key of a server. It does nothing if the server is already
// announced, draining or no longer listed, or if its start time is unknown. It gives
// up after maxAttempts failed writes.
func (b *Broadcaster) announce(ctx context.Context, server string) {
	for range maxAttempts {
		known, listed := b.Inventory.Get(server)
		b.mu.Lock()
		_, announced := b.announced[server]
		b.mu.Unlock()
		if announced || !listed || known.Draining || known.Started == 0 || ctx.Err() != nil {
			return
		}
		err := b.write(ctx, server, known.Started)
		b.Logger.LogAttrs(ctx, slog.LevelInfo, "announcement of a leaving server", slog.String("server", server),
			slog.Any("error", err))
		if err == nil {
			return
		}
		wait.For(ctx, retryInterval)
	}
}

// write writes the key of a server that started at started, in Unix milliseconds,
// under a lease of keyTTL. A lease is reused for half of keyTTL.
func (b *Broadcaster) write(ctx context.Context, server string, started int64) error {
	if time.Since(b.leaseGranted) > keyTTL/2 {
		lease, err := b.Store.GrantLease(ctx, keyTTL)
		if err != nil {
			return err
		}
		b.lease, b.leaseGranted = lease, time.Now()
	}
	value, err := json.Marshal(notice{Started: started})
	if err != nil {
		return kind.Wrap(kind.Internal, err)
	}
	// The condition fails if another host has already announced the server.
	_, err = b.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: prefix + server}}, Writes: []kv.Write{{Key: prefix + server, Lease: b.lease, Value: value}},
	})
	if err != nil {
		b.leaseGranted = time.Time{} // The lease may have expired during a store outage.
	}
	return err
}
