// Package weight publishes weight versions and orders the engines of a service to
// load them.
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
	// publishedPrefix is the prefix of the keys that hold the newest version of each
	// service.
	publishedPrefix = "nutmegway/rollouts/published/"
	// maxPublishAttempts bounds the compare-and-swap attempts of a publication.
	maxPublishAttempts = 8
	// rewatchDelay is the time between a failed watch and the next one.
	rewatchDelay = 500 * time.Millisecond
	// meanIntervalWeight is the weight of the last interval in the exponentially
	// weighted mean.
	meanIntervalWeight = 0.5
)

// PublishedVersion is the newest version of a service.
type PublishedVersion struct {
	// PublishedAt is when the version was published.
	PublishedAt time.Time `json:"at"`
	// MeanInterval is the mean time between versions; zero if unknown.
	MeanInterval time.Duration `json:"every"`
	Number       int64         `json:"number"`
}

// VersionRegistry publishes versions, and watches the newest version of the services
// that this host follows. The fields are set before Run.
type VersionRegistry struct {
	Logger *slog.Logger
	// Model returns the model of a service.
	Model func(service string) string
	Now   func() time.Time
	Store kv.Store
	// Weights is the weight store.
	Weights weightstore.Store

	mu       sync.Mutex
	services map[string]*followedService
	group    *errgroup.Group
	ctx      context.Context //nolint:containedctx // Its lifetime is that of Run.
}

// followedService is a service whose newest version is watched.
type followedService struct {
	// changed is closed and replaced when published changes.
	changed   chan struct{}
	published PublishedVersion
}

// Run runs the watches that Follow starts, until ctx ends.
func (r *VersionRegistry) Run(ctx context.Context) error {
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

// Follow reads the newest version of service and starts to watch it, if it is not
// followed yet.
func (r *VersionRegistry) Follow(ctx context.Context, service string) error {
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
		return kind.New(kind.Leaving, "version registry is not running")
	}
	if r.services == nil {
		r.services = make(map[string]*followedService)
	}
	_, ok = r.services[service]
	if !ok {
		r.services[service] = &followedService{changed: make(chan struct{})}
		r.group.Go(func() error {
			r.watch(r.ctx, service)
			return nil
		})
	}
	r.mu.Unlock()
	r.applyEntry(service, entry)
	if entry.ModRevision == 0 {
		r.Refresh(ctx, service)
	}
	return nil
}

// watch applies changes of the service's key until ctx ends.
func (r *VersionRegistry) watch(ctx context.Context, service string) {
	for ctx.Err() == nil {
		if err := r.watchOnce(ctx, service); err != nil && ctx.Err() == nil {
			r.Logger.DebugContext(ctx, "watch for versions ended and is restarted",
				slog.String("service", service), slog.Any("error", err))
		}
		sleep(ctx, rewatchDelay)
	}
}

// watchOnce reads the service's key and applies its changes until the watch fails.
func (r *VersionRegistry) watchOnce(ctx context.Context, service string) error {
	entries, revision, err := r.Store.List(ctx, publishedPrefix+service)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if entry.Key == publishedPrefix+service {
			r.applyEntry(service, entry)
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
				r.applyEntry(service, event.Entry)
			}
		}
	}
}

// applyEntry sets the newest version of service from its entry in the store. A missing
// entry or one that is not valid JSON is ignored.
func (r *VersionRegistry) applyEntry(service string, entry kv.Entry) {
	var published PublishedVersion
	if entry.ModRevision == 0 || json.Unmarshal(entry.Value, &published) != nil {
		return
	}
	r.advance(service, published)
}

// advance sets the newest version of service unless the same or a newer one is known.
func (r *VersionRegistry) advance(service string, published PublishedVersion) {
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

// Published returns the newest version of service that this host knows.
func (r *VersionRegistry) Published(service string) PublishedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.services[service]; ok {
		return f.published
	}
	return PublishedVersion{}
}

// Changed returns a channel that is closed when a newer version of service becomes
// known, or nil if the service is not followed.
func (r *VersionRegistry) Changed(service string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.services[service]; ok {
		return f.changed
	}
	return nil
}

// Refresh reads the versions of service from the key-value store and from the
// weight store. It returns the newest version known, even if a read fails.
func (r *VersionRegistry) Refresh(ctx context.Context, service string) int64 {
	if entry, err := r.Store.Get(ctx, publishedPrefix+service); err == nil {
		r.applyEntry(service, entry)
	}
	versions, err := r.Weights.Versions(ctx, r.Model(service))
	if err != nil {
		r.Logger.WarnContext(ctx, "could not read versions from weight store",
			slog.String("service", service), slog.Any("error", err))
	}
	for _, v := range versions {
		r.advance(service, PublishedVersion{PublishedAt: v.PublishedAt, Number: v.Number})
	}
	return r.Published(service).Number
}

// Publish registers a version in the weight store and makes it the newest version of
// the service. Publishing a version again changes nothing, and a lower number never
// replaces a higher one.
func (r *VersionRegistry) Publish(ctx context.Context, service, model string, number, size int64) error {
	if number < 1 {
		return kind.New(kind.BadRequest, "version %d of service %s is invalid: must be at least 1", number, service)
	}
	now := r.Now()
	v := weightstore.Version{Bytes: size, Model: model, Number: number, PublishedAt: now}
	if err := r.Weights.Publish(ctx, v); err != nil {
		return err
	}
	key := publishedPrefix + service
	for range maxPublishAttempts {
		entry, err := r.Store.Get(ctx, key)
		if err != nil {
			return err
		}
		next, newer, err := nextPublished(entry, number, now)
		if err != nil {
			return err
		}
		if !newer {
			r.applyEntry(service, entry)
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
			r.advance(service, next)
			return nil
		}
	}
	return kind.New(kind.StoreWriteUnknown, "version %d of service %s was not confirmed after %d attempts",
		number, service, maxPublishAttempts)
}

// nextPublished returns the value that replaces entry when number is published. newer
// is false if entry already has that version or a higher one.
func nextPublished(entry kv.Entry, number int64, now time.Time) (next PublishedVersion, newer bool, err error) {
	var before PublishedVersion
	if entry.ModRevision > 0 {
		if err := json.Unmarshal(entry.Value, &before); err != nil {
			return PublishedVersion{}, false, classError.Wrap(err)
		}
	}
	if number <= before.Number {
		return before, false, nil
	}
	next = PublishedVersion{PublishedAt: now, MeanInterval: before.MeanInterval, Number: number}
	if !before.PublishedAt.IsZero() {
		interval := now.Sub(before.PublishedAt)
		if before.MeanInterval == 0 {
			next.MeanInterval = interval
		}
		next.MeanInterval += time.Duration(float64(interval-next.MeanInterval) * meanIntervalWeight)
	}
	return next, true, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
