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

// rolePeriod is the time between two looks at the readers of the zone.
const rolePeriod = 500 * time.Millisecond

var (
	errNotReader = errors.New("the node is not a reader of its availability zone")
	errWatchIdle = errors.New("the watch was idle")
)

// readStore watches the store while this node is a reader of its zone.
func (s *Spreader) readStore(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = s.Config.StoreRetry, s.Config.StoreRetryMax
	for {
		if s.readerRank() < 0 {
			if !pause(ctx, rolePeriod) {
				return nil
			}
			continue
		}
		started := time.Now()
		err := s.readUntilRoleEnds(ctx)
		if ctx.Err() != nil {
			return classError.Wrap(ctx.Err())
		}
		if time.Since(started) > s.Config.StoreRetryMax {
			retry.Reset()
		}
		wait := retry.NextBackOff()
		s.Logger.Warn("watch of documents ended", slog.String("error", err.Error()), slog.Duration("retry-after", wait))
		if !pause(ctx, wait) {
			return nil
		}
	}
}

func (s *Spreader) readUntilRoleEnds(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for pause(groupCtx, rolePeriod) {
			if s.readerRank() < 0 {
				return errNotReader
			}
		}
		return nil
	})
	group.Go(func() error { return s.read(groupCtx) })
	return group.Wait()
}

// read lists the documents and then follows their changes.
func (s *Spreader) read(ctx context.Context) error {
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
	news := s.takeList(listed, revision)
	s.markReady()
	s.publish(news)
	s.Logger.Info("documents read from the store", slog.Int("documents", len(listed)), slog.Int("new", len(news)), slog.Int64("revision", revision))
	for {
		revision, err = s.watch(ctx, revision)
		if !errors.Is(err, errWatchIdle) {
			return err
		}
	}
}

// watch follows changes after revision and returns the last one seen.
func (s *Spreader) watch(ctx context.Context, revision int64) (int64, error) {
	watcher, err := s.Store.Watch(ctx, s.Prefix, revision)
	if err != nil {
		return revision, classError.Wrap(err)
	}
	defer watcher.Close()
	for {
		idle := s.Config.WatchIdle + rand.N(s.Config.WatchIdle)
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
		s.publish(s.take(fromStore, fromEvents(batch.Events)))
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
