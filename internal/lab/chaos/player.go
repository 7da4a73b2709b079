package chaos

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/etcd"
	"github.com/nutmegway/nutmegway/internal/standin/faultproxy"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
)

const (
	faultCount      = 3
	pauseTime       = 10 * time.Second
	longestPause    = time.Minute
	loseProbability = 0.3
	poisonTries     = 4
	storeDelay      = 400 * time.Millisecond
)

// engineFaults are the faults that actions inject into the next requests or orders
// of an engine.
var engineFaults = map[Action]engine.Fault{
	ActionCrossedAnswer:  {AfterTokens: 2, Count: faultCount, Kind: engine.FaultCrossed},
	ActionEngineReset:    {AfterTokens: 1, Count: faultCount, Kind: engine.FaultReset},
	ActionEngineSlow:     {Count: faultCount, Kind: engine.FaultSlow},
	ActionLoseAnswer:     {Count: faultCount, Kind: engine.FaultLoseReply},
	ActionLoseOrderReply: {Kind: engine.FaultLoseOrderReply},
	ActionSwapPartway:    {Kind: engine.FaultSwapPartway},
}

// runSchedule starts each event at its time; overlapping events run concurrently. An
// event that stops, pauses or crashes an entry host or a backend server, marks an engine
// as leaving or disturbs a link first reserves this target. It skips a target that
// another event has reserved.
func (r *run) runSchedule(ctx context.Context, events []Event) error {
	start := time.Now()
	var group errgroup.Group
	for _, event := range events {
		if err := sleep(ctx, time.Until(start.Add(event.At))); err != nil {
			break
		}
		group.Go(func() error { return r.apply(ctx, event) })
	}
	return group.Wait()
}

func (r *run) apply(ctx context.Context, event Event) error {
	d := r.deployment
	e := d.Engines[event.Target%len(d.Engines)]
	if fault, ok := engineFaults[event.Action]; ok {
		e.Inject(fault)
		return nil
	}
	switch event.Action {
	case ActionEngineCrash:
		r.crashEngine(ctx, e, event.Duration)
	case ActionEngineHang:
		e.Hang(true)
		_ = sleep(ctx, event.Duration) // The engine resumes even if ctx ends.
		e.Hang(false)
	case ActionEngineLeave:
		r.markLeaving(ctx, e, event.Duration)
	case ActionNodeDrain, ActionNodeKill:
		return r.stopNode(ctx, d.Nodes[event.Target%len(d.Nodes)], event)
	case ActionNodePause:
		return r.pauseNode(ctx, d.Nodes[event.Target%len(d.Nodes)], event.Duration)
	case ActionPlainCrash:
		r.crashPlain(ctx, d.Plains[event.Target%len(d.Plains)], event.Duration)
	case ActionPoison:
		r.sendPoison(ctx, event.Target)
	case ActionRacingEdits:
		r.raceEdits(ctx, event.Target)
	case ActionZoneLoss:
		return r.loseZone(ctx, event)
	default:
		r.applyToPlatform(ctx, event)
	}
	return nil
}

// applyToPlatform applies the events that affect the platform's services.
func (r *run) applyToPlatform(ctx context.Context, event Event) {
	d := r.deployment
	switch event.Action {
	case ActionExpireLeases:
		d.Store.ExpireLeases(longestPause)
	case ActionLinkBlackhole, ActionLinkHalfOpen, ActionLinkReset:
		r.disturbLink(ctx, d.Nodes[event.Target%len(d.Nodes)].StoreLink, event)
	case ActionHostsDown:
		d.Hosts.SetDown(true)
		_ = sleep(ctx, event.Duration) // The host list recovers even if ctx ends.
		d.Hosts.SetDown(false)
	case ActionStoreDown:
		d.Store.SetDown(true)
		_ = sleep(ctx, event.Duration) // The store recovers even if ctx ends.
		d.Store.SetDown(false)
	case ActionStoreLoseReply:
		r.disturbStore(ctx, event.Duration, etcd.Fault{LoseReply: true, Probability: loseProbability})
	case ActionStoreSlow:
		r.disturbStore(ctx, event.Duration, etcd.Fault{Delay: storeDelay})
	}
}

// disturbLink applies a fault to the link between a node and the key-value store.
func (r *run) disturbLink(ctx context.Context, link *faultproxy.Proxy, event Event) {
	if !r.reserve(link) {
		return
	}
	defer r.release(link)
	link.SetFault(faultproxy.Fault{
		Blackhole: event.Action == ActionLinkBlackhole, HalfOpen: event.Action == ActionLinkHalfOpen,
		Refuse: event.Action == ActionLinkReset,
	})
	if event.Action == ActionLinkReset {
		link.ResetAll()
	}
	_ = sleep(ctx, event.Duration) // The link is restored even if ctx ends.
	link.SetFault(faultproxy.Fault{})
	// Bytes were dropped, so the connections can't be used any longer.
	link.ResetAll()
}

func (r *run) disturbStore(ctx context.Context, duration time.Duration, fault etcd.Fault) {
	methods := []etcd.Method{etcd.MethodTxn, etcd.MethodRange, etcd.MethodLeaseGrant}
	for _, method := range methods {
		r.deployment.Store.SetFault(method, fault)
	}
	_ = sleep(ctx, duration) // The fault ends even if ctx does.
	for _, method := range methods {
		r.deployment.Store.SetFault(method, etcd.Fault{})
	}
}

// reserve reserves an entry host, a backend server or a link for one event. It returns
// false if another event has reserved the target.
func (r *run) reserve(target any) bool { return r.busy[target].CompareAndSwap(false, true) }

func (r *run) release(target any) { r.busy[target].Store(false) }

func (r *run) crashEngine(ctx context.Context, e *engine.Engine, duration time.Duration) {
	if !r.reserve(e) {
		return
	}
	defer r.release(e)
	e.Crash()
	_ = sleep(ctx, duration) // The engine restarts even if ctx ends.
	e.Restart()
}

func (r *run) crashPlain(ctx context.Context, p *plain.Server, duration time.Duration) {
	if !r.reserve(p) {
		return
	}
	defer r.release(p)
	p.Crash()
	_ = sleep(ctx, duration) // The server restarts even if ctx ends.
	p.Restart()
}

// markLeaving marks an engine as leaving in the host list and later as live again. In
// between it waits for the time for which a leaving engine may still receive work, plus
// duration, so that the checks find work that the engine receives too late.
func (r *run) markLeaving(ctx context.Context, e *engine.Engine, duration time.Duration) {
	if !r.reserve(e) {
		return
	}
	defer r.release(e)
	departure := ledger.Departure{Address: e.Address, At: time.Now()}
	r.deployment.Hosts.SetState(e.ID, hostlist.StateLeaving)
	_ = sleep(ctx, ledger.DefaultLimits().Leaving+duration) // The engine is marked live even if ctx ends.
	departure.Until = time.Now()
	r.ledger.Add(func(records *ledger.Records) { records.Departures = append(records.Departures, departure) })
	r.deployment.Hosts.SetState(e.ID, hostlist.StateLive)
}

// stopNode drains or kills an entry host and starts it again after the event.
func (r *run) stopNode(ctx context.Context, node *deployment.Node, event Event) error {
	if !r.reserve(node) {
		return nil
	}
	defer r.release(node)
	if event.Action == ActionNodeDrain {
		drain := ledger.Drain{Address: node.CallerAddress, At: time.Now()}
		node.Drain()
		drain.Until = time.Now()
		r.ledger.Add(func(records *ledger.Records) { records.Drains = append(records.Drains, drain) })
	} else {
		node.Kill()
	}
	_ = sleep(ctx, event.Duration) // The host starts again even if ctx ends.
	r.started[node.ID].Store(time.Now().UnixNano())
	return node.Start(ctx)
}

// pauseNode pauses a node's process for pauseTime and duration, so that the node's leases
// expire.
func (r *run) pauseNode(ctx context.Context, node *deployment.Node, duration time.Duration) error {
	if !r.reserve(node) {
		return nil
	}
	defer r.release(node)
	if err := node.Pause(); err != nil {
		return err
	}
	_ = sleep(ctx, pauseTime+duration) // The process resumes even if ctx ends.
	// The pause exceeds the limit for an edit to be in force, so the limit counts
	// from the resumption.
	r.started[node.ID].Store(time.Now().UnixNano())
	return node.Resume()
}

// restartServers resumes and restarts all backend servers after the last event.
func (r *run) restartServers() {
	for _, e := range r.deployment.Engines {
		e.Hang(false)
		e.Restart()
	}
	for _, p := range r.deployment.Plains {
		p.Restart()
	}
}

// loseZone kills the entry hosts and crashes the engines of an availability zone.
func (r *run) loseZone(ctx context.Context, event Event) error {
	zone := event.Target % len(r.Shape.Zones)
	var group errgroup.Group
	for i, node := range r.deployment.Nodes {
		if i%len(r.Shape.Zones) == zone {
			group.Go(func() error { return r.stopNode(ctx, node, event) })
		}
	}
	for i, e := range r.deployment.Engines {
		if i%len(r.Shape.Zones) == zone {
			group.Go(func() error {
				r.crashEngine(ctx, e, event.Duration)
				return nil
			})
		}
	}
	return group.Wait()
}

// sendPoison sends a prompt that crashes each engine that runs it. It sends the prompt
// poisonTries times, like a caller that does not give up, and then restarts the engines
// that no other event has reserved.
func (r *run) sendPoison(ctx context.Context, target int) {
	c := r.newCaller(r.Shape.EngineService, target, uint64(target))
	body := fmt.Sprintf(`{"model":%q,"prompt":"[poison] %d","max_tokens":10}`, r.Shape.EngineService, target)
	for range poisonTries {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		c.Do(ctx, caller.Request{Body: body, Idempotent: true, Method: http.MethodPost, Path: "/v1/completions"})
		cancel()
	}
	for _, e := range r.deployment.Engines {
		if r.reserve(e) {
			e.Restart()
			r.release(e)
		}
	}
}
