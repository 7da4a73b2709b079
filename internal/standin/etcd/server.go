// Package etcd implements a small stand-in for an etcd service. It keeps its data in
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
	defaultHistoryEvents = 50_000
	expiryInterval       = 50 * time.Millisecond
	minKeepaliveInterval = time.Second
)

// Server is a stand-in for an etcd server. Its exported fields must be set before
// Listen.
type Server struct {
	// ListenAddress is the IP address and port; empty means a free port on
	// loopback.
	ListenAddress string
	// History is the number of events retained for watches; older ones are
	// compacted. Zero means 50,000.
	History int
	// Seed seeds the random choice of calls that a Fault with a Probability affects, so
	// that the choice can be repeated.
	Seed uint64

	listener *faultListener
	calls    callCounter
	faults   faults

	mu                sync.Mutex
	changed           chan struct{}
	compactedRevision int64
	events            []*mvccpb.Event
	keys              map[string]*mvccpb.KeyValue
	leases            map[int64]*lease
	nextLeaseID       int64
	revision          int64
}

// lease is a lease and the keys attached to it.
type lease struct {
	expires time.Time
	keys    map[string]struct{}
	ttl     int64
}

// Listen opens the listener and initializes the data.
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
	s.nextLeaseID = 1
	s.revision = 1
	s.faults.seed(s.Seed)
	if s.History == 0 {
		s.History = defaultHistoryEvents
	}
	return nil
}

// Address returns the IP address and port that Listen has opened.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	server := grpc.NewServer(
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
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
	group.Go(func() error { return s.runExpiry(ctx) })
	return group.Wait()
}

// SetDown closes all connections and refuses new ones until it is called with
// false. The data is kept.
func (s *Server) SetDown(down bool) { s.listener.setDown(down) }

// Keys returns the number of keys and the total size of their values in bytes.
func (s *Server) Keys() (count int, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range s.keys {
		size += int64(len(pair.GetValue()))
	}
	return len(s.keys), size
}

// Compact discards the events up to and including revision.
func (s *Server) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.events) > 0 && s.events[0].GetKv().GetModRevision() <= revision {
		s.events = s.events[1:]
	}
	s.compactedRevision = max(s.compactedRevision, revision)
}

// ExpireLease ends a lease as if its TTL had elapsed.
func (s *Server) ExpireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLease(id)
}

func (s *Server) runExpiry(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.expireDueLeases(now)
		}
	}
}

func (s *Server) expireDueLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.deleteLease(id)
		}
	}
}

// deleteLease deletes the lease and its keys in one revision. s.mu must be held.
func (s *Server) deleteLease(id int64) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	revision := s.revision + 1
	for key := range l.keys {
		s.remove(key, revision)
	}
	s.commitRevision(revision)
}

// commitRevision makes revision the current one if events were recorded for it,
// notifies the watches and compacts the history. s.mu must be held.
func (s *Server) commitRevision(revision int64) {
	last := len(s.events) - 1
	if last < 0 || s.events[last].GetKv().GetModRevision() != revision {
		return
	}
	s.revision = revision
	if excess := len(s.events) - s.History; excess > 0 {
		s.compactedRevision = s.events[excess-1].GetKv().GetModRevision()
		for excess < len(s.events) && s.events[excess].GetKv().GetModRevision() == s.compactedRevision {
			excess++
		}
		s.events = append([]*mvccpb.Event(nil), s.events[excess:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes key at revision. s.mu must be held.
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

// put sets a key at revision. s.mu must be held.
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
