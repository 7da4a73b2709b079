package kvrelay

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay/kvrelaypb"
)

// Register serves relayed calls from store, which must be the service itself
// and not a relay.
func Register(server *grpc.Server, store kv.RangeStore) {
	kvrelaypb.RegisterRelayServer(server, handler{store: store})
}

type handler struct {
	kvrelaypb.UnimplementedRelayServer

	store kv.RangeStore
}

var _ kvrelaypb.RelayServer = handler{}

// Commit implements kvrelaypb.RelayServer.
func (h handler) Commit(ctx context.Context, r *kvrelaypb.CommitRequest) (*kvrelaypb.CommitReply, error) {
	result, err := h.store.Commit(ctx, txnFromPB(r))
	return &kvrelaypb.CommitReply{
		Committed: result.Committed, Current: entriesToPB(result.Current), Failure: failureToPB(err), Revision: result.Revision,
	}, nil
}

// Get implements kvrelaypb.RelayServer.
func (h handler) Get(ctx context.Context, r *kvrelaypb.GetRequest) (*kvrelaypb.EntriesReply, error) {
	entry, err := h.store.Get(ctx, r.GetKey())
	return &kvrelaypb.EntriesReply{Entries: entriesToPB([]kv.Entry{entry}), Failure: failureToPB(err)}, nil
}

// GrantLease implements kvrelaypb.RelayServer.
func (h handler) GrantLease(ctx context.Context, r *kvrelaypb.LeaseRequest) (*kvrelaypb.LeaseReply, error) {
	id, err := h.store.GrantLease(ctx, time.Duration(r.GetTtlMillis())*time.Millisecond)
	return &kvrelaypb.LeaseReply{Failure: failureToPB(err), Lease: int64(id)}, nil
}

// KeepAlive implements kvrelaypb.RelayServer.
func (h handler) KeepAlive(ctx context.Context, r *kvrelaypb.LeaseRequest) (*kvrelaypb.LeaseReply, error) {
	ttl, err := h.store.KeepAlive(ctx, kv.LeaseID(r.GetLease()))
	return &kvrelaypb.LeaseReply{Failure: failureToPB(err), TtlMillis: ttl.Milliseconds()}, nil
}

// List implements kvrelaypb.RelayServer.
func (h handler) List(ctx context.Context, r *kvrelaypb.ListRequest) (*kvrelaypb.EntriesReply, error) {
	entries, revision, err := h.store.ListAfter(ctx, r.GetPrefix(), r.GetAfter())
	return &kvrelaypb.EntriesReply{Entries: entriesToPB(entries), Failure: failureToPB(err), Revision: revision}, nil
}

// RevokeLease implements kvrelaypb.RelayServer.
func (h handler) RevokeLease(ctx context.Context, r *kvrelaypb.LeaseRequest) (*kvrelaypb.LeaseReply, error) {
	return &kvrelaypb.LeaseReply{Failure: failureToPB(h.store.RevokeLease(ctx, kv.LeaseID(r.GetLease())))}, nil
}

// Watch implements kvrelaypb.RelayServer.
func (h handler) Watch(ctx context.Context, r *kvrelaypb.WatchRequest) (*kvrelaypb.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond)
	defer cancel()
	watcher, err := h.store.Watch(ctx, r.GetPrefix(), r.GetRevision())
	if err != nil {
		return watchToPB(kv.Batch{}, err), nil
	}
	defer watcher.Close()
	return watchToPB(watcher.Next(ctx)), nil
}
