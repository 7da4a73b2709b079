package batchrun

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/elapsed"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchlink"
	"github.com/nutmegway/nutmegway/internal/rollout/scaling"
)

const (
	// sweepInterval is how often the host looks for batches without a live owner.
	sweepInterval = 300 * time.Millisecond
	// retentionMargin is added to the retention of results to allow for late readers
	// and clock skew.
	retentionMargin = time.Minute
	// selfOwnedDelay is how long a host waits for the handover of a batch that
	// is stored with this host as the owner. After that it reads the batch from
	// the store.
	selfOwnedDelay = 600 * time.Millisecond
	// pingTimeout bounds one liveness probe of an owner, and maxMissedPings is the
	// number of consecutive unanswered probes after which the owner counts as dead. A
	// live host that is taken for dead loses its batches, but no stored results.
	pingTimeout    = 250 * time.Millisecond
	maxMissedPings = 4
	// orphanDelay is how long an owner must be missing from the roster before
	// another host takes its batches over. A live host whose roster entry has
	// expired writes it again within this time.
	orphanDelay = 900 * time.Millisecond
)

// Link calls the owners of batches on other hosts.
type Link interface {
	// Adopt hands a stored batch over to its owner at address and reports whether the
	// batch runs there.
	Adopt(ctx context.Context, address string, head batch.Head, b batch.Batch) (bool, error)
	// Demand returns what the batches that the host at address runs still need.
	Demand(ctx context.Context, address string) (scaling.Demand, error)
	// Offer lets the host at address take over a batch that this host has released.
	Offer(ctx context.Context, address string, head batch.Head) error
	// Ping checks whether the host at address is alive. The error is
	// batchlink.ErrNoListener if the process there has certainly ended.
	Ping(ctx context.Context, address string) error
	// Read reads results from the owner at address. If there are none yet, it
	// waits for one, at most for the duration wait. It returns false if the
	// call fails, or if the owner neither runs the batch nor has its final
	// results.
	Read(ctx context.Context, address, id string, after int, wait time.Duration) (batch.Page, bool, error)
}

// Service serves the batch requests of trainers on any host, and takes over batches whose
// owner is gone. The exported fields are set before Run.
type Service struct {
	Batches *batch.Store
	Index   *batch.Index
	// Retention is how long a batch is kept after its submission; zero keeps it forever.
	Retention time.Duration
	// Link calls other hosts. If it is nil, hosts share batches through the store only.
	Link   Link
	Logger *slog.Logger
	Roster *roster.Roster
	Runner *Runner

	// orphanedSince holds, by batch ID, when an open batch was first seen
	// without a live owner. Only the goroutine of Run uses it.
	orphanedSince map[string]time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// ended holds the incarnations of owners whose process has certainly ended.
	ended map[string]bool
	// missedPings counts consecutive unanswered pings, by incarnation.
	missedPings map[string]int
}

// Submit accepts a batch and starts it, on this host or on its owner.
// Submitting it again has no effect. After an error whose Ran is "no", no part
// of the batch runs.
func (s *Service) Submit(ctx context.Context, b batch.Batch) error {
	if head, ok := s.Index.Get(b.ID); ok {
		return checkAccount(head, b.Account)
	}
	if err := checkSendable(b); err != nil {
		return err
	}
	owner := s.assignedOwner(b.Model)
	b.ConfigVersion = s.Runner.configVersion()
	head, created, err := s.Batches.Accept(ctx, b, batch.Owner{Host: owner.ID, Incarnation: owner.Incarnation})
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch not accepted", slog.String("batch", b.ID), slog.Any("error", err))
		return err
	}
	accepted := elapsed.Now(s.Batches.Now)
	s.Index.Put(head)
	s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch accepted", slog.String("batch", b.ID), slog.Bool("created", created),
		slog.String("owner", head.Owner.Host), slog.Int64("revision", head.Revision))
	if err := checkAccount(head, b.Account); err != nil {
		return err
	}
	switch {
	case !created || !head.IsOpen():
	case head.Owner == s.Runner.Self:
		s.Runner.Adopt(ctx, head, b, nil, nil)
	default:
		s.handOverTo(context.WithoutCancel(ctx), owner, head, b, accepted)
	}
	return nil
}

// checkAccount returns an error if a batch with the same id was accepted from another client
// account.
func checkAccount(head batch.Head, account string) error {
	if head.Account != account {
		return kind.New(kind.Conflict, "the id of batch %q is taken", head.ID)
	}
	return nil
}

// Account returns the client account that a batch belongs to, or an empty name if it belongs
// to none.
func (s *Service) Account(ctx context.Context, id string) (string, error) {
	head, err := s.head(ctx, id)
	return head.Account, err
}

// handOverTo hands a new batch over to its owner in the background, and claims it for
// this host if the owner doesn't run it. The caller's submission is confirmed without
// waiting for this. If the host has stood still since the batch was accepted, the owner or
// its successor has taken the batch up from the store.
func (s *Service) handOverTo(ctx context.Context, owner roster.Host, head batch.Head, b batch.Batch, accepted elapsed.Mark) {
	s.Runner.Go("handover of batch "+head.ID, func() error {
		if age := accepted.Since(s.Batches.Now); age > selfOwnedDelay {
			s.Logger.LogAttrs(ctx, slog.LevelInfo, "late handover of batch omitted", slog.String("batch", head.ID),
				slog.String("owner", owner.ID), slog.Duration("age", age))
			return nil
		}
		running, err := s.Link.Adopt(ctx, owner.PeerAddress, head, b)
		if running {
			return nil
		}
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch not handed over", slog.String("batch", head.ID),
			slog.String("owner", owner.ID), slog.Any("error", err))
		// The owner may have stored results before the reply was lost.
		s.takeOver(ctx, head)
		return nil
	})
}

// Adopt implements batchlink.Owner: it runs a batch that another host accepted and stored
// with this host as its owner. It returns false if this host is leaving, or if it knows that
// the batch has changed since. The other host may know an earlier incarnation of this one,
// for example after a restart of the whole fleet; then this host takes the batch over first,
// and returns false if it can't.
func (s *Service) Adopt(ctx context.Context, head batch.Head, b batch.Batch) bool {
	s.Index.Put(head)
	if head.Owner != s.Runner.Self && head.Owner.Host == s.Runner.Self.Host {
		s.takeOver(context.WithoutCancel(ctx), head)
	} else {
		s.Runner.Adopt(ctx, head, b, nil, nil)
	}
	return s.Runner.Runs(head.ID)
}

// OwnDemand implements batchlink.Owner: it returns what the batches that this host runs still
// need.
func (s *Service) OwnDemand() scaling.Demand { return s.Runner.Demand() }

// End ends a batch at its trainer's request and stops its items if this host
// runs them. Any other owner stops them when it learns of the changed head.
// Ending a batch again succeeds.
func (s *Service) End(ctx context.Context, id string) error {
	known, _ := s.Index.Get(id)
	head, err := s.Batches.End(ctx, id, known)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch not ended", slog.String("batch", id), slog.Any("error", err))
		return err
	}
	s.Index.Put(head)
	s.Runner.HandleHead(head)
	return nil
}

// head returns the newest head that this host knows. The head of an unknown batch is read
// from the store, since another host may have accepted the batch a moment ago.
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

// Run takes over batches whose owner is gone and removes expired ones, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	s.orphanedSince = make(map[string]time.Time)
	for ctx.Err() == nil {
		now := time.Now()
		s.sweep(ctx, now)
		s.removeExpired(ctx, now)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return nil
}

// sweep checks the owners of all open batches that this host doesn't run. It
// takes over the batches whose successor or owner is this host and that have
// been without a live owner for the delay that isOrphan returns.
func (s *Service) sweep(ctx context.Context, now time.Time) {
	open := s.Index.Open()
	present := make(map[string]bool, len(open))
	pinged := make(map[string]bool)
	for _, head := range open {
		present[head.ID] = true
		if s.Runner.Runs(head.ID) {
			delete(s.orphanedSince, head.ID)
			continue
		}
		successor := s.isSuccessor(head)
		if successor && !pinged[head.Owner.Incarnation] {
			pinged[head.Owner.Incarnation] = true
			s.ping(ctx, head.Owner)
		}
		delay, orphan := s.isOrphan(head)
		if !orphan {
			delete(s.orphanedSince, head.ID)
			continue
		}
		since, ok := s.orphanedSince[head.ID]
		if !ok {
			s.orphanedSince[head.ID], since = now, now
		}
		if now.Sub(since) >= delay && (successor || head.Owner == s.Runner.Self) {
			s.takeOver(ctx, head)
		}
	}
	for id := range s.orphanedSince {
		if !present[id] {
			delete(s.orphanedSince, id)
		}
	}
}

// removeExpired removes the closed batches past their retention that rendezvous hashing
// assigns to this host.
func (s *Service) removeExpired(ctx context.Context, now time.Time) {
	if s.Retention == 0 {
		return
	}
	for _, head := range s.Index.ClosedBefore(now.Add(-s.Retention - retentionMargin)) {
		if rendezvous.Owner(head.ID, roster.IDs(s.Roster.Hosts())) != s.Runner.Self.Host {
			continue
		}
		err := s.Batches.Remove(ctx, head)
		s.Logger.LogAttrs(ctx, slog.LevelInfo, "removal of expired batch ended", slog.String("batch", head.ID), slog.Any("error", err))
	}
}

// isSuccessor reports whether this host takes the batch over if its owner is gone.
func (s *Service) isSuccessor(head batch.Head) bool { return s.successorOf(head) == s.Runner.Self.Host }

// successorOf returns the host that takes the batch over if its owner is gone. All hosts
// with the same roster choose the same successor. An owner that has restarted may take
// its batch over itself.
func (s *Service) successorOf(head batch.Head) string {
	hosts := roster.Connected(s.Roster.Hosts())
	others := slices.DeleteFunc(slices.Clone(hosts), func(h roster.Host) bool {
		return h.ID == head.Owner.Host && !s.hasRestarted(head.Owner)
	})
	if len(others) > 0 {
		hosts = others
	}
	return rendezvous.Owner(head.ID, roster.IDs(roster.HighCapacity(hosts)))
}

// Offer notifies the successor of a batch that this host has released. The successor also
// learns of the release from the store, but up to a second later.
func (s *Service) Offer(ctx context.Context, head batch.Head) {
	successor, ok := s.Roster.Get(s.successorOf(head))
	if s.Link == nil || !ok || successor.PeerAddress == "" || successor.ID == s.Runner.Self.Host {
		return
	}
	err := s.Link.Offer(ctx, successor.PeerAddress, head)
	s.Logger.LogAttrs(ctx, slog.LevelInfo, "batch offer ended", slog.String("batch", head.ID), slog.String("to", successor.ID), slog.Any("error", err))
}

// ReleaseTo releases the batches of this host whose successor passes the check. Each successor
// is checked once.
func (s *Service) ReleaseTo(ctx context.Context, check func(context.Context, roster.Host) bool) {
	checked := make(map[string]bool)
	s.Runner.release(ctx, func(head batch.Head) bool {
		successor, ok := s.Roster.Get(s.successorOf(head))
		if !ok || successor.ID == s.Runner.Self.Host || successor.PeerAddress == "" {
			return false
		}
		passes, known := checked[successor.ID]
		if !known {
			passes = check(ctx, successor)
			checked[successor.ID] = passes
		}
		return passes
	})
}

// HandleOffer implements batchlink.Owner: it takes over a batch that another host has
// released, unless this host is leaving or another host has claimed the batch already.
func (s *Service) HandleOffer(ctx context.Context, head batch.Head) {
	s.Index.Put(head)
	if !head.IsOpen() || head.Owner != (batch.Owner{}) || s.Runner.Runs(head.ID) || s.Runner.isFinishing() {
		return
	}
	s.Runner.Go("takeover of batch "+head.ID, func() error {
		s.takeOver(context.WithoutCancel(ctx), head)
		return nil
	})
}

// hasRestarted reports whether the owner's host has another incarnation by now.
func (s *Service) hasRestarted(owner batch.Owner) bool {
	host, ok := s.Roster.Get(owner.Host)
	return ok && host.Incarnation != owner.Incarnation
}

// isOrphan reports whether the batch seems to have no live owner, and how long this has
// to last before the batch is taken over.
func (s *Service) isOrphan(head batch.Head) (time.Duration, bool) {
	switch {
	case head.Owner == s.Runner.Self:
		// The handover is in progress, or the outcome of the write that stored the batch
		// is unknown to the host that accepted it.
		return selfOwnedDelay, true
	case head.Owner == batch.Owner{} || s.hasRestarted(head.Owner) || s.hasEnded(head.Owner) || s.isSilent(head.Owner):
		return 0, true
	default:
		return orphanDelay, !s.Roster.Alive(head.Owner.Host, head.Owner.Incarnation)
	}
}

// isSilent reports whether the owner has missed too many pings in a row.
func (s *Service) isSilent(owner batch.Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missedPings[owner.Incarnation] >= maxMissedPings
}

// hasEnded reports whether the owner's process has certainly ended.
func (s *Service) hasEnded(owner batch.Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[owner.Incarnation]
}

// ping checks in the background whether an owner is alive.
func (s *Service) ping(ctx context.Context, owner batch.Owner) {
	host, ok := s.Roster.Get(owner.Host)
	if s.Link == nil || !ok || host.PeerAddress == "" || owner == s.Runner.Self {
		return
	}
	s.Runner.Go("ping of "+owner.Host, func() error {
		ctx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		err := s.Link.Ping(ctx, host.PeerAddress)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.missedPings == nil {
			s.ended, s.missedPings = make(map[string]bool), make(map[string]int)
		}
		if err == nil {
			delete(s.missedPings, owner.Incarnation)
			return nil
		}
		if errors.Is(err, batchlink.ErrNoListener) && !s.ended[owner.Incarnation] {
			s.ended[owner.Incarnation] = true
			s.Logger.LogAttrs(ctx, slog.LevelWarn, "owner of batches has ended", slog.String("owner", owner.Host),
				slog.String("incarnation", owner.Incarnation))
		}
		s.missedPings[owner.Incarnation]++
		if s.missedPings[owner.Incarnation] == maxMissedPings {
			s.Logger.LogAttrs(ctx, slog.LevelWarn, "owner of batches is silent", slog.String("owner", owner.Host),
				slog.Int("unanswered", maxMissedPings), slog.Any("error", err))
		}
		return nil
	})
}

// takeOver claims a batch for this host and runs it.
func (s *Service) takeOver(ctx context.Context, head batch.Head) {
	// The known head may be outdated, even if it names this host as the owner. Only a
	// successful claim proves that the batch is still open.
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
	stored, _, err := s.Batches.Results(ctx, head.ID, 0)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelWarn, "results not loaded", slog.String("batch", head.ID), slog.Any("error", err))
		return
	}
	s.Runner.Adopt(ctx, claimed, b, stored, s.loadPartials(ctx, head))
}

// loadPartials reads the partial texts that the previous owner saved. An
// incomplete text is used only if that owner has released the batch or its
// process has ended, because an item must not be resumed while another host
// still reads its stream.
func (s *Service) loadPartials(ctx context.Context, head batch.Head) []batch.Partial {
	partials, err := s.Batches.Partials(ctx, head.ID)
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelWarn, "partial texts not loaded", slog.String("batch", head.ID), slog.Any("error", err))
	}
	released := head.Owner == batch.Owner{}
	if released || s.hasRestarted(head.Owner) || s.hasEnded(head.Owner) {
		return partials
	}
	for i, p := range partials {
		if !p.TextComplete {
			partials[i] = batch.Partial{Failures: p.Failures, Item: p.Item}
		}
	}
	return partials
}
