package weight

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
)

// excludedPrefix is the prefix of the keys that hold the excluded servers of each
// shard.
const excludedPrefix = "nutmegway/rollouts/excluded/"

// restoreExcluded reads the servers that the earlier holder of the lease excluded.
func (s *shardDistributor) restoreExcluded(ctx context.Context) error {
	entry, err := s.parent.Store.Get(ctx, s.excludedKey())
	if err != nil || entry.ModRevision == 0 {
		return err
	}
	if err := json.Unmarshal(entry.Value, &s.excluded); err != nil {
		return classError.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.Target = max(s.planner.Target, s.parent.Registry.Published(s.service).Number)
	s.planner.SetServers(s.excluded)
	s.planner.Exclude(s.excluded)
	return nil
}

func (s *shardDistributor) excludedKey() string {
	return fmt.Sprintf("%s%s/%d", excludedPrefix, s.service, s.shard)
}

// publishExcluded writes the shard's excluded servers to the store if they have
// changed. If another host has changed the key meanwhile, it returns nil, and
// the next call tries again.
func (s *shardDistributor) publishExcluded(ctx context.Context) error {
	s.mu.Lock()
	excluded := s.planner.Excluded()
	s.mu.Unlock()
	if slices.Equal(excluded, s.excluded) {
		return nil
	}
	key := s.excludedKey()
	value, err := json.Marshal(excluded)
	if err != nil {
		return classError.Wrap(err)
	}
	entry, err := s.parent.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	result, err := s.parent.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: key, ModRevision: entry.ModRevision}},
		Writes:     []kv.Write{{Key: key, Value: value}},
	})
	if err != nil || !result.Committed {
		return err
	}
	s.excluded = excluded
	return nil
}

// Exclusions watches the store for servers that are excluded from their
// service, because a swap failed or they restarted with older weights. The
// exported fields are set before Run.
type Exclusions struct {
	Logger *slog.Logger
	Store  kv.Store

	mu sync.Mutex
	// byKey maps the store key of each shard, below excludedPrefix, to the ids
	// of its excluded servers.
	byKey map[string][]string
}

// Run watches the exclusions until ctx ends.
func (e *Exclusions) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := e.watchOnce(ctx); err != nil && ctx.Err() == nil {
			e.Logger.DebugContext(ctx, "watch for excluded servers ended and is restarted", slog.Any("error", err))
		}
		sleep(ctx, rewatchDelay)
	}
	return nil
}

// watchOnce reads the exclusions and applies their changes until the watch fails.
func (e *Exclusions) watchOnce(ctx context.Context) error {
	entries, revision, err := e.Store.List(ctx, excludedPrefix)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.byKey = make(map[string][]string)
	e.mu.Unlock()
	for _, entry := range entries {
		e.apply(kv.Event{Entry: entry})
	}
	watcher, err := e.Store.Watch(ctx, excludedPrefix, revision)
	if err != nil {
		return err
	}
	defer watcher.Close()
	for {
		batch, err := watcher.Next(ctx)
		if err != nil {
			return err
		}
		for _, event := range batch.Events {
			e.apply(event)
		}
	}
}

// apply applies the change of one key. A value that is not valid JSON is ignored.
func (e *Exclusions) apply(event kv.Event) {
	var servers []string
	if !event.Delete && json.Unmarshal(event.Entry.Value, &servers) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if event.Delete || len(servers) == 0 {
		delete(e.byKey, event.Entry.Key)
		return
	}
	e.byKey[event.Entry.Key] = servers
}

// Eligible reports whether the server id may get requests of service: no shard
// of the service excludes it.
func (e *Exclusions) Eligible(service, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.byKey) == 0 {
		return true
	}
	for key, servers := range e.byKey {
		if strings.HasPrefix(key, excludedPrefix+service+"/") && slices.Contains(servers, id) {
			return false
		}
	}
	return true
}

// EligibleView is a [server.View] that marks excluded servers as leaving, so that they
// get no new requests.
type EligibleView struct {
	All        server.View
	Exclusions *Exclusions
}

var _ server.View = EligibleView{}

// Server implements server.View.
func (e EligibleView) Server(id string) (server.Server, bool) {
	s, ok := e.All.Server(id)
	return e.markExcluded(s), ok
}

// Servers implements server.View.
func (e EligibleView) Servers(service string) []server.Server {
	marked := slices.Clone(e.All.Servers(service))
	for i := range marked {
		marked[i] = e.markExcluded(marked[i])
	}
	return marked
}

// markExcluded returns s, marked as leaving if it is excluded from its service.
func (e EligibleView) markExcluded(s server.Server) server.Server {
	s.Leaving = s.Leaving || !e.Exclusions.Eligible(s.Service, s.ID)
	return s
}
