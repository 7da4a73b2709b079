package reach_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/reach"
)

// network answers attempts to connect by address.
type network struct {
	mu    sync.Mutex
	dials int
	state map[string]error
}

var errHang = errors.New("hang")

func (n *network) set(state error, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == nil {
		n.state = make(map[string]error)
	}
	for _, address := range addresses {
		n.state[address] = state
	}
}

func (n *network) dialed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	state := n.state[address]
	n.mu.Unlock()
	if errors.Is(state, errHang) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	if state != nil {
		return nil, state
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// addresses are two services with eight servers and two servers.
func targets() (all []reach.Target, addresses []string) {
	for _, address := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"} {
		all, addresses = append(all, reach.Target{Address: address, Service: "a"}), append(addresses, address)
	}
	for _, address := range []string{"b1", "b2"} {
		all, addresses = append(all, reach.Target{Address: address, Service: "b"}), append(addresses, address)
	}
	return all, addresses
}

// runMonitor runs test with a monitor in a bubble of simulated time.
func runMonitor(t *testing.T, test func(t *testing.T, m *reach.Monitor, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		all, _ := targets()
		m := &reach.Monitor{Dial: n.dial, Logger: slog.New(slog.DiscardHandler), Targets: func() []reach.Target { return all }}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return m.Run(ctx) })
		test(t, m, n)
		cancel()
		is.New(t).NoErr(group.Wait())
	})
}

func TestHostThatReachesNoServerIsIsolatedUntilItDoes(t *testing.T) {
	for name, fault := range map[string]error{"hang": errHang, "refused": syscall.ECONNREFUSED, "reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			runMonitor(t, func(t *testing.T, m *reach.Monitor, n *network) {
				t.Helper()
				is := is.New(t)
				_, addresses := targets()
				n.set(fault, addresses...)
				m.Suspect("a1", reach.ReasonSilent)
				time.Sleep(time.Second)
				is.True(m.Isolated())
				time.Sleep(20 * time.Second)
				is.True(m.Isolated())
				is.True(!m.Returning())
				n.set(nil, addresses...)
				time.Sleep(400 * time.Millisecond)
				is.True(m.Isolated() == m.Returning()) // one probe has succeeded, or two
				time.Sleep(600 * time.Millisecond)
				is.True(!m.Isolated())
				is.True(!m.Returning())
			})
		})
	}
}

// TestServersInTroubleDoNotIsolateHost has all servers of one service and all but one of the
// other fail.
func TestServersInTroubleDoNotIsolateHost(t *testing.T) {
	for range 20 {
		runMonitor(t, func(t *testing.T, m *reach.Monitor, n *network) {
			t.Helper()
			_, addresses := targets()
			n.set(errHang, addresses[:8]...)
			for range 10 {
				m.Suspect("a1", reach.ReasonConnect)
				time.Sleep(time.Second)
				is.New(t).True(!m.Isolated())
			}
		})
	}
}

func TestSuspicionThatClearsUpCausesNoProbe(t *testing.T) {
	runMonitor(t, func(t *testing.T, m *reach.Monitor, n *network) {
		t.Helper()
		is := is.New(t)
		m.Suspect("a1", reach.ReasonSilent)
		time.Sleep(10 * time.Millisecond)
		m.Heard()
		time.Sleep(time.Second)
		is.Equal(n.dialed(), 0)
		// Bytes on an open connection say nothing about new connections.
		m.Suspect("a1", reach.ReasonConnect)
		time.Sleep(10 * time.Millisecond)
		m.Heard()
		time.Sleep(time.Second)
		is.Equal(n.dialed(), 1)
		is.True(!m.Isolated())
	})
}

func TestLinkThatComesAndGoesDoesNotEndIsolation(t *testing.T) {
	runMonitor(t, func(t *testing.T, m *reach.Monitor, n *network) {
		t.Helper()
		is := is.New(t)
		_, addresses := targets()
		n.set(errHang, addresses...)
		m.Suspect("a1", reach.ReasonLost)
		time.Sleep(time.Second)
		changed := m.Changed()
		for range 10 {
			n.set(nil, addresses...)
			time.Sleep(250 * time.Millisecond)
			n.set(errHang, addresses...)
			time.Sleep(700 * time.Millisecond)
		}
		select {
		case <-changed:
			t.Fatal("the verdict changed")
		default:
		}
		is.True(m.Isolated())
	})
}

func TestConnectionThatHangsEndsOnceHostIsIsolated(t *testing.T) {
	runMonitor(t, func(t *testing.T, m *reach.Monitor, n *network) {
		t.Helper()
		is := is.New(t)
		_, addresses := targets()
		n.set(errHang, addresses...)
		began := time.Now()
		ctx, done := m.Connecting(t.Context(), "a1")
		_, err := n.dial(ctx, "tcp", "a1")
		done(err)
		is.True(errors.Is(err, context.Canceled))
		is.True(time.Since(began) < 600*time.Millisecond)
		is.True(m.Isolated())
	})
}

func TestReachesAnyIgnoresTheExceptedServer(t *testing.T) {
	runMonitor(t, func(t *testing.T, m *reach.Monitor, n *network) {
		t.Helper()
		is := is.New(t)
		_, addresses := targets()
		n.set(syscall.ECONNREFUSED, addresses[:8]...)
		is.True(m.ReachesAny(t.Context(), "b1"))
		n.set(syscall.ECONNREFUSED, "b2")
		is.True(!m.ReachesAny(t.Context(), "b1"))
	})
}

func TestNilMonitorIsNeverIsolated(t *testing.T) {
	is := is.New(t)
	var m *reach.Monitor
	m.Heard()
	m.Suspect("a1", reach.ReasonSilent)
	is.True(!m.Isolated())
	is.True(m.ReachesAny(t.Context(), "a1"))
	is.Equal(m.Changed(), nil)
}
