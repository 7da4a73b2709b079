package batchrun

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
)

// Page implements batchlink.Owner: it returns results of a batch that this host runs or
// has closed.
func (s *Service) Page(ctx context.Context, id string, after int) (batch.Page, bool) {
	return s.Runner.Page(ctx, id, after)
}

// Read returns the results from position after on. If there are none yet and
// the batch is open, it waits for one until ctx ends, and then returns a page
// without results.
func (s *Service) Read(ctx context.Context, id string, after int) (batch.Page, error) {
	if page, ok := s.Runner.Page(ctx, id, after); ok {
		return page, nil
	}
	head, err := s.head(ctx, id)
	if err != nil {
		return batch.Page{}, err
	}
	if page, ok := s.readAtOwner(ctx, head, after); ok {
		return page, nil
	}
	storeCtx := context.WithoutCancel(ctx)
	results, revision, err := s.Batches.Results(storeCtx, id, after)
	if err != nil {
		return batch.Page{}, err
	}
	if len(results) == 0 && head.IsOpen() && ctx.Err() == nil {
		// A failed watch returns no results; the reader polls again.
		results, err = s.Batches.Await(ctx, id, after, revision)
		if err != nil && ctx.Err() == nil {
			s.Logger.LogAttrs(ctx, slog.LevelDebug, "wait for results failed", slog.String("batch", id), slog.Any("error", err))
		}
	}
	return batch.NewPage(results, head.Total, after), nil
}

// readAtOwner reads results from the memory of the batch's owner, or of its last owner if
// the batch is closed. It returns false if the results have to be read from the store.
func (s *Service) readAtOwner(ctx context.Context, head batch.Head, after int) (batch.Page, bool) {
	owner, ok := s.Roster.Get(head.Owner.Host)
	if s.Link == nil || !ok || owner.ID == s.Runner.Self.Host || owner.Incarnation != head.Owner.Incarnation || owner.PeerAddress == "" {
		return batch.Page{}, false
	}
	var wait time.Duration
	if deadline, ok := ctx.Deadline(); ok && head.IsOpen() {
		wait = max(time.Until(deadline), 0)
	}
	page, ok, err := s.Link.Read(ctx, owner.PeerAddress, head.ID, after, wait)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "results not read from owner", slog.String("batch", head.ID),
			slog.String("owner", owner.ID), slog.Any("error", err))
	}
	return page, ok
}

// Body returns the request body of an item.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	if body, ok := s.Runner.Body(id, item); ok {
		return body, nil
	}
	if _, err := s.head(ctx, id); err != nil {
		return nil, err
	}
	b, err := s.Batches.Load(ctx, id)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(b.Items, func(i batch.Item) bool { return i.ID == item })
	if i < 0 {
		return nil, kind.New(kind.NotFound, "no item %q in batch %q", item, id)
	}
	return b.Items[i].Body, nil
}
