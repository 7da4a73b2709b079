// Package kvrelay reaches the key-value service through other hosts while the
// service turns this host away or the path to it is cut.
package kvrelay

import (
	"context"
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
	// directPause is how long calls go through other hosts after the service
	// itself failed. Then one call tries the service again. All hosts together
	// make two calls each a second while it is away, and priced calls are those
	// that it refuses too.
	directPause = 500 * time.Millisecond
	// callTimeout bounds a relayed call: two hops between hosts and one call of
	// the service.
	callTimeout = 900 * time.Millisecond
	// relayWait bounds how long a relayed watch waits, so that the way back to
	// the service is tried soon.
	relayWait = 1500 * time.Millisecond
	// watchMargin is added to the wait of a relayed watch.
	watchMargin = 500 * time.Millisecond
	// maxPeers is the number of hosts that one call tries.
	maxPeers = 2
)

// Peers reaches other hosts.
type Peers interface {
	// Addresses returns the addresses of other hosts that may be asked.
	Addresses() []string
	// Relay calls do with a client of the host at address. An error of do closes
	// the connection.
	Relay(address string, do func(kvrelaypb.RelayClient) error) error
}

// Store calls the service, and other hosts for it when that fails. The fields
// are set before the first call.
type Store struct {
	// Direct is the service itself.
	Direct kv.RangeStore
	Logger *slog.Logger
	Peers  Peers

	mu sync.Mutex
	// last is the host that relayed a call last.
	last  string
	until time.Time
}

var _ kv.RangeStore = (*Store)(nil)

// relayedCall makes a call at another host. It returns the failure of the call
// at the service, or an error if the host wasn't reached.
type relayedCall func(ctx context.Context, client kvrelaypb.RelayClient) (*kvrelaypb.Failure, error)

// call tries the service and then other hosts. Only a call that certainly had no
// effect is tried again. lost is the kind of a relayed call without an answer.
func (s *Store) call(
	ctx context.Context, direct func() error, relayed relayedCall, lost kind.Kind, timeout time.Duration,
) error {
	err := error(kind.New(kind.StoreUnavailable, "the store is away and no other host is known"))
	if s.isDirect() {
		err = direct()
		if ctx.Err() != nil {
			// The caller ended the call, which says nothing of the service.
			return err
		}
		s.noteDirect(err)
		if err == nil || !kind.Is(err, kind.StoreUnavailable) {
			return err
		}
	}
	for _, address := range s.peers() {
		err = s.relay(ctx, address, relayed, lost, timeout)
		if err == nil || !kv.IsAway(err) {
			s.noteRelay(address)
			return err
		}
		s.noteRelay("")
		if kind.Is(err, kind.StoreWriteUnknown) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (s *Store) relay(
	ctx context.Context, address string, relayed relayedCall, lost kind.Kind, timeout time.Duration,
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
		return (&kind.Error{Cause: classError.Wrap(err), Kind: lost, Message: err.Error()}).WithRan(kind.RanUnknown)
	}
	return failureFromPB(failure)
}

func (s *Store) isDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !time.Now().Before(s.until)
}

func (s *Store) noteDirect(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && kv.IsAway(err) {
		if s.until.IsZero() {
			s.Logger.Warn("store away, other hosts are asked", slog.Any("error", err))
		}
		s.until = time.Now().Add(directPause)
		return
	}
	if !s.until.IsZero() {
		s.Logger.Info("store answers again")
		s.until = time.Time{}
	}
}

func (s *Store) noteRelay(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = address
}

// peers returns the hosts to ask, the one that helped last first.
func (s *Store) peers() []string {
	addresses := s.Peers.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, address := range addresses {
		if address == s.last {
			addresses[0], addresses[i] = addresses[i], addresses[0]
		}
	}
	return addresses[:min(len(addresses), maxPeers)]
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
	}, kind.StoreWriteUnknown, callTimeout)
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
	}, kind.StoreUnavailable, callTimeout)
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
	}, kind.StoreUnavailable, callTimeout)
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
	}, kind.StoreUnavailable, callTimeout)
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
	}, kind.StoreUnavailable, callTimeout)
	return entries, revision, err
}

// ListOld implements kv.RangeStore. Other hosts are asked for a List only, which
// serves as well.
func (s *Store) ListOld(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	if s.isDirect() {
		if entries, revision, err := s.Direct.ListOld(ctx, prefix); err == nil {
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
	}, kind.StoreUnavailable, callTimeout)
}

// Watch implements kv.Store.
func (s *Store) Watch(_ context.Context, prefix string, revision int64) (kv.Watcher, error) {
	return &watcher{prefix: prefix, revision: revision, store: s}, nil
}

// watcher asks from its revision on, by either way.
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
		wait := relayWait
		if deadline, ok := ctx.Deadline(); ok {
			wait = min(wait, max(time.Until(deadline)-watchMargin, time.Millisecond))
		}
		reply, err := client.Watch(ctx, &kvrelaypb.WatchRequest{
			Prefix: w.prefix, Revision: w.revision, WaitMillis: wait.Milliseconds(),
		})
		batch, compacted = batchFromPB(reply), reply.GetCompacted()
		return reply.GetFailure(), err
	}, kind.StoreUnavailable, relayWait+watchMargin)
	switch {
	case err != nil:
		return kv.Batch{}, err
	case compacted:
		return kv.Batch{}, kv.ErrCompacted
	}
	w.revision = max(w.revision, batch.Revision)
	return batch, nil
}
