// Package etcd provides a kv.Store that calls an etcd service over the v3 API.
package etcd

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/etcd/etcdserverpb"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

var classError = errs.Class("etcd")

var _ kv.Store = (*Store)(nil)

const (
	// DefaultCallTimeout bounds a call if its Store sets no timeout.
	DefaultCallTimeout = 2 * time.Second
	// DefaultProgressInterval is the interval of a watch's progress requests if
	// its Store sets none.
	DefaultProgressInterval = 10 * time.Second

	connectBaseDelay  = 100 * time.Millisecond
	connectJitter     = 0.2
	connectMaxDelay   = 2 * time.Second
	connectMultiplier = 1.6
	connectTimeout    = time.Second
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
)

// Store is a client of the service. The fields are set before the first call.
type Store struct {
	// CallTimeout bounds each attempt of a call at an endpoint. Zero means
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// Credentials secure the connections. With nil, connections are plain text.
	Credentials credentials.TransportCredentials
	// Endpoints are the IP addresses and ports of the service's members. A
	// failed call is sent to the next one if that cannot repeat a write.
	Endpoints []string
	// ProgressInterval is the interval at which a watch requests a progress
	// notification. A watch ends with an error if it receives no message for two
	// to three intervals. Zero means DefaultProgressInterval.
	ProgressInterval time.Duration

	mu        sync.Mutex
	closed    bool
	conns     []*grpc.ClientConn
	preferred int
}

// Close closes the connections. Later calls fail.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	var group errs.Group
	for _, conn := range s.conns {
		group.Add(conn.Close())
	}
	s.conns = nil
	return group.Err()
}

// connections returns the connections, one for each endpoint, and the index of the
// one that a call tries first.
func (s *Store) connections() ([]*grpc.ClientConn, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.Endpoints) == 0 {
		return nil, 0, classError.New("the client is closed or has no endpoints (%d configured)", len(s.Endpoints))
	}
	if s.conns == nil {
		for _, endpoint := range s.Endpoints {
			conn, err := grpc.NewClient("passthrough:///"+endpoint, s.dialOptions()...)
			if err != nil {
				return nil, 0, classError.Wrap(err)
			}
			s.conns = append(s.conns, conn)
		}
	}
	return s.conns, s.preferred, nil
}

func (s *Store) setPreferred(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preferred = index
}

func (s *Store) callTimeout() time.Duration {
	if s.CallTimeout > 0 {
		return s.CallTimeout
	}
	return DefaultCallTimeout
}

func (s *Store) progressInterval() time.Duration {
	if s.ProgressInterval > 0 {
		return s.ProgressInterval
	}
	return DefaultProgressInterval
}

func (s *Store) dialOptions() []grpc.DialOption {
	transport := s.Credentials
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	return []grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  connectBaseDelay,
				Jitter:     connectJitter,
				MaxDelay:   connectMaxDelay,
				Multiplier: connectMultiplier,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(math.MaxInt32)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			PermitWithoutStream: false,
			Time:                keepaliveInterval,
			Timeout:             keepaliveTimeout,
		}),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler()),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithTransportCredentials(transport),
	}
}

// do runs call against the endpoints in turn, beginning with the one that last
// answered. A write goes to another endpoint only if it certainly had no effect.
func (s *Store) do(ctx context.Context, write bool, call func(context.Context, *grpc.ClientConn) error) error {
	conns, first, err := s.connections()
	if err != nil {
		return kind.Wrap(kind.StoreUnavailable, err)
	}
	for i := range conns {
		index := (first + i) % len(conns)
		if err = s.attempt(ctx, write, conns[index], call); err == nil {
			s.setPreferred(index)
			return nil
		}
		if ctx.Err() != nil || !canTryNextEndpoint(err, write) {
			return err
		}
	}
	return err
}

func (s *Store) attempt(ctx context.Context, write bool, conn *grpc.ClientConn, call func(context.Context, *grpc.ClientConn) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	ctx, trace := withTrace(ctx)
	if err := call(ctx, conn); err != nil {
		return classify(err, write, trace.sent.Load())
	}
	return nil
}

// Get returns the entry of key; ModRevision is zero when there is none.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	var reply *etcdserverpb.RangeResponse
	err := s.do(ctx, false, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		reply, err = etcdserverpb.NewKVClient(conn).Range(ctx, &etcdserverpb.RangeRequest{Key: []byte(key)})
		return err
	})
	if err != nil {
		return kv.Entry{}, err
	}
	if len(reply.GetKvs()) == 0 {
		return kv.Entry{Key: key}, nil
	}
	return entryFromPB(reply.GetKvs()[0]), nil
}

// List returns the entries below prefix, sorted by key, and the store's
// revision.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	var reply *etcdserverpb.RangeResponse
	request := &etcdserverpb.RangeRequest{Key: rangeStart(prefix), RangeEnd: rangeEnd(prefix)}
	err := s.do(ctx, false, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		reply, err = etcdserverpb.NewKVClient(conn).Range(ctx, request)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	entries := make([]kv.Entry, len(reply.GetKvs()))
	for i, pair := range reply.GetKvs() {
		entries[i] = entryFromPB(pair)
	}
	return entries, reply.GetHeader().GetRevision(), nil
}

// Commit applies the writes of txn if all of its conditions hold.
func (s *Store) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	var reply *etcdserverpb.TxnResponse
	request := txnToPB(txn)
	err := s.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		reply, err = etcdserverpb.NewKVClient(conn).Txn(ctx, request)
		return err
	})
	if err != nil {
		return kv.TxnResult{}, err
	}
	return txnResultFromPB(txn, reply), nil
}

// GrantLease returns a new lease. The service takes whole seconds, so ttl is
// rounded up.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var reply *etcdserverpb.LeaseGrantResponse
	request := &etcdserverpb.LeaseGrantRequest{TTL: int64(math.Ceil(ttl.Seconds()))}
	err := s.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		reply, err = etcdserverpb.NewLeaseClient(conn).LeaseGrant(ctx, request)
		return err
	})
	if err != nil {
		return 0, err
	}
	return kv.LeaseID(reply.GetID()), nil
}

// RevokeLease ends the lease and deletes the keys bound to it. It returns nil if
// the lease has already ended.
func (s *Store) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	request := &etcdserverpb.LeaseRevokeRequest{ID: int64(id)}
	err := s.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) error {
		_, err := etcdserverpb.NewLeaseClient(conn).LeaseRevoke(ctx, request)
		return err
	})
	if kind.Is(err, kind.NotFound) {
		return nil
	}
	return err
}

// KeepAlive extends the lease and returns its remaining time to live; zero
// means that the lease has ended.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	var reply *etcdserverpb.LeaseKeepAliveResponse
	err := s.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stream, err := etcdserverpb.NewLeaseClient(conn).LeaseKeepAlive(ctx)
		if err != nil {
			return err
		}
		if err := stream.Send(&etcdserverpb.LeaseKeepAliveRequest{ID: int64(id)}); err != nil {
			// Send returns io.EOF; the cause is in the status that Recv returns.
			_, err = stream.Recv()
			return err
		}
		reply, err = stream.Recv()
		return err
	})
	if err != nil {
		return 0, err
	}
	return time.Duration(reply.GetTTL()) * time.Second, nil
}
