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
	// burstFactor is how many times the slots of all plain servers a burst has
	// requests.
	burstFactor = 3
	// troubleCount is how many requests of a server a trouble befalls at most.
	troubleCount = 8
	// silentTime is added to a pause: the product takes a host for dead sooner.
	silentTime = 1500 * time.Millisecond
	// poisonDown is how long a server is away that ended under a request.
	poisonDown = 400 * time.Millisecond
	// loseEach is which of the store's calls loses its answer: one of so many.
	loseEach = 3
)

// serverTroubles are the actions that befall the next requests of a server.
var serverTroubles = map[chaos.Action]platformtest.Fault{
	ActionServerBreaks:    platformtest.FaultReset,
	ActionServerFails:     platformtest.FaultFail,
	ActionServerLoseOrder: platformtest.FaultLoseOrderReply,
	ActionServerSilent:    platformtest.FaultHang,
}

var linkFaults = map[chaos.Action]faultproxy.Fault{
	ActionLinkBlackhole: {Blackhole: true},
	ActionLinkDelay:     {Delay: linkDelay},
	ActionLinkOneWay:    {HalfOpen: true},
	ActionLinkReset:     {Refuse: true},
	ActionServerLink:    {Refuse: true},
	ActionServerOneWay:  {HalfOpen: true},
}

// play carries the events out as their times come; those that overlap run side
// by side. One whose host or server is taken by another event is skipped.
func (r *run) play(ctx context.Context, events []chaos.Event) error {
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
		if !n.busy.TryLock() {
			return nil
		}
		defer n.busy.Unlock()
		return r.troubleHost(ctx, n, event)
	case ActionLinkBlackhole, ActionLinkDelay, ActionLinkOneWay, ActionLinkReset:
		if n.busy.TryLock() {
			defer n.busy.Unlock()
			r.troubleLink(ctx, n.link, n.number, event)
		}
	case ActionServerBreaks, ActionServerCrash, ActionServerFails, ActionServerLeave, ActionServerLink, ActionServerLoseOrder, ActionServerOneWay, ActionServerSilent:
		return r.troubleServers(ctx, event)
	default:
		r.troubleStore(ctx, event)
	}
	return nil
}

// burst sends more requests at once than the servers have slots, so that some are
// refused.
func (r *run) burst(ctx context.Context) error {
	var group errgroup.Group
	for range burstFactor * plainCount * plainSlots {
		group.Go(func() error {
			r.send(ctx, r.anyNode(), neverPrefix, platformtest.RepeatNever)
			return nil
		})
	}
	return group.Wait()
}

func (r *run) troubleHost(ctx context.Context, n *node, event chaos.Event) error {
	switch event.Action {
	case ActionHostReload:
		return n.process.Signal(reloadSignal)
	case ActionHostStop:
		return r.stop(ctx, n, event.Last)
	}
	defer r.book.disturb(event.Action, n.number)()
	switch event.Action {
	case ActionHostKill:
		return r.kill(ctx, n, event.Last)
	case ActionHostPause:
		return pause(ctx, n, silentTime+event.Last)
	}
	// A series: signals and restarts one upon the other.
	for range 3 {
		if err := pause(ctx, n, event.Last/8); err != nil {
			return err
		}
		if err := n.process.Signal(reloadSignal); err != nil {
			return err
		}
		if err := r.kill(ctx, n, event.Last/8); err != nil {
			return err
		}
	}
	return nil
}

// stop ends a host as planned work does and starts it again.
func (r *run) stop(ctx context.Context, n *node, last time.Duration) error {
	s := stop{at: time.Now(), host: n.number}
	if err := n.process.Terminate(); err != nil {
		return classError.New("host %s, told to stop: %w", n.settings.ID, err)
	}
	s.ended = time.Now()
	r.book.add(func(records *records) { records.stops = append(records.stops, s) })
	wait.For(ctx, last) // The host starts again in any case.
	return n.start(ctx)
}

func (r *run) kill(ctx context.Context, n *node, last time.Duration) error {
	if err := n.process.Kill(); err != nil {
		return err
	}
	wait.For(ctx, last) // The host starts again in any case.
	return n.start(ctx)
}

func pause(ctx context.Context, n *node, last time.Duration) error {
	if err := n.process.Pause(); err != nil {
		return err
	}
	wait.For(ctx, last) // The process goes on in any case.
	return n.process.Resume()
}

// killAll kills every host that no other event has taken, at once.
func (r *run) killAll(ctx context.Context, event chaos.Event) error {
	defer r.book.disturb(event.Action, everyone)()
	var group errgroup.Group
	for _, n := range r.nodes {
		if n.busy.TryLock() {
			group.Go(func() error {
				defer n.busy.Unlock()
				return r.kill(ctx, n, event.Last/4)
			})
		}
	}
	return group.Wait()
}

func (r *run) troubleLink(ctx context.Context, link *faultproxy.Proxy, host int, event chaos.Event) {
	defer r.book.disturb(event.Action, host)()
	fault := linkFaults[event.Action]
	link.SetFault(fault)
	if fault.Refuse {
		link.ResetAll()
	}
	wait.For(ctx, event.Last) // The link is mended in any case.
	link.SetFault(faultproxy.Fault{})
	if !fault.Refuse && fault.Delay == 0 {
		// What was dropped is gone: the connections can't go on.
		link.ResetAll()
	}
}

// troubleServers troubles an engine and a plain server at once.
func (r *run) troubleServers(ctx context.Context, event chaos.Event) error {
	var group errgroup.Group
	for _, kind := range [][]*backend{r.backends[:engineCount], r.backends[engineCount:]} {
		if b := take(kind, event.Target); b != nil {
			group.Go(func() error {
				defer b.busy.Unlock()
				return r.troubleServer(ctx, b, event)
			})
		}
	}
	return group.Wait()
}

// take returns a server that no other event has taken, or nil.
func take(servers []*backend, first int) *backend {
	for i := range servers {
		if b := servers[(first+i)%len(servers)]; b.busy.TryLock() {
			return b
		}
	}
	return nil
}

func (r *run) troubleServer(ctx context.Context, b *backend, event chaos.Event) error {
	if trouble, ok := serverTroubles[event.Action]; ok {
		defer r.book.disturb(event.Action, servers)()
		b.InjectFault(trouble, 1+event.Target%troubleCount)
		wait.For(ctx, event.Last) // The trouble ends in any case.
		b.ClearFaults()
		return nil
	}
	if event.Action == ActionServerLeave {
		if err := b.AnnounceLeaving(event.Target%2 == 0); err != nil {
			return err
		}
		wait.For(ctx, drainBound+event.Last) // The server ends in any case.
		return r.crash(ctx, b, poisonDown)
	}
	if event.Action != ActionServerCrash {
		r.troubleLink(ctx, b.link, servers, event)
		return nil
	}
	return r.crash(ctx, b, event.Last)
}

// crash ends a server and starts it again.
func (r *run) crash(ctx context.Context, b *backend, last time.Duration) error {
	defer r.book.disturb(ActionServerCrash, servers)()
	b.link.SetFault(faultproxy.Fault{Refuse: true})
	b.link.ResetAll()
	b.Stop()
	wait.For(ctx, last) // The server comes back in any case.
	b.link.SetFault(faultproxy.Fault{})
	return b.Start()
}

// onPoison ends a server under a request, unless another event has taken it.
func (r *run) onPoison(ctx context.Context, group *errgroup.Group, b *backend) {
	if !b.busy.TryLock() {
		return
	}
	group.Go(func() error {
		defer b.busy.Unlock()
		return r.crash(ctx, b, poisonDown)
	})
}

func (r *run) troubleStore(ctx context.Context, event chaos.Event) {
	memory := &r.store.Memory
	switch event.Action {
	case ActionStoreEndsLeases:
		defer r.book.disturb(event.Action, everyone)()
		memory.ExpireAllLeases()
		return
	case ActionStoreForgets:
		defer r.book.disturb(event.Action, everyone)()
		memory.Compact()
		return
	}
	if !r.work.storeBusy.TryLock() {
		return
	}
	defer r.work.storeBusy.Unlock()
	defer r.book.disturb(event.Action, everyone)()
	var calls int
	switch event.Action {
	case ActionStoreDown:
		memory.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
	case ActionStoreLoses, ActionStoreLate:
		fault := kvmemory.FaultReplyLost
		if event.Action == ActionStoreLate {
			fault = kvmemory.FaultDelayedCommit
		}
		memory.Inject(func(string) kvmemory.Fault {
			r.work.mu.Lock()
			defer r.work.mu.Unlock()
			calls++
			if calls%loseEach == 0 {
				return fault
			}
			return kvmemory.FaultNone
		})
	case ActionStoreSlow:
		r.storeDelay.Store(int64(storeDelay))
	}
	wait.For(ctx, event.Last) // The store comes back in any case.
	memory.Inject(nil)
	memory.CommitDelayed()
	r.storeDelay.Store(0)
}
