package member

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/datagram"
	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

var classError = errs.Class("member")

const (
	// datagramOverhead is the size in bytes of the IP and UDP headers and of what
	// sealing adds to a datagram.
	datagramOverhead = 28 + datagram.Overhead
	// maxDatagram is the largest message that is read, in bytes.
	maxDatagram = 8192
	tickPeriod  = 100 * time.Millisecond
)

var _ View = (*Agent)(nil)

// Agent runs a Detector over UDP. Exported fields are set before Run.
type Agent struct {
	Config Config
	// Conn is the socket bound to the node's peer address. Run closes it.
	Conn net.PacketConn
	// Logger receives a record for each change of a node's state.
	Logger *slog.Logger
	// Node is this node. A zero Incarnation is replaced by the current Unix time
	// in milliseconds.
	Node Node

	bytesReceived  atomic.Int64
	bytesSent      atomic.Int64
	mu             sync.Mutex
	detector       *Detector
	leaveRequested chan struct{}
	leaveOnce      sync.Once
	peers          []Node
	// states contains the last logged state of each node.
	states map[string]State
	// view caches the detector's Nodes for readers of View.
	view []Node
}

// Traffic counts the bytes of an agent's datagrams, IP and UDP headers included.
type Traffic struct{ Received, Sent int64 }

// Init prepares the agent, so that its methods can be called before Run. Run
// also calls it. Only the first call has an effect.
func (a *Agent) Init() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detector != nil {
		return
	}
	now := time.Now()
	if a.Node.Incarnation == 0 {
		a.Node.Incarnation = uint64(now.UnixMilli())
	}
	if a.Config == (Config{}) {
		a.Config = DefaultConfig()
	}
	a.states = make(map[string]State)
	a.leaveRequested = make(chan struct{})
	seed := xxh3.HashString(a.Node.ID)
	a.detector = &Detector{Config: a.Config, Random: rand.New(rand.NewPCG(seed, a.Node.Incarnation)), Self: a.Node}
	a.detector.Start(now)
	a.view, a.peers = a.detector.Nodes(), a.detector.Peers()
}

// Run probes peers and answers their messages until ctx ends. A leaving node
// then notifies a few peers that it is gone.
func (a *Agent) Run(ctx context.Context) error {
	a.Init()
	if err := a.registerMetrics(); err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.receive(groupCtx) })
	group.Go(func() error { return a.tick(groupCtx) })
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

// SetHosts updates the known nodes from the entry hosts of the host list.
func (a *Agent) SetHosts(hosts []hostlist.Host) {
	a.Init()
	a.mu.Lock()
	leaving := a.detector.SetHosts(time.Now(), hosts)
	a.refresh()
	a.mu.Unlock()
	if leaving {
		a.leaveOnce.Do(func() { close(a.leaveRequested) })
	}
}

// Leave announces that this node accepts no new work.
func (a *Agent) Leave() {
	a.Init()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detector.Leave()
	a.refresh()
}

// LeaveRequested returns a channel that is closed when the host list shows this node
// as leaving.
func (a *Agent) LeaveRequested() <-chan struct{} {
	a.Init()
	return a.leaveRequested
}

// Nodes implements View.
func (a *Agent) Nodes() []Node {
	a.Init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// Records returns the records of the other nodes, sorted by ID.
func (a *Agent) Records() []Record {
	a.Init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.Records()
}

// Self implements View.
func (a *Agent) Self() Node {
	a.Init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.Self
}

// Traffic returns the bytes sent and received so far.
func (a *Agent) Traffic() Traffic {
	return Traffic{Received: a.bytesReceived.Load(), Sent: a.bytesSent.Load()}
}

func (a *Agent) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := a.Conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case errors.Is(err, net.ErrClosed):
			return classError.Wrap(err)
		case err != nil:
			a.Logger.Warn("datagram could not be read", slog.String("error", err.Error()))
			continue
		}
		a.bytesReceived.Add(int64(n + datagramOverhead))
		message := &memberpb.Message{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			a.Logger.Warn("datagram could not be decoded", slog.String("error", err.Error()), slog.String("from", from.String()))
			continue
		}
		a.mu.Lock()
		out := a.detector.Receive(time.Now(), from.String(), message)
		a.refresh()
		a.mu.Unlock()
		a.send(out)
	}
}

func (a *Agent) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.mu.Lock()
			out := a.detector.DepartureNotices()
			a.mu.Unlock()
			a.send(out)
			return classError.Wrap(a.Conn.Close())
		case <-ticker.C:
			a.mu.Lock()
			out := a.detector.Tick(time.Now())
			a.refresh()
			a.mu.Unlock()
			a.send(out)
		}
	}
}

// refresh updates the cached nodes and peers and logs state changes. The caller
// holds a.mu.
func (a *Agent) refresh() {
	if !a.detector.TakeChanged() {
		return
	}
	a.view, a.peers = a.detector.Nodes(), a.detector.Peers()
	for _, r := range a.detector.Records() {
		if a.states[r.Node.ID] != r.State {
			a.states[r.Node.ID] = r.State
			a.Logger.Info("node changed state", slog.String("node", r.Node.ID), slog.String("state", string(r.State)), slog.Bool("leaving", r.Leaving))
		}
	}
}

func (a *Agent) send(datagrams []Datagram) {
	for _, datagram := range datagrams {
		address, err := net.ResolveUDPAddr("udp", datagram.To)
		if err != nil {
			a.Logger.Warn("peer address could not be resolved", slog.String("address", datagram.To), slog.String("error", err.Error()))
			continue
		}
		data, err := proto.Marshal(datagram.Message)
		if err != nil {
			a.Logger.Error("datagram could not be encoded", slog.String("error", err.Error()))
			continue
		}
		a.bytesSent.Add(int64(len(data) + datagramOverhead))
		if _, err := a.Conn.WriteTo(data, address); err != nil {
			a.Logger.Debug("datagram could not be sent", slog.String("error", err.Error()), slog.String("to", datagram.To))
		}
	}
}

func (a *Agent) registerMetrics() error {
	meter := otel.Meter("nutmegway/member")
	nodes, err := meter.Int64ObservableGauge("nutmegway.member.nodes", metric.WithDescription("Entry hosts by state."))
	if err != nil {
		return classError.Wrap(err)
	}
	traffic, err := meter.Int64ObservableCounter("nutmegway.member.bytes", metric.WithDescription("Bytes of membership datagrams by direction."), metric.WithUnit("By"))
	if err != nil {
		return classError.Wrap(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		counts := map[State]int64{StateAlive: 1}
		for _, r := range a.Records() {
			counts[r.State]++
		}
		for _, state := range []State{StateAlive, StateGone, StateSuspect, StateUnreachable} {
			observer.ObserveInt64(nodes, counts[state], metric.WithAttributes(attribute.String("state", string(state))))
		}
		bytes := a.Traffic()
		observer.ObserveInt64(traffic, bytes.Received, metric.WithAttributes(attribute.String("direction", "received")))
		observer.ObserveInt64(traffic, bytes.Sent, metric.WithAttributes(attribute.String("direction", "sent")))
		return nil
	}, nodes, traffic)
	return classError.Wrap(err)
}

// Peers returns the other nodes that are alive or suspect, leaving ones
// included, sorted by ID. The slice is shared and must not be changed.
func (a *Agent) Peers() []Node {
	a.Init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peers
}
