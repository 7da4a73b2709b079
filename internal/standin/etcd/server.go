// Package etcd is a small stand-in for an etcd service. It keeps its data in
// memory, speaks the v3 wire format, injects faults and counts calls.
package etcd

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/nutmegway/nutmegway/internal/external/etcd/etcdserverpb"
	"github.com/nutmegway/nutmegway/internal/external/etcd/mvccpb"
)

const (
	defaultHistory = 50_000
	expireEvery    = 50 * time.Millisecond
	minPingTime    = time.Second
)

// Server is the stand-in. The fields are set before Listen.
type Server struct {
	// ListenAddress is the IP address and port; empty means a free port on
	// loopback.
	ListenAddress string
	// History is the number of events kept for watches; older ones are
	// compacted. Zero means 50,000.
	History int
	// Seed makes the faults with a probability repeatable.
	Seed uint64

	listener *faultListener
	calls    counter
	faults   faults

	mu        sync.Mutex
	changed   chan struct{}
	compacted int64
	events    []*mvccpb.Event
	keys      map[string]*mvccpb.KeyValue
	leases    map[int64]*lease
	nextLease int64
	revision  int64
}

// lease is a lease with the keys bound to it.
type lease struct {
	expires time.Time
	keys    map[string]struct{}
	ttl     int64
}

// Listen opens the listener.
func (s *Server) Listen() error {
	address := s.ListenAddress
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	s.listener = &faultListener{Listener: listener}
	s.changed = make(chan struct{})
	s.keys = make(map[string]*mvccpb.KeyValue)
	s.leases = make(map[int64]*lease)
	s.nextLease = 1
	s.revision = 1
	s.faults.seed(s.Seed)
	if s.History == 0 {
		s.History = defaultHistory
	}
	return nil
}

// Address returns the IP address and port, which Listen has opened.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	server := grpc.NewServer(
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingTime, PermitWithoutStream: true}),
	)
	etcdserverpb.RegisterKVServer(server, &keyValue{server: s})
	etcdserverpb.RegisterLeaseServer(server, &leaseServer{server: s})
	etcdserverpb.RegisterWatchServer(server, &watchServer{server: s})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(s.listener) })
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		return nil
	})
	group.Go(func() error { return s.expire(ctx) })
	return group.Wait()
}

// SetDown closes all connections and refuses new ones until it is called with
// false. The data stays.
func (s *Server) SetDown(down bool) { s.listener.setDown(down) }

// Keys returns the number of keys and the sum of the sizes of their values in
// bytes.
func (s *Server) Keys() (count int, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range s.keys {
		size += int64(len(pair.GetValue()))
	}
	return len(s.keys), size
}

// Compact forgets the events up to revision.
func (s *Server) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.events) > 0 && s.events[0].GetKv().GetModRevision() <= revision {
		s.events = s.events[1:]
	}
	s.compacted = max(s.compacted, revision)
}

// EndLease ends a lease as if its time had passed.
func (s *Server) EndLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

func (s *Server) expire(ctx context.Context) error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.expireAt(now)
		}
	}
}

func (s *Server) expireAt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease deletes the lease and its keys in one revision. The lock is held.
func (s *Server) endLease(id int64) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	revision := s.revision + 1
	for key := range l.keys {
		s.remove(key, revision)
	}
	s.advance(revision)
}

// advance makes revision the store's if events were recorded for it, wakes the
// watches and trims the history. The lock is held.
func (s *Server) advance(revision int64) {
	last := len(s.events) - 1
	if last < 0 || s.events[last].GetKv().GetModRevision() != revision {
		return
	}
	s.revision = revision
	if over := len(s.events) - s.History; over > 0 {
		s.compacted = s.events[over-1].GetKv().GetModRevision()
		for over < len(s.events) && s.events[over].GetKv().GetModRevision() == s.compacted {
			over++
		}
		s.events = append([]*mvccpb.Event(nil), s.events[over:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes key at revision. The lock is held.
func (s *Server) remove(key string, revision int64) {
	pair, ok := s.keys[key]
	if !ok {
		return
	}
	delete(s.keys, key)
	if l, ok := s.leases[pair.GetLease()]; ok {
		delete(l.keys, key)
	}
	s.events = append(s.events, &mvccpb.Event{
		Kv:   &mvccpb.KeyValue{Key: []byte(key), ModRevision: revision},
		Type: mvccpb.Event_DELETE,
	})
}

// put sets a key at revision. The lock is held.
func (s *Server) put(request *etcdserverpb.PutRequest, revision int64) {
	key := string(request.GetKey())
	pair := &mvccpb.KeyValue{
		CreateRevision: revision,
		Key:            request.GetKey(),
		Lease:          request.GetLease(),
		ModRevision:    revision,
		Value:          request.GetValue(),
		Version:        1,
	}
	if old, ok := s.keys[key]; ok {
		pair.CreateRevision = old.GetCreateRevision()
		pair.Version = old.GetVersion() + 1
		if l, ok := s.leases[old.GetLease()]; ok {
			delete(l.keys, key)
		}
	}
	if l, ok := s.leases[request.GetLease()]; ok {
		l.keys[key] = struct{}{}
	}
	s.keys[key] = pair
	s.events = append(s.events, &mvccpb.Event{Kv: pair, Type: mvccpb.Event_PUT})
}

func (s *Server) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: s.revision}
}
