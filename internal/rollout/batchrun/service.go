package batchrun

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchlink"
)

const (
	// sweepInterval is how often batches without a live owner are looked for.
	sweepInterval = 300 * time.Millisecond
	// keepMargin is added to the time for which results are kept, for readers and
	// clocks that are late.
	keepMargin = time.Minute
	// ownDelay is how long a host waits for the handover of a batch that was
	// stored in its name before it reads the batch from the store.
	ownDelay = 600 * time.Millisecond
	// pingTimeout bounds the question to an owner whether it lives, and
	// pingFailures is how many unanswered ones in a row make it dead. A host that
	// is wrongly taken for dead loses its batches, but nothing that was listed.
	pingTimeout  = 250 * time.Millisecond
	pingFailures = 4
	// orphanDelay is how long an owner must be missing from the list of hosts
	// before another one takes its batches. A host whose entry lapsed while it
	// lives writes it again within this time.
	orphanDelay = 900 * time.Millisecond
)

// Link reaches the owners of batches on other hosts.
type Link interface {
	// Adopt hands a stored batch to its owner and reports whether it runs there.
	Adopt(ctx context.Context, address string, head batch.Head, b batch.Batch) (bool, error)
	// Offer lets the host at address take up a batch that this host has given up.
	Offer(ctx context.Context, address string, head batch.Head) error
	// Ping asks whether the host at address lives. The error is batchlink.ErrNobody
	// if the process there has certainly ended.
	Ping(ctx context.Context, address string) error
	// Read reads results at the owner; false if it doesn't run the batch.
	Read(ctx context.Context, address, id string, after int, wait time.Duration) (batch.Page, bool, error)
}

// Service is what trainers ask of batches, on any host. The fields are set
// before Run.
type Service struct {
	Batches *batch.Store
	Index   *batch.Index
	// Keep is how long a batch is read after its submission; zero keeps it for good.
	Keep time.Duration
	// Link reaches other hosts; nil leaves the store as the only way.
	Link   Link
	Logger *slog.Logger
	Roster *roster.Roster
	Runner *Runner

	// orphaned holds since when the owner of an open batch is missing.
	orphaned map[string]time.Time

	mu sync.Mutex
	// ended are the incarnations whose process has certainly ended.
	ended map[string]bool
	// silent counts the unanswered pings of hosts, by incarnation.
	silent map[string]int
}

// Submit accepts a batch once. After an error whose Ran is "no" no part of it
// runs.
func (s *Service) Submit(ctx context.Context, b batch.Batch) error {
	if _, ok := s.Index.Get(b.ID); ok {
		return nil
	}
	owner := s.ownerOf(b.Model)
	head, created, err := s.Batches.Accept(ctx, b, batch.Owner{Host: owner.ID, Incarnation: owner.Incarnation})
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch not accepted", slog.String("batch", b.ID), slog.Any("error", err))
		return err
	}
	s.Index.Put(head)
	s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch accepted", slog.String("batch", b.ID), slog.Bool("created", created),
		slog.String("owner", head.Owner.Host), slog.Int64("revision", head.Revision))
	switch {
	case !created:
	case head.Owner == s.Runner.Self:
		s.adopt(ctx, head, b, nil, nil)
	default:
		s.handTo(context.WithoutCancel(ctx), owner, head, b)
	}
	return nil
}

// handTo hands a batch to its owner, and takes it back if the owner doesn't
// answer. The caller has its confirmation at once.
func (s *Service) handTo(ctx context.Context, owner roster.Host, head batch.Head, b batch.Batch) {
	s.Runner.Go("handover of batch "+head.ID, func() error {
		running, err := s.Link.Adopt(ctx, owner.Peer, head, b)
		if running {
			return nil
		}
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch not handed over", slog.String("batch", head.ID),
			slog.String("owner", owner.ID), slog.Any("error", err))
		claimed, err := s.Batches.Claim(ctx, head, s.Runner.Self)
		if err != nil {
			// The sweep of some host finds the batch later.
			s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch not taken back", slog.String("batch", head.ID), slog.Any("error", err))
			return nil
		}
		s.Index.Put(claimed)
		s.adopt(ctx, claimed, b, nil, nil)
		return nil
	})
}

// Adopt runs a batch that another host accepted and stored with this host as
// its owner. It returns false if this host is leaving. The other host may know an
// earlier incarnation of this one, as when a whole fleet has just come back; then this
// host claims the batch first.
func (s *Service) Adopt(ctx context.Context, head batch.Head, b batch.Batch) bool {
	s.Index.Put(head)
	if head.Owner != s.Runner.Self && head.Owner.Host == s.Runner.Self.Host {
		claimed, err := s.Batches.Claim(context.WithoutCancel(ctx), head, s.Runner.Self)
		if err != nil {
			s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch of an earlier incarnation not claimed",
				slog.String("batch", head.ID), slog.String("incarnation", head.Owner.Incarnation), slog.Any("error", err))
			return false
		}
		s.Index.Put(claimed)
		head = claimed
	}
	s.adopt(ctx, head, b, nil, nil)
	return s.Runner.Has(head.ID)
}

// Page implements what other hosts read of this host's batches.
func (s *Service) Page(ctx context.Context, id string, after int) (batch.Page, bool) {
	return s.Runner.Page(ctx, id, after)
}

// Read returns the results from position after on. It waits for one until ctx's
// deadline and returns a page without results then.
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
		// A watch that fails tells of no results; the reader asks again.
		results, err = s.Batches.Await(ctx, id, after, revision)
		if err != nil && ctx.Err() == nil {
			s.Logger.LogAttrs(ctx, slog.LevelDebug, "wait for results failed", slog.String("batch", id), slog.Any("error", err))
		}
	}
	return batch.NewPage(results, head.Total, after), nil
}

// readAtOwner reads results in the memory of the batch's owner, or of its last
// one if it is closed. It returns false if the store has to be asked.
func (s *Service) readAtOwner(ctx context.Context, head batch.Head, after int) (batch.Page, bool) {
	owner, ok := s.Roster.Get(head.Owner.Host)
	if s.Link == nil || !ok || owner.ID == s.Runner.Self.Host || owner.Incarnation != head.Owner.Incarnation || owner.Peer == "" {
		return batch.Page{}, false
	}
	var wait time.Duration
	if deadline, ok := ctx.Deadline(); ok && head.IsOpen() {
		wait = max(time.Until(deadline), 0)
	}
	page, ok, err := s.Link.Read(ctx, owner.Peer, head.ID, after, wait)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "owner not reached", slog.String("batch", head.ID),
			slog.String("owner", owner.ID), slog.Any("error", err))
	}
	return page, ok
}

// Body returns the body of an item.
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

// End stops a batch. Ending it again is a success.
func (s *Service) End(ctx context.Context, id string) error {
	known, _ := s.Index.Get(id)
	head, err := s.Batches.End(ctx, id, known)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch not ended", slog.String("batch", id), slog.Any("error", err))
		return err
	}
	s.Index.Put(head)
	s.Runner.Observe(head)
	return nil
}

// head returns the newest head that this host knows. A batch that it doesn't
// know may have been accepted elsewhere a moment ago, so the store decides.
func (s *Service) head(ctx context.Context, id string) (batch.Head, error) {
	if head, ok := s.Index.Get(id); ok {
		return head, nil
	}
	if err := batch.CheckID(id); err != nil {
		return batch.Head{}, kind.New(kind.NotFound, "no batch %q", id)
	}
	head, err := s.Batches.Head(context.WithoutCancel(ctx), id)
	if err == nil {
		s.Index.Put(head)
	}
	return head, err
}

// Run takes over batches whose owner is gone, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	s.orphaned = make(map[string]time.Time)
	for ctx.Err() == nil {
		now := time.Now()
		s.sweep(ctx, now)
		s.forget(ctx, now)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Service) sweep(ctx context.Context, now time.Time) {
	open := s.Index.Open()
	present := make(map[string]bool, len(open))
	pinged := make(map[string]bool)
	for _, head := range open {
		present[head.ID] = true
		if s.Runner.Has(head.ID) {
			delete(s.orphaned, head.ID)
			continue
		}
		successor := s.successor(head)
		if successor && !pinged[head.Owner.Incarnation] {
			pinged[head.Owner.Incarnation] = true
			s.ping(ctx, head.Owner)
		}
		delay, orphan := s.isOrphan(head)
		if !orphan {
			delete(s.orphaned, head.ID)
			continue
		}
		since, ok := s.orphaned[head.ID]
		if !ok {
			s.orphaned[head.ID], since = now, now
		}
		if now.Sub(since) >= delay && (successor || head.Owner == s.Runner.Self) {
			s.takeOver(ctx, head)
		}
	}
	for id := range s.orphaned {
		if !present[id] {
			delete(s.orphaned, id)
		}
	}
}

// forget removes old batches that fall to this host.
func (s *Service) forget(ctx context.Context, now time.Time) {
	if s.Keep == 0 {
		return
	}
	for _, head := range s.Index.ClosedBefore(now.Add(-s.Keep - keepMargin)) {
		if rendezvous.Owner(head.ID, roster.IDs(s.Roster.Hosts())) != s.Runner.Self.Host {
			continue
		}
		err := s.Batches.Remove(ctx, head)
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "old batch removed", slog.String("batch", head.ID), slog.Any("error", err))
	}
}

// successor reports whether this host takes the batch if its owner is gone.
func (s *Service) successor(head batch.Head) bool { return s.successorOf(head) == s.Runner.Self.Host }

// successorOf returns the host that takes the batch if its owner is gone. All hosts
// that see the same list choose the same one.
func (s *Service) successorOf(head batch.Head) string {
	hosts := s.Roster.Hosts()
	without := slices.DeleteFunc(slices.Clone(hosts), func(h roster.Host) bool {
		return h.ID == head.Owner.Host && !s.returned(head.Owner)
	})
	if len(without) > 0 {
		hosts = without
	}
	return rendezvous.Owner(head.ID, roster.IDs(roster.Strong(hosts)))
}

// Offer tells the successor of a batch that this host has given up. The store tells it
// too, up to a second later.
func (s *Service) Offer(ctx context.Context, head batch.Head) {
	next, ok := s.Roster.Get(s.successorOf(head))
	if s.Link == nil || !ok || next.Peer == "" || next.ID == s.Runner.Self.Host {
		return
	}
	err := s.Link.Offer(ctx, next.Peer, head)
	s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch offered", slog.String("batch", head.ID), slog.String("to", next.ID), slog.Any("error", err))
}

// Offered takes up a batch that another host has given up, unless this host is leaving
// or another one was faster.
func (s *Service) Offered(ctx context.Context, head batch.Head) {
	s.Index.Put(head)
	if !head.IsOpen() || head.Owner != (batch.Owner{}) || s.Runner.Has(head.ID) || s.Runner.isFinishing() {
		return
	}
	s.Runner.Go("takeover of batch "+head.ID, func() error {
		s.takeOver(context.WithoutCancel(ctx), head)
		return nil
	})
}

// returned reports whether the owner's host runs another incarnation by now.
func (s *Service) returned(owner batch.Owner) bool {
	host, ok := s.Roster.Get(owner.Host)
	return ok && host.Incarnation != owner.Incarnation
}

// isOrphan reports whether nobody runs the batch, and how long this has to last
// before it counts.
func (s *Service) isOrphan(head batch.Head) (time.Duration, bool) {
	switch {
	case head.Owner == s.Runner.Self:
		// Its handover is under way, or the call that stored it had no answer.
		return ownDelay, true
	case head.Owner == batch.Owner{} || s.returned(head.Owner) || s.hasEnded(head.Owner) || s.isSilent(head.Owner):
		return 0, true
	default:
		return orphanDelay, !s.Roster.Alive(head.Owner.Host, head.Owner.Incarnation)
	}
}

func (s *Service) isSilent(owner batch.Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[owner.Incarnation] >= pingFailures
}

// hasEnded reports whether the owner's process has certainly ended.
func (s *Service) hasEnded(owner batch.Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[owner.Incarnation]
}

// ping asks an owner whether it lives, without waiting for its answer.
func (s *Service) ping(ctx context.Context, owner batch.Owner) {
	host, ok := s.Roster.Get(owner.Host)
	if s.Link == nil || !ok || host.Peer == "" || owner == s.Runner.Self {
		return
	}
	s.Runner.Go("ping of "+owner.Host, func() error {
		ctx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		err := s.Link.Ping(ctx, host.Peer)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.silent == nil {
			s.ended, s.silent = make(map[string]bool), make(map[string]int)
		}
		if err == nil {
			delete(s.silent, owner.Incarnation)
			return nil
		}
		if errors.Is(err, batchlink.ErrNobody) && !s.ended[owner.Incarnation] {
			s.ended[owner.Incarnation] = true
			s.Logger.LogAttrs(ctx, slog.LevelWarn, "owner of batches has ended", slog.String("owner", owner.Host),
				slog.String("incarnation", owner.Incarnation))
		}
		s.silent[owner.Incarnation]++
		if s.silent[owner.Incarnation] == pingFailures {
			s.Logger.LogAttrs(ctx, slog.LevelWarn, "owner of batches is silent", slog.String("owner", owner.Host),
				slog.Int("unanswered", pingFailures), slog.Any("error", err))
		}
		return nil
	})
}

// takeOver makes this host the owner of a batch and runs it.
func (s *Service) takeOver(ctx context.Context, head batch.Head) {
	// The head that this host knows may be old. Only a claim on the stored head
	// shows that the batch is still open, also if it seems to be this host's.
	claimed, err := s.Batches.Claim(ctx, head, s.Runner.Self)
	if err != nil {
		if kind.Is(err, kind.Conflict) {
			s.Index.Put(claimed)
		}
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch not taken over", slog.String("batch", head.ID), slog.Any("error", err))
		return
	}
	s.Index.Put(claimed)
	s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch taken over", slog.String("batch", head.ID),
		slog.String("from", head.Owner.Host), slog.String("incarnation", head.Owner.Incarnation))
	b, err := s.Batches.Load(ctx, head.ID)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelWarn, "batch not loaded", slog.String("batch", head.ID), slog.Any("error", err))
		return
	}
	listed, _, err := s.Batches.Results(ctx, head.ID, 0)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelWarn, "results not loaded", slog.String("batch", head.ID), slog.Any("error", err))
		return
	}
	s.adopt(ctx, claimed, b, listed, s.partials(ctx, head))
}

// partials reads the texts that the owner before has kept. One that isn't whole is
// used only if its stream is certainly closed: an item must not go on while another
// host still reads it.
func (s *Service) partials(ctx context.Context, head batch.Head) []batch.Partial {
	partials, err := s.Batches.Partials(ctx, head.ID)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelWarn, "partial texts not loaded", slog.String("batch", head.ID), slog.Any("error", err))
	}
	givenUp := head.Owner == batch.Owner{}
	if givenUp || s.returned(head.Owner) || s.hasEnded(head.Owner) {
		return partials
	}
	for i, p := range partials {
		if !p.TextComplete {
			partials[i] = batch.Partial{Failures: p.Failures, Item: p.Item}
		}
	}
	return partials
}

// adopt runs a batch, unless it was ended or claimed while it was loaded.
func (s *Service) adopt(
	ctx context.Context, head batch.Head, b batch.Batch, listed []batch.Result, partials []batch.Partial,
) {
	s.Runner.Adopt(ctx, head, b, listed, partials)
	if newest, ok := s.Index.Get(head.ID); ok && newest.Revision > head.Revision {
		s.Runner.Observe(newest)
	}
}
