// Package reach detects when this host has lost its links to all backend servers, while
// callers, other hosts and the store may still reach it.
package reach

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/base/probe"
	"github.com/nutmegway/nutmegway/internal/base/wait"
)

const (
	// slowConnect is how long a connection to a server may take before the links are
	// suspected. Hosts and servers are a few milliseconds apart.
	slowConnect = 100 * time.Millisecond
	// settleDelay is the time from a suspicion to the probes. Most suspicions are cleared
	// within it by other connections, without any probe.
	settleDelay = 100 * time.Millisecond
	// retryInterval is the time between two probes of a host that has lost its links.
	retryInterval = 250 * time.Millisecond
	// returnProbes is the number of consecutive successful probes after which the links
	// count as restored, so that a link that comes and goes doesn't change the verdict.
	returnProbes = 2
)

// Monitor decides whether this host is isolated, which means that it can open connections to
// no backend server. A suspicion comes from the connections that requests use; only probes of
// several servers confirm it. The exported fields are set before Run. A nil Monitor observes
// nothing and is never isolated.
type Monitor struct {
	// Dial opens a connection to a server.
	Dial   probe.Dial
	Logger *slog.Logger
	// OnChange, if not nil, is called after each change of the verdict.
	OnChange func(isolated bool)
	// Targets returns the servers that may be probed.
	Targets func() []Target

	once       sync.Once
	began      time.Time
	suspicions chan suspicion
	// heardAt and connectedAt are when bytes of a server last arrived and when a connection
	// to one was last opened, as durations since began.
	heardAt, connectedAt atomic.Int64

	mu       sync.Mutex
	changed  chan struct{}
	isolated bool
	// returning is set while the host is isolated and the latest probe has succeeded.
	returning bool
	since     time.Time
}

// suspicion is an observation that may mean that the links to the servers are lost.
type suspicion struct {
	at     time.Duration
	reason Reason
	server string
}

// Reason is what made a host suspect its links.
type Reason string

// The reasons.
const (
	// ReasonConnect means that a connection failed or takes too long.
	ReasonConnect Reason = "connect"
	// ReasonLost means that the kernel gave up an open connection.
	ReasonLost Reason = "lost"
	// ReasonSilent means that a server has not answered a request in the usual time.
	ReasonSilent Reason = "silent"
)

func (m *Monitor) init() {
	m.once.Do(func() {
		m.began = time.Now()
		m.suspicions = make(chan suspicion, 1)
		_, err := otel.Meter("nutmegway/reach").Int64ObservableGauge("nutmegway.reach.isolated",
			metric.WithDescription("1 while this host can open connections to no backend server, otherwise 0."),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				value := int64(0)
				if m.Isolated() {
					value = 1
				}
				o.Observe(value)
				return nil
			}))
		if err != nil {
			m.Logger.Error("cannot create metric", slog.Any("error", err))
		}
	})
}

// Isolated reports whether this host can open connections to no backend server.
func (m *Monitor) Isolated() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// Returning reports whether this host counts as isolated although a server was reached by the
// latest probe.
func (m *Monitor) Returning() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.returning
}

// Changed returns a channel that is closed when the verdict next changes. It is nil for a nil
// Monitor.
func (m *Monitor) Changed() <-chan struct{} {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// Heard records that bytes of a server have arrived.
func (m *Monitor) Heard() {
	if m != nil {
		m.init()
		m.heardAt.Store(int64(time.Since(m.began)))
	}
}

// Suspect records an observation that may mean that the links are lost. It never blocks. The
// server at the address is probed last.
func (m *Monitor) Suspect(server string, reason Reason) {
	if m == nil {
		return
	}
	m.init()
	select {
	case m.suspicions <- suspicion{at: time.Since(m.began), reason: reason, server: server}:
	default: // Another suspicion is waiting.
	}
}

// Connecting records that a connection to a server is being opened. The returned context also
// ends when this host becomes isolated. done must be called with the outcome.
func (m *Monitor) Connecting(ctx context.Context, server string) (connectCtx context.Context, done func(error)) {
	if m == nil {
		return ctx, func(error) {}
	}
	m.init()
	changed := m.Changed()
	connectCtx, cancel := context.WithCancel(ctx)
	slow := time.AfterFunc(slowConnect, func() {
		m.Suspect(server, ReasonConnect)
		select {
		case <-changed:
			if m.Isolated() {
				cancel()
			}
		case <-connectCtx.Done():
		}
	})
	return connectCtx, func(err error) {
		slow.Stop()
		cancel()
		switch {
		case err == nil:
			m.connected()
		case ctx.Err() == nil:
			m.Suspect(server, ReasonConnect)
		}
	}
}

func (m *Monitor) connected() { m.connectedAt.Store(int64(time.Since(m.began))) }

// ReachesAny reports whether a connection can be opened now to a server other than the one at
// the address. It is true if no other server is known.
func (m *Monitor) ReachesAny(ctx context.Context, except string) bool {
	if m == nil {
		return true
	}
	m.init()
	var others []Target
	for _, target := range m.Targets() {
		if target.Address != except {
			others = append(others, target)
		}
	}
	return m.probe(ctx, others, "").reached
}

// Run examines suspicions until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	m.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-m.suspicions:
			m.examine(ctx, s)
		}
	}
}

// examine probes servers unless the suspicion clears up. If none is reached, the host is
// isolated until probes succeed again.
func (m *Monitor) examine(ctx context.Context, s suspicion) {
	if !wait.For(ctx, settleDelay) || m.cleared(s) {
		return
	}
	result := m.probe(ctx, m.Targets(), s.server)
	for result.inconclusive && ctx.Err() == nil {
		result = m.probe(ctx, m.Targets(), s.server)
	}
	if result.reached || ctx.Err() != nil {
		return
	}
	m.Logger.LogAttrs(ctx, slog.LevelWarn, "no backend server can be reached", slog.String("reason", string(s.reason)),
		slog.String("server", s.server), slog.Int("probed", result.probed), slog.Int("refused", result.refused),
		slog.Duration("last-heard", m.age(&m.heardAt)), slog.Duration("last-connected", m.age(&m.connectedAt)))
	m.set(true)
	for succeeded := 0; succeeded < returnProbes && wait.For(ctx, retryInterval); {
		result := m.probe(ctx, m.Targets(), "")
		reached := result.reached && result.probed > 0
		m.setReturning(reached)
		if reached {
			succeeded++
			continue
		}
		succeeded = 0
	}
	if ctx.Err() != nil {
		return
	}
	lasted := m.set(false)
	m.Logger.LogAttrs(ctx, slog.LevelWarn, "backend servers can be reached again", slog.Duration("after", lasted))
}

// cleared reports whether a server has shown since the suspicion that it is reached. A
// connection that is open already may live on while new ones fail, so bytes on it don't
// clear a suspicion about new connections.
func (m *Monitor) cleared(s suspicion) bool {
	if time.Duration(m.connectedAt.Load()) > s.at {
		return true
	}
	return s.reason != ReasonConnect && time.Duration(m.heardAt.Load()) > s.at
}

func (m *Monitor) age(at *atomic.Int64) time.Duration {
	return time.Since(m.began) - time.Duration(at.Load())
}

func (m *Monitor) setReturning(returning bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.returning = returning
}

// set changes the verdict and returns how long the one before lasted.
func (m *Monitor) set(isolated bool) (lasted time.Duration) {
	m.mu.Lock()
	lasted = time.Since(m.since)
	m.isolated, m.returning, m.since = isolated, false, time.Now()
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	m.mu.Unlock()
	if m.OnChange != nil {
		m.OnChange(isolated)
	}
	return lasted
}
