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

// excludedPrefix is the prefix of the keys that name the servers which are out
// of their service.
const excludedPrefix = "nutmegway/rollouts/excluded/"

// adoptExcluded takes over what the shard's earlier orderer has excluded.
func (s *shardRun) adoptExcluded(ctx context.Context) error {
	entry, err := s.orderer.Store.Get(ctx, s.excludedKey())
	if err != nil || entry.ModRevision == 0 {
		return err
	}
	if err := json.Unmarshal(entry.Value, &s.excluded); err != nil {
		return classError.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Target = max(s.table.Target, s.orderer.Registry.Published(s.service).Number)
	s.table.Keep(s.excluded)
	s.table.Exclude(s.excluded)
	return nil
}

func (s *shardRun) excludedKey() string {
	return fmt.Sprintf("%s%s/%d", excludedPrefix, s.service, s.shard)
}

// publishExcluded writes the shard's excluded servers when they have changed.
func (s *shardRun) publishExcluded(ctx context.Context) error {
	s.mu.Lock()
	excluded := s.table.Excluded()
	s.mu.Unlock()
	if slices.Equal(excluded, s.excluded) {
		return nil
	}
	key := s.excludedKey()
	value, err := json.Marshal(excluded)
	if err != nil {
		return classError.Wrap(err)
	}
	entry, err := s.orderer.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	result, err := s.orderer.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: key, ModRevision: entry.ModRevision}},
		Writes:     []kv.Write{{Key: key, Value: value}},
	})
	if err != nil || !result.Committed {
		return err
	}
	s.excluded = excluded
	return nil
}

// Exclusions knows which servers are out of their service because of a failed
// swap. The fields are set before Run.
type Exclusions struct {
	Logger *slog.Logger
	Store  kv.Store

	mu   sync.Mutex
	keys map[string][]string
}

// Run follows the exclusions until ctx ends.
func (e *Exclusions) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := e.follow(ctx); err != nil && ctx.Err() == nil {
			e.Logger.DebugContext(ctx, "the watch for excluded servers starts again", slog.Any("error", err))
		}
		pause(ctx, rewatchAfter)
	}
	return nil
}

func (e *Exclusions) follow(ctx context.Context) error {
	entries, revision, err := e.Store.List(ctx, excludedPrefix)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.keys = make(map[string][]string)
	e.mu.Unlock()
	for _, entry := range entries {
		e.take(kv.Event{Entry: entry})
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
			e.take(event)
		}
	}
}

func (e *Exclusions) take(event kv.Event) {
	var servers []string
	if !event.Delete && json.Unmarshal(event.Entry.Value, &servers) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if event.Delete || len(servers) == 0 {
		delete(e.keys, event.Entry.Key)
		return
	}
	e.keys[event.Entry.Key] = servers
}

// Eligible reports whether the server may get requests of service.
func (e *Exclusions) Eligible(service, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.keys) == 0 {
		return true
	}
	for key, servers := range e.keys {
		if strings.HasPrefix(key, excludedPrefix+service+"/") && slices.Contains(servers, id) {
			return false
		}
	}
	return true
}

// Eligible shows the servers of a service with those that are out of it marked
// as leaving, so that they get no new requests.
type Eligible struct {
	All        server.View
	Exclusions *Exclusions
}

var _ server.View = Eligible{}

// Server implements server.View.
func (e Eligible) Server(id string) (server.Server, bool) {
	s, ok := e.All.Server(id)
	return e.mark(s), ok
}

// Servers implements server.View.
func (e Eligible) Servers(service string) []server.Server {
	marked := slices.Clone(e.All.Servers(service))
	for i := range marked {
		marked[i] = e.mark(marked[i])
	}
	return marked
}

// mark returns s as the requests of its service see it.
func (e Eligible) mark(s server.Server) server.Server {
	s.Leaving = s.Leaving || !e.Exclusions.Eligible(s.Service, s.ID)
	return s
}
