// Package kvrelay relays calls of the key-value service through other hosts while
// the service refuses this host or can't be reached from it.
package kvrelay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay/kvrelaypb"
)

var classError = errs.Class("kvrelay")

const (
	// directRetryDelay is how long a host relays all calls after a direct call has
	// failed. The next call then tries the service again. During an outage, a host
	// thus calls the service about twice a second. The rate is limited because
	// refused calls also count against the rate limit of the service.
	directRetryDelay = 500 * time.Millisecond
	// relayTimeout bounds a relayed call, which takes two hops between hosts and
	// one call of the service.
	relayTimeout = 900 * time.Millisecond
	// relayedWatchWait bounds how long a relayed watch waits for events, so that
	// the service is soon tried directly again.
	relayedWatchWait = 1500 * time.Millisecond
	// relayedWatchMargin is the time that a relayed watch has, in addition to its
	// wait, for the way through the other host to the service and back.
	relayedWatchMargin = 500 * time.Millisecond
	// answerTimeout is the time without an answer after which a direct call counts as
	// failed, even if the deadline of its caller ended it.
	answerTimeout = 700 * time.Millisecond
	// maxRelaysPerCall is the number of other hosts that one call tries.
	maxRelaysPerCall = 2
)

// Peers provides connections to other hosts.
type Peers interface {
	// Addresses returns the addresses of other hosts that can relay calls.
	Addresses() []string
	// Relay invokes call with a client of the host at address. If call returns an
	// error, Relay closes the connection.
	Relay(address string, call func(kvrelaypb.RelayClient) error) error
}

// Store calls the service directly and falls back to a relay through other hosts.
// Its fields are set before the first call.
type Store struct {
	// Direct calls the service without a relay.
	Direct kv.RangeStore
	Logger *slog.Logger
	Peers  Peers

	mu sync.Mutex
	// lastRelay is the address of the host that last relayed a call; empty after a
	// relay failed.
	lastRelay string
	// retryDirectAt is when the service may be called directly again. It is zero
	// while direct calls succeed.
	retryDirectAt time.Time
}

var _ kv.RangeStore = (*Store)(nil)

// relayedCall makes a call through another host. It returns the failure that the host
// reports, or an error if the host did not answer.
type relayedCall func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error)

// call tries the service and then other hosts. It makes another attempt only after an
// error of kind StoreUnavailable. noReply is the error kind of a relayed call to which
// the other host gave no reply: StoreWriteUnknown for a Commit, which may have taken
// effect and must not be repeated, and StoreUnavailable for reads and lease calls,
// which can be repeated.
func (s *Store) call(
	ctx context.Context, direct func() error, relayed relayedCall, noReply kind.Kind, timeout time.Duration,
) error {
	err := error(kind.New(kind.StoreUnavailable, "the key-value service is unavailable to this host and no other host can relay the call"))
	if s.directAllowed() {
		began := time.Now()
		err = direct()
		s.recordEnded(ctx, began, err)
		if ctx.Err() != nil {
			return err
		}
		if err == nil || !kind.Is(err, kind.StoreUnavailable) {
			return err
		}
	}
	for _, address := range s.relayCandidates() {
		err = s.relay(ctx, address, relayed, noReply, timeout)
		if err == nil || !kv.IsTransient(err) {
			s.recordRelay(address)
			return err
		}
		s.recordRelay("")
		if kind.Is(err, kind.StoreWriteUnknown) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (s *Store) relay(
	ctx context.Context, address string, relayed relayedCall, noReply kind.Kind, timeout time.Duration,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var failure *kvrelaypb.Failure
	err := s.Peers.Relay(address, func(client kvrelaypb.RelayClient) error {
		var err error
		failure, err = relayed(ctx, client)
		return err
	})
	if err != nil {
		return (&kind.Error{Cause: classError.Wrap(err), Kind: noReply, Message: err.Error()}).WithRan(kind.RanUnknown)
	}
	return failureFromPB(failure)
}

func (s *Store) directAllowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !time.Now().Before(s.retryDirectAt)
}

// recordEnded records the outcome of a direct call that began at began. A call that its
// caller cancelled, or for which the caller had little time, says nothing about the service.
// But a service that gives no answer until a longer deadline has failed: watches are asked
// to be answered before theirs.
func (s *Store) recordEnded(ctx context.Context, began time.Time, err error) {
	switch {
	case ctx.Err() == nil || err == nil:
		s.recordDirect(err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(began) >= answerTimeout:
		s.recordDirect(kind.New(kind.StoreUnavailable, "no answer of the key-value service in %s: %v", time.Since(began), err))
	}
}

func (s *Store) recordDirect(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && kv.IsTransient(err) {
		if s.retryDirectAt.IsZero() {
			s.Logger.Warn("store away, other hosts are asked", slog.Any("error", err))
		}
		s.retryDirectAt = time.Now().Add(directRetryDelay)
		return
	}
	if !s.retryDirectAt.IsZero() {
		s.Logger.Info("store answers again")
		s.retryDirectAt = time.Time{}
	}
}

func (s *Store) recordRelay(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRelay = address
}

// relayCandidates returns up to maxRelaysPerCall other hosts in random order, except
// that lastRelay comes first.
func (s *Store) relayCandidates() []string {
	addresses := s.Peers.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, address := range addresses {
		if address == s.lastRelay {
			addresses[0], addresses[i] = addresses[i], addresses[0]
		}
	}
	return addresses[:min(len(addresses), maxRelaysPerCall)]
}

// Commit implements kv.Store.
func (s *Store) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	var result kv.TxnResult
	err := s.call(ctx, func() (err error) {
		result, err = s.Direct.Commit(ctx, txn)
		return err
	}, func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error) {
		reply, err := client.Commit(ctx, txnToPB(txn))
		result = kv.TxnResult{
			Committed: reply.GetCommitted(), Current: entriesFromPB(reply.GetCurrent()), Revision: reply.GetRevision(),
		}
		return reply.GetFailure(), err
	}, kind.StoreWriteUnknown, relayTimeout)
	return result, err
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	entry := kv.Entry{Key: key}
	err := s.call(ctx, func() (err error) {
		entry, err = s.Direct.Get(ctx, key)
		return err
	}, func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error) {
		reply, err := client.Get(ctx, &kvrelaypb.GetRequest{Key: key})
		if entries := entriesFromPB(reply.GetEntries()); len(entries) == 1 {
			entry = entries[0]
		}
		return reply.GetFailure(), err
	}, kind.StoreUnavailable, relayTimeout)
	return entry, err
}

// GrantLease implements kv.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var id kv.LeaseID
	err := s.call(ctx, func() (err error) {
		id, err = s.Direct.GrantLease(ctx, ttl)
		return err
	}, func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error) {
		reply, err := client.GrantLease(ctx, &kvrelaypb.LeaseRequest{TtlMillis: ttl.Milliseconds()})
		id = kv.LeaseID(reply.GetLease())
		return reply.GetFailure(), err
	}, kind.StoreUnavailable, relayTimeout)
	return id, err
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	var ttl time.Duration
	err := s.call(ctx, func() (err error) {
		ttl, err = s.Direct.KeepAlive(ctx, id)
		return err
	}, func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error) {
		reply, err := client.KeepAlive(ctx, &kvrelaypb.LeaseRequest{Lease: int64(id)})
		ttl = time.Duration(reply.GetTtlMillis()) * time.Millisecond
		return reply.GetFailure(), err
	}, kind.StoreUnavailable, relayTimeout)
	return ttl, err
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	return s.ListAfter(ctx, prefix, "")
}

// ListAfter implements kv.RangeStore.
func (s *Store) ListAfter(ctx context.Context, prefix, after string) ([]kv.Entry, int64, error) {
	var entries []kv.Entry
	var revision int64
	err := s.call(ctx, func() (err error) {
		entries, revision, err = s.Direct.ListAfter(ctx, prefix, after)
		return err
	}, func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error) {
		reply, err := client.List(ctx, &kvrelaypb.ListRequest{After: after, Prefix: prefix})
		entries, revision = entriesFromPB(reply.GetEntries()), reply.GetRevision()
		return reply.GetFailure(), err
	}, kind.StoreUnavailable, relayTimeout)
	return entries, revision, err
}

// ListStale implements kv.RangeStore. Relays offer no stale list, so it falls back to
// List.
func (s *Store) ListStale(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	if s.directAllowed() {
		if entries, revision, err := s.Direct.ListStale(ctx, prefix); err == nil {
			return entries, revision, nil
		}
	}
	return s.List(ctx, prefix)
}

// RevokeLease implements kv.Store.
func (s *Store) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	return s.call(ctx, func() error {
		return s.Direct.RevokeLease(ctx, id)
	}, func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error) {
		reply, err := client.RevokeLease(ctx, &kvrelaypb.LeaseRequest{Lease: int64(id)})
		return reply.GetFailure(), err
	}, kind.StoreUnavailable, relayTimeout)
}

// Watch implements kv.Store.
func (s *Store) Watch(_ context.Context, prefix string, revision int64) (kv.Watcher, error) {
	return &watcher{prefix: prefix, revision: revision, store: s}, nil
}

// watcher polls for the changes after its revision. Each poll goes to the service
// or through another host.
type watcher struct {
	prefix   string
	revision int64
	store    *Store
}

var _ kv.Watcher = (*watcher)(nil)

// Close implements kv.Watcher.
func (*watcher) Close() {}

// Next implements kv.Watcher.
func (w *watcher) Next(ctx context.Context) (kv.Batch, error) {
	var batch kv.Batch
	compacted := false
	err := w.store.call(ctx, func() error {
		direct, err := w.store.Direct.Watch(ctx, w.prefix, w.revision)
		if err != nil {
			return err
		}
		defer direct.Close()
		batch, err = direct.Next(ctx)
		return err
	}, func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error) {
		wait := relayedWatchWait
		if deadline, ok := ctx.Deadline(); ok {
			left := time.Until(deadline)
			wait = min(wait, max(left-relayedWatchMargin, left/2, time.Millisecond))
		}
		reply, err := client.Watch(ctx, &kvrelaypb.WatchRequest{
			Prefix: w.prefix, Revision: w.revision, WaitMillis: wait.Milliseconds(),
		})
		batch, compacted = batchFromPB(reply), reply.GetCompacted()
		return reply.GetFailure(), err
	}, kind.StoreUnavailable, relayedWatchWait+relayedWatchMargin)
	switch {
	case err != nil:
		return kv.Batch{}, err
	case compacted:
		return kv.Batch{}, kv.ErrCompacted
	}
	w.revision = max(w.revision, batch.Revision)
	return batch, nil
}
