package etcd

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Method names a kind of call.
type Method string

// The kinds of calls. An open watch counts as one call, however long it lasts.
const (
	MethodKeepAlive   Method = "keep-alive"
	MethodLeaseGrant  Method = "lease-grant"
	MethodLeaseRevoke Method = "lease-revoke"
	MethodRange       Method = "range"
	MethodTxn         Method = "txn"
	MethodWatch       Method = "watch"
)

// Fault describes how the calls of a method fail.
type Fault struct {
	// Delay is added before the call takes effect.
	Delay time.Duration
	// Hang blocks the call, without effect, until its context ends.
	Hang bool
	// LoseReply lets the call take effect and then returns an error.
	LoseReply bool
	// Probability is the fraction of the calls that are affected; zero means all.
	Probability float64
	// Refuse returns an error before the call takes effect.
	Refuse bool
}

// faults holds the fault of each method.
type faults struct {
	mu       sync.Mutex
	byMethod map[Method]Fault
	random   *rand.Rand
}

// SetFault sets the fault of a method; the zero Fault clears it.
func (s *Server) SetFault(method Method, fault Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.byMethod == nil {
		s.faults.byMethod = make(map[Method]Fault)
	}
	s.faults.byMethod[method] = fault
}

func (f *faults) seed(seed uint64) {
	f.random = rand.New(rand.NewPCG(seed, seed))
}

// pick returns the fault that affects the next call of method.
func (f *faults) pick(method Method) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.byMethod[method]
	if fault.Probability > 0 && f.random.Float64() >= fault.Probability {
		return Fault{}
	}
	return fault
}

// withFault counts a call of method and runs effect under the fault that is set for
// the method.
func withFault[T any](ctx context.Context, s *Server, method Method, effect func() (T, error)) (T, error) {
	var zero T
	s.calls.add(method, time.Now())
	fault := s.faults.pick(method)
	if fault.Refuse {
		return zero, status.Error(codes.ResourceExhausted, "refused by the stand-in")
	}
	if fault.Hang {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	if fault.Delay > 0 {
		select {
		case <-ctx.Done():
			return zero, ctx.Err()
		case <-time.After(fault.Delay):
		}
	}
	reply, err := effect()
	if err == nil && fault.LoseReply {
		return zero, status.Error(codes.Unavailable, "the stand-in lost the reply")
	}
	return reply, err
}

// callCounter counts calls by method and by second.
type callCounter struct {
	mu       sync.Mutex
	byMethod map[Method]int64
	bySecond map[int64]int64
}

func (c *callCounter) add(method Method, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byMethod == nil {
		c.byMethod = make(map[Method]int64)
		c.bySecond = make(map[int64]int64)
	}
	c.byMethod[method]++
	c.bySecond[now.Unix()]++
}

// Calls returns the number of calls so far by method.
func (s *Server) Calls() map[Method]int64 {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	calls := make(map[Method]int64, len(s.calls.byMethod))
	for method, n := range s.calls.byMethod {
		calls[method] = n
	}
	return calls
}

// PeakPerSecond returns the largest number of calls in one second of the wall
// clock at or after since.
func (s *Server) PeakPerSecond(since time.Time) int64 {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	var peak int64
	for second, n := range s.calls.bySecond {
		if second >= since.Unix() {
			peak = max(peak, n)
		}
	}
	return peak
}

// faultListener is a listener that can be taken down. While it is down, it closes its
// open connections and each new one at once.
type faultListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	down  bool
}

// Accept returns the next connection while the listener is up.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.add(conn) {
			return &trackedConn{Conn: conn, listener: l}, nil
		}
		_ = conn.Close()
	}
}

func (l *faultListener) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	if l.conns == nil {
		l.conns = make(map[net.Conn]struct{})
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *faultListener) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if !down {
		return
	}
	for conn := range l.conns {
		_ = conn.Close()
		delete(l.conns, conn)
	}
}

// trackedConn is a connection that removes itself from the listener when it is closed.
type trackedConn struct {
	net.Conn

	listener *faultListener
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// ExpireLeases expires every lease with a TTL of at most maxTTL. It has the same effect
// on the leases as a pause of all their holders for maxTTL, which leases with a longer
// TTL survive.
func (s *Server) ExpireLeases(maxTTL time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Duration(l.ttl)*time.Second <= maxTTL {
			s.deleteLease(id)
		}
	}
}
