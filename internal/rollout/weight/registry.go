// Package weight publishes weight versions and brings them to the engines of a
// service.
package weight

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
)

var classError = errs.Class("weight")

const (
	// publishedPrefix is the prefix of the keys that hold the newest versions.
	publishedPrefix = "nutmegway/rollouts/published/"
	// publishTries bounds the compare-and-swap of a publication.
	publishTries = 8
	// rewatchAfter is the pause after a failed watch.
	rewatchAfter = 500 * time.Millisecond
	// intervalWeight is the weight of the last interval in the mean.
	intervalWeight = 0.5
)

// Published is the newest version of a service.
type Published struct {
	// At is when the version was published.
	At time.Time `json:"at"`
	// Every is the mean time between versions; zero is unknown.
	Every  time.Duration `json:"every"`
	Number int64         `json:"number"`
}

// Registry knows the newest version of the services that this host works for.
// The fields are set before Run.
type Registry struct {
	Logger *slog.Logger
	// Model returns the model of a service.
	Model func(service string) string
	Now   func() time.Time
	Store kv.Store
	// Weights is the weight store.
	Weights weightstore.Store

	mu       sync.Mutex
	services map[string]*followed
	group    *errgroup.Group
	ctx      context.Context //nolint:containedctx // It is the life of the component.
}

// followed is a service whose key is watched.
type followed struct {
	changed   chan struct{}
	published Published
}

// Run follows services until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	r.mu.Lock()
	r.group, r.ctx = group, ctx
	r.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		return nil
	})
	return group.Wait()
}

// Follow starts to follow service, reading its newest version first.
func (r *Registry) Follow(ctx context.Context, service string) error {
	r.mu.Lock()
	_, ok := r.services[service]
	r.mu.Unlock()
	if ok {
		return nil
	}
	entry, err := r.Store.Get(ctx, publishedPrefix+service)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if r.ctx == nil || r.ctx.Err() != nil {
		r.mu.Unlock()
		return kind.New(kind.Leaving, "the registry does not run")
	}
	if r.services == nil {
		r.services = make(map[string]*followed)
	}
	_, ok = r.services[service]
	if !ok {
		r.services[service] = &followed{changed: make(chan struct{})}
		r.group.Go(func() error {
			r.watch(r.ctx, service)
			return nil
		})
	}
	r.mu.Unlock()
	r.takeEntry(service, entry)
	if entry.ModRevision == 0 {
		r.Refresh(ctx, service)
	}
	return nil
}

// watch takes over changes of the service's key until ctx ends.
func (r *Registry) watch(ctx context.Context, service string) {
	for ctx.Err() == nil {
		if err := r.watchOnce(ctx, service); err != nil && ctx.Err() == nil {
			r.Logger.DebugContext(ctx, "the watch for versions starts again",
				slog.String("service", service), slog.Any("error", err))
		}
		pause(ctx, rewatchAfter)
	}
}

func (r *Registry) watchOnce(ctx context.Context, service string) error {
	entries, revision, err := r.Store.List(ctx, publishedPrefix+service)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if entry.Key == publishedPrefix+service {
			r.takeEntry(service, entry)
		}
	}
	watcher, err := r.Store.Watch(ctx, publishedPrefix+service, revision)
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
			if !event.Delete && event.Entry.Key == publishedPrefix+service {
				r.takeEntry(service, event.Entry)
			}
		}
	}
}

func (r *Registry) takeEntry(service string, entry kv.Entry) {
	var published Published
	if entry.ModRevision == 0 || json.Unmarshal(entry.Value, &published) != nil {
		return
	}
	r.raise(service, published)
}

// raise takes over a version unless a newer one is known.
func (r *Registry) raise(service string, published Published) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.services[service]
	if !ok || published.Number <= f.published.Number {
		return
	}
	f.published = published
	close(f.changed)
	f.changed = make(chan struct{})
}

// Published returns the newest version of service that is known here.
func (r *Registry) Published(service string) Published {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.services[service]; ok {
		return f.published
	}
	return Published{}
}

// Changed returns a channel that closes when a newer version of service is
// known; nil when the service is not followed.
func (r *Registry) Changed(service string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.services[service]; ok {
		return f.changed
	}
	return nil
}

// Refresh asks the key-value service and the weight store for the newest
// version of service and returns it.
func (r *Registry) Refresh(ctx context.Context, service string) int64 {
	if entry, err := r.Store.Get(ctx, publishedPrefix+service); err == nil {
		r.takeEntry(service, entry)
	}
	versions, err := r.Weights.Versions(ctx, r.Model(service))
	if err != nil {
		r.Logger.WarnContext(ctx, "the weight store does not answer",
			slog.String("service", service), slog.Any("error", err))
	}
	for _, v := range versions {
		r.raise(service, Published{At: v.PublishedAt, Number: v.Number})
	}
	return r.Published(service).Number
}

// Publish registers a version in the weight store and makes it the newest of
// the service. A repeat changes nothing, and a lower number never replaces a
// higher one.
func (r *Registry) Publish(ctx context.Context, service, model string, number, size int64) error {
	if number < 1 {
		return kind.New(kind.BadRequest, "the version must be at least 1")
	}
	now := r.Now()
	v := weightstore.Version{Bytes: size, Model: model, Number: number, PublishedAt: now}
	if err := r.Weights.Publish(ctx, v); err != nil {
		return err
	}
	key := publishedPrefix + service
	for range publishTries {
		entry, err := r.Store.Get(ctx, key)
		if err != nil {
			return err
		}
		next, newer, err := following(entry, number, now)
		if err != nil {
			return err
		}
		if !newer {
			r.takeEntry(service, entry)
			return nil
		}
		value, err := json.Marshal(next)
		if err != nil {
			return classError.Wrap(err)
		}
		result, err := r.Store.Commit(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: key, ModRevision: entry.ModRevision}},
			Writes:     []kv.Write{{Key: key, Value: value}},
		})
		if err != nil && !kind.Is(err, kind.StoreWriteUnknown) {
			return err
		}
		if err == nil && result.Committed {
			r.raise(service, next)
			return nil
		}
	}
	return kind.New(kind.StoreWriteUnknown, "version %d is not confirmed", number)
}

// following returns the record that follows entry when number is published.
func following(entry kv.Entry, number int64, now time.Time) (next Published, newer bool, err error) {
	var before Published
	if entry.ModRevision > 0 {
		if err := json.Unmarshal(entry.Value, &before); err != nil {
			return Published{}, false, classError.Wrap(err)
		}
	}
	if number <= before.Number {
		return before, false, nil
	}
	next = Published{At: now, Every: before.Every, Number: number}
	if !before.At.IsZero() {
		interval := now.Sub(before.At)
		if before.Every == 0 {
			next.Every = interval
		}
		next.Every += time.Duration(float64(interval-next.Every) * intervalWeight)
	}
	return next, true, nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
