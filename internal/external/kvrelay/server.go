package kvrelay

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay/kvrelaypb"
)

// Register registers a server that makes relayed calls directly at the service. It
// refuses them at once while direct calls of store fail, and never relays them
// further: in an outage for all hosts, that would multiply the calls that the
// service refuses.
func Register(server *grpc.Server, store *Store) {
	kvrelaypb.RegisterRelayServer(server, handler{store: store})
}

type handler struct {
	kvrelaypb.UnimplementedRelayServer

	store *Store
}

// callDirect calls the service unless a direct call of this host has failed within
// directRetryDelay.
func (h handler) callDirect(ctx context.Context, call func(kv.RangeStore) error) error {
	if !h.store.directAllowed() {
		return kind.New(kind.StoreUnavailable, "the key-value service is unavailable to the relaying host too")
	}
	began := time.Now()
	err := call(h.store.Direct)
	h.store.recordEnded(ctx, began, err)
	return err
}

var _ kvrelaypb.RelayServer = handler{}

// Commit implements kvrelaypb.RelayServer.
func (h handler) Commit(ctx context.Context, r *kvrelaypb.CommitRequest) (*kvrelaypb.CommitReply, error) {
	var result kv.TxnResult
	err := h.callDirect(ctx, func(store kv.RangeStore) (err error) {
		result, err = store.Commit(ctx, txnFromPB(r))
		return err
	})
	return &kvrelaypb.CommitReply{
		Committed: result.Committed, Current: entriesToPB(result.Current), Failure: failureToPB(err), Revision: result.Revision,
	}, nil
}

// Get implements kvrelaypb.RelayServer.
func (h handler) Get(ctx context.Context, r *kvrelaypb.GetRequest) (*kvrelaypb.EntriesReply, error) {
	var entry kv.Entry
	err := h.callDirect(ctx, func(store kv.RangeStore) (err error) {
		entry, err = store.Get(ctx, r.GetKey())
		return err
	})
	return &kvrelaypb.EntriesReply{Entries: entriesToPB([]kv.Entry{entry}), Failure: failureToPB(err)}, nil
}

// GrantLease implements kvrelaypb.RelayServer.
func (h handler) GrantLease(ctx context.Context, r *kvrelaypb.LeaseRequest) (*kvrelaypb.LeaseReply, error) {
	var id kv.LeaseID
	err := h.callDirect(ctx, func(store kv.RangeStore) (err error) {
		id, err = store.GrantLease(ctx, time.Duration(r.GetTtlMillis())*time.Millisecond)
		return err
	})
	return &kvrelaypb.LeaseReply{Failure: failureToPB(err), Lease: int64(id)}, nil
}

// KeepAlive implements kvrelaypb.RelayServer.
func (h handler) KeepAlive(ctx context.Context, r *kvrelaypb.LeaseRequest) (*kvrelaypb.LeaseReply, error) {
	var ttl time.Duration
	err := h.callDirect(ctx, func(store kv.RangeStore) (err error) {
		ttl, err = store.KeepAlive(ctx, kv.LeaseID(r.GetLease()))
		return err
	})
	return &kvrelaypb.LeaseReply{Failure: failureToPB(err), TtlMillis: ttl.Milliseconds()}, nil
}

// List implements kvrelaypb.RelayServer.
func (h handler) List(ctx context.Context, r *kvrelaypb.ListRequest) (*kvrelaypb.EntriesReply, error) {
	var entries []kv.Entry
	var revision int64
	err := h.callDirect(ctx, func(store kv.RangeStore) (err error) {
		entries, revision, err = store.ListAfter(ctx, r.GetPrefix(), r.GetAfter())
		return err
	})
	return &kvrelaypb.EntriesReply{Entries: entriesToPB(entries), Failure: failureToPB(err), Revision: revision}, nil
}

// RevokeLease implements kvrelaypb.RelayServer.
func (h handler) RevokeLease(ctx context.Context, r *kvrelaypb.LeaseRequest) (*kvrelaypb.LeaseReply, error) {
	err := h.callDirect(ctx, func(store kv.RangeStore) error { return store.RevokeLease(ctx, kv.LeaseID(r.GetLease())) })
	return &kvrelaypb.LeaseReply{Failure: failureToPB(err)}, nil
}

// Watch implements kvrelaypb.RelayServer.
func (h handler) Watch(ctx context.Context, r *kvrelaypb.WatchRequest) (*kvrelaypb.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond)
	defer cancel()
	var batch kv.Batch
	err := h.callDirect(ctx, func(store kv.RangeStore) error {
		watcher, err := store.Watch(ctx, r.GetPrefix(), r.GetRevision())
		if err != nil {
			return err
		}
		defer watcher.Close()
		batch, err = watcher.Next(ctx)
		return err
	})
	return watchReplyToPB(batch, err), nil
}
