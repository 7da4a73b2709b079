// Package leaving tells all entry hosts of backend servers that said in an answer to one
// of them that they leave.
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
	// prefix is the prefix of the keys of servers that leave. Every host follows it.
	prefix = mirror.LivePrefix + "leaving/"
	// tellSpread is the longest wait before a host tells the others. Most servers are
	// listed as draining by then, or another host was faster.
	tellSpread = 400 * time.Millisecond
	// keyTTL is how long a key stays. Hosts keep what they have heard.
	keyTTL = time.Minute
	// maxQueued bounds the servers that wait to be told of.
	maxQueued     = 256
	retryInterval = time.Second
	maxTries      = 5
)

// Board is the part of one host. The fields are set before Run.
type Board struct {
	Inventory *inventory.Inventory
	Logger    *slog.Logger
	Store     kv.Store

	once   sync.Once
	queue  chan string
	leased time.Time
	lease  kv.LeaseID

	mu sync.Mutex
	// told are the servers whose key is in the store.
	told map[string]struct{}
}

// note is the value of a key.
type note struct {
	// Started is the start of the server in Unix milliseconds.
	Started int64 `json:"started"`
}

func (b *Board) init() {
	b.once.Do(func() {
		b.queue = make(chan string, maxQueued)
		b.told = make(map[string]struct{})
	})
}

// Heard takes in that a server has said that it leaves. It never waits.
func (b *Board) Heard(server string) {
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
		b.Logger.Warn("other hosts not told of a leaving server", slog.String("server", server), slog.Int("queued", maxQueued))
	}
}

// Apply takes over what the mirror of the live keys says.
func (b *Board) Apply(change mirror.Change) {
	b.init()
	for _, event := range change.Events {
		server, ok := strings.CutPrefix(event.Entry.Key, prefix)
		if !ok {
			continue
		}
		b.mu.Lock()
		if event.Delete {
			delete(b.told, server)
		} else {
			b.told[server] = struct{}{}
		}
		b.mu.Unlock()
		if event.Delete {
			continue
		}
		var n note
		if err := json.Unmarshal(event.Entry.Value, &n); err != nil || n.Started == 0 {
			b.Logger.Warn("word of a leaving server unreadable", slog.String("key", event.Entry.Key), slog.Any("error", err))
			continue
		}
		if b.Inventory.MarkLeaving(server, n.Started) {
			b.Logger.Info("server leaves, as another host has heard", slog.String("server", server),
				slog.Int64("revision", event.Entry.ModRevision))
		}
	}
}

// Run tells the other hosts until ctx ends.
func (b *Board) Run(ctx context.Context) error {
	b.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case server := <-b.queue:
			wait.For(ctx, rand.N(tellSpread))
			for more := true; more; {
				b.tell(ctx, server)
				select {
				case server = <-b.queue:
				default:
					more = false
				}
			}
		}
	}
}

// tell writes the key of a server, unless the others know or the server is gone.
func (b *Board) tell(ctx context.Context, server string) {
	for range maxTries {
		known, listed := b.Inventory.Get(server)
		b.mu.Lock()
		_, told := b.told[server]
		b.mu.Unlock()
		if told || !listed || known.Draining || known.Started == 0 || ctx.Err() != nil {
			return
		}
		err := b.write(ctx, server, known.Started)
		b.Logger.LogAttrs(ctx, slog.LevelInfo, "other hosts told of a leaving server", slog.String("server", server),
			slog.Any("error", err))
		if err == nil {
			return
		}
		wait.For(ctx, retryInterval)
	}
}

func (b *Board) write(ctx context.Context, server string, started int64) error {
	if time.Since(b.leased) > keyTTL/2 {
		lease, err := b.Store.GrantLease(ctx, keyTTL)
		if err != nil {
			return err
		}
		b.lease, b.leased = lease, time.Now()
	}
	value, err := json.Marshal(note{Started: started})
	if err != nil {
		return kind.Wrap(kind.Internal, err)
	}
	// A condition that fails says that another host was faster.
	_, err = b.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: prefix + server}}, Writes: []kv.Write{{Key: prefix + server, Lease: b.lease, Value: value}},
	})
	if err != nil {
		b.leased = time.Time{} // The lease may have ended while the store was away.
	}
	return err
}
