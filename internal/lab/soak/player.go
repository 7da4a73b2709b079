package soak

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/lab/chaos"
	"github.com/nutmegway/nutmegway/internal/standin/faultproxy"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

const (
	linkDelay  = 300 * time.Millisecond
	storeDelay = 250 * time.Millisecond
	// burstFactor is the number of requests in a burst per slot of the plain servers.
	burstFactor = 3
	// maxFaultedRequests is the maximum number of requests of a server that a fault affects.
	maxFaultedRequests = 8
	// minPause is added to the duration of ActionHostPause, so that the pause exceeds
	// the time after which a silent host is considered dead.
	minPause = 1500 * time.Millisecond
	// namedLimit is the limit, in requests per second, that a server names during
	// ActionServerLimit. It is named for limitNotice, limitedTime and the duration of the
	// event. It is judged after limitNotice.
	namedLimit  = 2
	limitNotice = 3 * time.Second
	limitedTime = 6 * time.Second
	// poisonDowntime is how long a server stays down after a poison request has crashed
	// it or after it has left as announced.
	poisonDowntime = 400 * time.Millisecond
	// During ActionStoreLosesReplies and ActionStoreLate, one store call in
	// storeFaultOneIn loses its reply or is committed late.
	storeFaultOneIn = 3
)

// serverFaults are the faults that actions inject into the next requests of a
// server.
var serverFaults = map[chaos.Action]platformtest.Fault{
	ActionServerResets:    platformtest.FaultReset,
	ActionServerFails:     platformtest.FaultFail,
	ActionServerLoseOrder: platformtest.FaultLoseOrderReply,
	ActionServerHangs:     platformtest.FaultHang,
}

var linkFaults = map[chaos.Action]faultproxy.Fault{
	ActionLinkBlackhole: {Blackhole: true},
	ActionLinkDelay:     {Delay: linkDelay},
	ActionLinkHalfOpen:  {HalfOpen: true},
	ActionLinkReset:     {Refuse: true},
	ActionServerLink:    {Refuse: true},
	ActionServerOneWay:  {HalfOpen: true},
}

// runSchedule starts each event at its time; overlapping events run concurrently. An
// event whose host or store is in use by another event is skipped. An event for a backend
// server uses the next free server instead. Events that expire leases or compact the store
// are never skipped.
func (r *run) runSchedule(ctx context.Context, events []chaos.Event) error {
	start := time.Now()
	var group errgroup.Group
	for _, event := range events {
		if !wait.For(ctx, time.Until(start.Add(event.At))) {
			break
		}
		group.Go(func() error { return r.apply(ctx, event) })
	}
	return group.Wait()
}

func (r *run) apply(ctx context.Context, event chaos.Event) error {
	n := r.nodes[event.Target%len(r.nodes)]
	switch event.Action {
	case ActionAllKill:
		return r.killAll(ctx, event)
	case ActionCallerBurst:
		return r.burst(ctx)
	case ActionHostKill, ActionHostPause, ActionHostReload, ActionHostSeries, ActionHostStop:
		if !n.eventMu.TryLock() {
			return nil
		}
		defer n.eventMu.Unlock()
		return r.disturbHost(ctx, n, event)
	case ActionLinkBlackhole, ActionLinkDelay, ActionLinkHalfOpen, ActionLinkReset:
		if n.eventMu.TryLock() {
			defer n.eventMu.Unlock()
			r.disturbLink(ctx, n.link, n.index, event)
		}
	case ActionServerResets, ActionServerCrash, ActionServerFails, ActionServerLeave, ActionServerLimit, ActionServerLink, ActionServerLoseOrder, ActionServerOneWay, ActionServerHangs:
		return r.disturbServers(ctx, event)
	default:
		r.disturbStore(ctx, event)
	}
	return nil
}

// burst sends more requests at once than the plain servers have slots, so that some
// are refused.
func (r *run) burst(ctx context.Context) error {
	var group errgroup.Group
	for range burstFactor * plainCount * plainSlots {
		group.Go(func() error {
			r.send(ctx, r.randomNode(), bookingPrefix, platformtest.RepeatNever)
			return nil
		})
	}
	return group.Wait()
}

func (r *run) disturbHost(ctx context.Context, n *node, event chaos.Event) error {
	switch event.Action {
	case ActionHostReload:
		return n.process.Signal(reloadSignal)
	case ActionHostStop:
		return r.stop(ctx, n, event.Duration)
	}
	defer r.recorder.beginDisturbance(event.Action, n.index)()
	switch event.Action {
	case ActionHostKill:
		return r.kill(ctx, n, event.Duration)
	case ActionHostPause:
		return pause(ctx, n, minPause+event.Duration)
	}
	// ActionHostSeries: pauses, reloads and restarts in quick succession.
	for range 3 {
		if err := pause(ctx, n, event.Duration/8); err != nil {
			return err
		}
		if err := n.process.Signal(reloadSignal); err != nil {
			return err
		}
		if err := r.kill(ctx, n, event.Duration/8); err != nil {
			return err
		}
	}
	return nil
}

// stop stops a host gracefully and starts it again.
func (r *run) stop(ctx context.Context, n *node, downtime time.Duration) error {
	s := plannedStop{at: time.Now(), host: n.index}
	if err := n.process.Terminate(); err != nil {
		return classError.New("stop host %s gracefully: %w", n.settings.ID, err)
	}
	s.ended = time.Now()
	r.recorder.update(func(records *records) { records.stops = append(records.stops, s) })
	wait.For(ctx, downtime) // The host starts again even if ctx ends.
	return n.start(ctx)
}

func (r *run) kill(ctx context.Context, n *node, downtime time.Duration) error {
	if err := n.process.Kill(); err != nil {
		return err
	}
	wait.For(ctx, downtime) // The host starts again even if ctx ends.
	return n.start(ctx)
}

func pause(ctx context.Context, n *node, duration time.Duration) error {
	if err := n.process.Pause(); err != nil {
		return err
	}
	wait.For(ctx, duration) // The process resumes even if ctx ends.
	return n.process.Resume()
}

// killAll kills all hosts at once, except those in use by another event.
func (r *run) killAll(ctx context.Context, event chaos.Event) error {
	defer r.recorder.beginDisturbance(event.Action, allHosts)()
	var group errgroup.Group
	for _, n := range r.nodes {
		if n.eventMu.TryLock() {
			group.Go(func() error {
				defer n.eventMu.Unlock()
				return r.kill(ctx, n, event.Duration/4)
			})
		}
	}
	return group.Wait()
}

func (r *run) disturbLink(ctx context.Context, link *faultproxy.Proxy, host int, event chaos.Event) {
	defer r.recorder.beginDisturbance(event.Action, host)()
	fault := linkFaults[event.Action]
	link.SetFault(fault)
	if fault.Refuse {
		link.ResetAll()
	}
	wait.For(ctx, event.Duration) // The link is restored even if ctx ends.
	link.SetFault(faultproxy.Fault{})
	if !fault.Refuse && fault.Delay == 0 {
		// Bytes were dropped, so the connections can't be used any longer.
		link.ResetAll()
	}
}

// disturbServers applies the event to an engine and a plain server at once.
func (r *run) disturbServers(ctx context.Context, event chaos.Event) error {
	var group errgroup.Group
	for _, servers := range [][]*backend{r.backends[:engineCount], r.backends[engineCount:]} {
		if b := lockServer(servers, event.Target); b != nil {
			group.Go(func() error {
				defer b.eventMu.Unlock()
				return r.disturbServer(ctx, b, event)
			})
		}
	}
	return group.Wait()
}

// lockServer locks and returns the next server from first on that no other event uses. It
// returns nil if all are in use.
func lockServer(servers []*backend, first int) *backend {
	for i := range servers {
		if b := servers[(first+i)%len(servers)]; b.eventMu.TryLock() {
			return b
		}
	}
	return nil
}

func (r *run) disturbServer(ctx context.Context, b *backend, event chaos.Event) error {
	if fault, ok := serverFaults[event.Action]; ok {
		defer r.recorder.beginDisturbance(event.Action, backendServers)()
		b.InjectFault(fault, 1+event.Target%maxFaultedRequests)
		wait.For(ctx, event.Duration) // The fault ends even if ctx does.
		b.ClearFaults()
		return nil
	}
	if event.Action == ActionServerLeave {
		if err := b.AnnounceLeaving(event.Target%2 == 0); err != nil {
			return err
		}
		wait.For(ctx, drainBound+event.Duration) // The server stops even if ctx ends.
		return r.crash(ctx, b, poisonDowntime)
	}
	if event.Action == ActionServerLimit {
		b.SetLimit(namedLimit)
		wait.For(ctx, limitNotice+limitedTime+event.Duration) // The limit ends even if ctx does.
		b.SetLimit(0)
		return nil
	}
	if event.Action != ActionServerCrash {
		r.disturbLink(ctx, b.link, backendServers, event)
		return nil
	}
	return r.crash(ctx, b, event.Duration)
}

// crash stops a server abruptly and starts it again after downtime.
func (r *run) crash(ctx context.Context, b *backend, downtime time.Duration) error {
	defer r.recorder.beginDisturbance(ActionServerCrash, backendServers)()
	b.link.SetFault(faultproxy.Fault{Refuse: true})
	b.link.ResetAll()
	b.Stop()
	wait.For(ctx, downtime) // The server starts again even if ctx ends.
	b.link.SetFault(faultproxy.Fault{})
	return b.Start()
}

// onPoison crashes the server that runs a poison request, unless another event uses
// it.
func (r *run) onPoison(ctx context.Context, group *errgroup.Group, b *backend) {
	if !b.eventMu.TryLock() {
		return
	}
	group.Go(func() error {
		defer b.eventMu.Unlock()
		return r.crash(ctx, b, poisonDowntime)
	})
}

func (r *run) disturbStore(ctx context.Context, event chaos.Event) {
	memory := &r.store.Memory
	switch event.Action {
	case ActionStoreExpiresLeases:
		defer r.recorder.beginDisturbance(event.Action, allHosts)()
		memory.ExpireAllLeases()
		return
	case ActionStoreCompacts:
		defer r.recorder.beginDisturbance(event.Action, allHosts)()
		memory.Compact()
		return
	}
	if !r.work.storeMu.TryLock() {
		return
	}
	defer r.work.storeMu.Unlock()
	defer r.recorder.beginDisturbance(event.Action, allHosts)()
	var calls int
	switch event.Action {
	case ActionStoreDown:
		memory.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
	case ActionStoreLosesReplies, ActionStoreLate:
		fault := kvmemory.FaultReplyLost
		if event.Action == ActionStoreLate {
			fault = kvmemory.FaultDelayedCommit
		}
		memory.Inject(func(string) kvmemory.Fault {
			r.work.mu.Lock()
			defer r.work.mu.Unlock()
			calls++
			if calls%storeFaultOneIn == 0 {
				return fault
			}
			return kvmemory.FaultNone
		})
	case ActionStoreSlow:
		r.storeDelay.Store(int64(storeDelay))
	}
	wait.For(ctx, event.Duration) // The store recovers even if ctx ends.
	memory.Inject(nil)
	memory.CommitDelayed()
	r.storeDelay.Store(0)
}
