package spread

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// readerCheckInterval is the time between two checks whether this node is a reader
// of its zone.
const readerCheckInterval = 500 * time.Millisecond

var (
	errNotReader = errors.New("node is no longer a reader of its availability zone")
	errWatchIdle = errors.New("watch received no change within the idle timeout")
)

// runReader watches the store whenever this node is a reader of its zone, until ctx
// ends. It backs off after failures.
func (s *Spreader) runReader(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = s.Config.StoreRetryInitial, s.Config.StoreRetryMax
	for {
		if s.readerRank() < 0 {
			if !sleep(ctx, readerCheckInterval) {
				return nil
			}
			continue
		}
		started := time.Now()
		err := s.listAndWatchWhileReader(ctx)
		if ctx.Err() != nil {
			return classError.Wrap(ctx.Err())
		}
		if time.Since(started) > s.Config.StoreRetryMax {
			retry.Reset()
		}
		wait := retry.NextBackOff()
		s.Logger.Warn("document watch ended", slog.String("error", err.Error()), slog.Duration("retry-after", wait))
		if !sleep(ctx, wait) {
			return nil
		}
	}
}

// listAndWatchWhileReader watches the store until the watch fails or this node is no
// longer a reader of its zone.
func (s *Spreader) listAndWatchWhileReader(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for sleep(groupCtx, readerCheckInterval) {
			if s.readerRank() < 0 {
				return errNotReader
			}
		}
		return nil
	})
	group.Go(func() error { return s.listAndWatch(groupCtx) })
	return group.Wait()
}

// listAndWatch lists the documents and then watches for changes.
func (s *Spreader) listAndWatch(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, s.Config.StoreTimeout)
	entries, revision, err := s.Store.List(listCtx, s.Prefix)
	cancel()
	if err != nil {
		return classError.Wrap(err)
	}
	listed := make([]Entry, len(entries))
	for i, entry := range entries {
		listed[i] = Entry{Key: entry.Key, Revision: entry.ModRevision, Value: entry.Value}
	}
	changed := s.applySnapshot(listed, revision)
	s.markReady()
	s.publish(changed)
	s.Logger.Info("documents read from the store", slog.Int("documents", len(listed)), slog.Int("new", len(changed)), slog.Int64("revision", revision))
	for {
		revision, err = s.watch(ctx, revision)
		if !errors.Is(err, errWatchIdle) {
			return err
		}
	}
}

// watch applies changes after revision until the watch ends, and returns the last
// revision seen.
func (s *Spreader) watch(ctx context.Context, revision int64) (int64, error) {
	watcher, err := s.Store.Watch(ctx, s.Prefix, revision)
	if err != nil {
		return revision, classError.Wrap(err)
	}
	defer watcher.Close()
	for {
		idle := s.Config.WatchIdleTimeout + rand.N(s.Config.WatchIdleTimeout)
		idleCtx, cancel := context.WithTimeout(ctx, idle)
		batch, err := watcher.Next(idleCtx)
		timedOut := idleCtx.Err() != nil && ctx.Err() == nil
		cancel()
		switch {
		case timedOut:
			return revision, errWatchIdle
		case err != nil:
			return revision, classError.Wrap(err)
		}
		s.publish(s.apply(sourceStore, fromEvents(batch.Events)))
		revision = max(revision, batch.Revision)
	}
}

func fromEvents(events []kv.Event) []Entry {
	entries := make([]Entry, len(events))
	for i, event := range events {
		entries[i] = Entry{Deleted: event.Delete, Key: event.Entry.Key, Revision: event.Entry.ModRevision, Value: event.Entry.Value}
	}
	return entries
}
