package etcd

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegway/nutmegway/internal/external/etcd/etcdserverpb"
	"github.com/nutmegway/nutmegway/internal/external/etcd/mvccpb"
)

// keyValue implements the KV service with ranges and transactions.
type keyValue struct {
	etcdserverpb.UnimplementedKVServer

	server *Server
}

// Range returns the key-value pairs of a range.
func (k *keyValue) Range(ctx context.Context, request *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	return withFault(ctx, k.server, MethodRange, func() (*etcdserverpb.RangeResponse, error) {
		k.server.mu.Lock()
		defer k.server.mu.Unlock()
		return k.server.rangeKeys(request), nil
	})
}

// Txn applies a transaction.
func (k *keyValue) Txn(ctx context.Context, request *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	return withFault(ctx, k.server, MethodTxn, func() (*etcdserverpb.TxnResponse, error) {
		k.server.mu.Lock()
		defer k.server.mu.Unlock()
		return k.server.txn(request)
	})
}

func (s *Server) rangeKeys(request *etcdserverpb.RangeRequest) *etcdserverpb.RangeResponse {
	reply := &etcdserverpb.RangeResponse{Header: s.header()}
	if len(request.GetRangeEnd()) == 0 {
		if pair, ok := s.keys[string(request.GetKey())]; ok {
			reply.Kvs = append(reply.Kvs, pair)
		}
	} else {
		for key, pair := range s.keys {
			if inRange(key, request.GetKey(), request.GetRangeEnd()) {
				reply.Kvs = append(reply.Kvs, pair)
			}
		}
		slices.SortFunc(reply.Kvs, func(a, b *mvccpb.KeyValue) int {
			return cmp.Compare(string(a.GetKey()), string(b.GetKey()))
		})
	}
	reply.Count = int64(len(reply.GetKvs()))
	if limit := request.GetLimit(); limit > 0 && reply.GetCount() > limit {
		reply.Kvs, reply.More = reply.GetKvs()[:limit], true
	}
	return reply
}

func inRange(key string, start, end []byte) bool {
	if len(end) == 0 {
		return key == string(start)
	}
	return key >= string(start) && (string(end) == "\x00" || key < string(end))
}

func (s *Server) txn(request *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	succeeded := true
	for _, compare := range request.GetCompare() {
		matches, err := s.evaluateCompare(compare)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && matches
	}
	operations := request.GetSuccess()
	if !succeeded {
		operations = request.GetFailure()
	}
	for _, operation := range operations {
		if id := operation.GetRequestPut().GetLease(); id != 0 && s.leases[id] == nil {
			return nil, status.Error(codes.NotFound, "etcdserver: requested lease not found")
		}
	}
	revision := s.revision + 1
	reply := &etcdserverpb.TxnResponse{Succeeded: succeeded}
	for _, operation := range operations {
		reply.Responses = append(reply.Responses, s.apply(operation, revision))
	}
	s.commitRevision(revision)
	reply.Header = s.header()
	return reply, nil
}

func (s *Server) evaluateCompare(compare *etcdserverpb.Compare) (bool, error) {
	pair := s.keys[string(compare.GetKey())]
	var order int
	switch compare.GetTarget() {
	case etcdserverpb.Compare_CREATE:
		order = cmp.Compare(pair.GetCreateRevision(), compare.GetCreateRevision())
	case etcdserverpb.Compare_MOD:
		order = cmp.Compare(pair.GetModRevision(), compare.GetModRevision())
	case etcdserverpb.Compare_VERSION:
		order = cmp.Compare(pair.GetVersion(), compare.GetVersion())
	case etcdserverpb.Compare_VALUE:
		order = cmp.Compare(string(pair.GetValue()), string(compare.GetValue()))
	case etcdserverpb.Compare_LEASE:
		order = cmp.Compare(pair.GetLease(), compare.GetLease())
	default:
		return false, status.Error(codes.InvalidArgument, "unknown target of a comparison")
	}
	switch compare.GetResult() {
	case etcdserverpb.Compare_EQUAL:
		return order == 0, nil
	case etcdserverpb.Compare_NOT_EQUAL:
		return order != 0, nil
	case etcdserverpb.Compare_GREATER:
		return order > 0, nil
	default:
		return order < 0, nil
	}
}

func (s *Server) apply(operation *etcdserverpb.RequestOp, revision int64) *etcdserverpb.ResponseOp {
	switch request := operation.GetRequest().(type) {
	case *etcdserverpb.RequestOp_RequestPut:
		s.put(request.RequestPut, revision)
		return &etcdserverpb.ResponseOp{Response: &etcdserverpb.ResponseOp_ResponsePut{
			ResponsePut: &etcdserverpb.PutResponse{},
		}}
	case *etcdserverpb.RequestOp_RequestDeleteRange:
		reply := &etcdserverpb.DeleteRangeResponse{}
		for _, pair := range s.rangeKeys(&etcdserverpb.RangeRequest{
			Key:      request.RequestDeleteRange.GetKey(),
			RangeEnd: request.RequestDeleteRange.GetRangeEnd(),
		}).GetKvs() {
			s.remove(string(pair.GetKey()), revision)
			reply.Deleted++
		}
		return &etcdserverpb.ResponseOp{Response: &etcdserverpb.ResponseOp_ResponseDeleteRange{
			ResponseDeleteRange: reply,
		}}
	default:
		return &etcdserverpb.ResponseOp{Response: &etcdserverpb.ResponseOp_ResponseRange{
			ResponseRange: s.rangeKeys(operation.GetRequestRange()),
		}}
	}
}

// leaseServer implements the Lease service.
type leaseServer struct {
	etcdserverpb.UnimplementedLeaseServer

	server *Server
}

// LeaseGrant creates a lease.
func (l *leaseServer) LeaseGrant(ctx context.Context, request *etcdserverpb.LeaseGrantRequest) (*etcdserverpb.LeaseGrantResponse, error) {
	s := l.server
	return withFault(ctx, s, MethodLeaseGrant, func() (*etcdserverpb.LeaseGrantResponse, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		id := request.GetID()
		if id == 0 {
			id = s.nextLeaseID
			s.nextLeaseID++
		}
		ttl := max(request.GetTTL(), 1)
		s.leases[id] = &lease{
			expires: time.Now().Add(time.Duration(ttl) * time.Second),
			keys:    make(map[string]struct{}),
			ttl:     ttl,
		}
		return &etcdserverpb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: ttl}, nil
	})
}

// LeaseRevoke ends a lease.
func (l *leaseServer) LeaseRevoke(ctx context.Context, request *etcdserverpb.LeaseRevokeRequest) (*etcdserverpb.LeaseRevokeResponse, error) {
	s := l.server
	return withFault(ctx, s, MethodLeaseRevoke, func() (*etcdserverpb.LeaseRevokeResponse, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[request.GetID()] == nil {
			return nil, status.Error(codes.NotFound, "etcdserver: requested lease not found")
		}
		s.deleteLease(request.GetID())
		return &etcdserverpb.LeaseRevokeResponse{Header: s.header()}, nil
	})
}

// LeaseKeepAlive extends leases. Each message counts as one call.
func (l *leaseServer) LeaseKeepAlive(
	stream grpc.BidiStreamingServer[etcdserverpb.LeaseKeepAliveRequest, etcdserverpb.LeaseKeepAliveResponse],
) error {
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := withFault(stream.Context(), l.server, MethodKeepAlive, func() (*etcdserverpb.LeaseKeepAliveResponse, error) {
			return l.server.keepAlive(request.GetID()), nil
		})
		if err != nil {
			return err
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

func (s *Server) keepAlive(id int64) *etcdserverpb.LeaseKeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &etcdserverpb.LeaseKeepAliveResponse{Header: s.header(), ID: id}
	if l, ok := s.leases[id]; ok {
		l.expires = time.Now().Add(time.Duration(l.ttl) * time.Second)
		reply.TTL = l.ttl
	}
	return reply
}

// watchServer implements the Watch service with one watch per stream.
type watchServer struct {
	etcdserverpb.UnimplementedWatchServer

	server *Server
}

// watch is the state of one watch.
type watch struct {
	end          []byte
	key          []byte
	nextRevision int64
}

// Watch sends the events of one range, starting at a revision.
func (w *watchServer) Watch(stream grpc.BidiStreamingServer[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse]) error {
	s := w.server
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	create := first.GetCreateRequest()
	if create == nil {
		return status.Error(codes.InvalidArgument, "the first message of a stream must create the watch")
	}
	if _, err := withFault(stream.Context(), s, MethodWatch, func() (struct{}, error) { return struct{}{}, nil }); err != nil {
		return err
	}
	current := &watch{key: create.GetKey(), end: create.GetRangeEnd(), nextRevision: create.GetStartRevision()}
	s.mu.Lock()
	if current.nextRevision == 0 {
		current.nextRevision = s.revision + 1
	}
	created := &etcdserverpb.WatchResponse{Created: true, Header: s.header()}
	s.mu.Unlock()
	if err := stream.Send(created); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(stream.Context())
	progress := make(chan struct{}, 1)
	group.Go(func() error { return receiveProgress(stream, progress) })
	group.Go(func() error { return s.sendEvents(ctx, stream, current, progress) })
	return group.Wait()
}

// receiveProgress forwards progress requests to sendEvents until the caller cancels
// the watch.
func receiveProgress(
	stream grpc.BidiStreamingServer[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse], progress chan<- struct{},
) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		if request.GetCancelRequest() != nil {
			return io.EOF
		}
		select {
		case progress <- struct{}{}:
		default:
		}
	}
}

func (s *Server) sendEvents(
	ctx context.Context, stream grpc.BidiStreamingServer[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse],
	current *watch, progress <-chan struct{},
) error {
	for {
		reply, changed := s.pendingEvents(current)
		if reply != nil {
			if err := stream.Send(reply); err != nil || reply.GetCanceled() {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-progress:
			s.mu.Lock()
			// If the watch is past the current revision, all its events were sent.
			behind := current.nextRevision <= s.revision
			header := s.header()
			s.mu.Unlock()
			if behind {
				continue
			}
			if err := stream.Send(&etcdserverpb.WatchResponse{Header: header, WatchId: -1}); err != nil {
				return err
			}
		}
	}
}

// pendingEvents returns the events that the watch has not sent, or nil if there are
// none, and the channel that is closed at the next change. If the events have been
// compacted, it returns a reply that cancels the watch.
func (s *Server) pendingEvents(current *watch) (*etcdserverpb.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &etcdserverpb.WatchResponse{Header: s.header()}
	if current.nextRevision <= s.compactedRevision {
		reply.Canceled, reply.CompactRevision = true, s.compactedRevision+1
		return reply, s.changed
	}
	start, _ := slices.BinarySearchFunc(s.events, current.nextRevision, func(event *mvccpb.Event, revision int64) int {
		return cmp.Compare(event.GetKv().GetModRevision(), revision)
	})
	for _, event := range s.events[start:] {
		if inRange(string(event.GetKv().GetKey()), current.key, current.end) {
			reply.Events = append(reply.Events, event)
		}
	}
	current.nextRevision = s.revision + 1
	if len(reply.GetEvents()) == 0 {
		return nil, s.changed
	}
	return reply, s.changed
}
