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

// engineFaults are the actions that befall the next requests or orders of an
// engine.
var engineFaults = map[Action]engine.Fault{
	ActionCrossedAnswer:  {AfterTokens: 2, Count: faultCount, Kind: engine.FaultCrossed},
	ActionEngineReset:    {AfterTokens: 1, Count: faultCount, Kind: engine.FaultReset},
	ActionEngineSlow:     {Count: faultCount, Kind: engine.FaultSlow},
	ActionLoseAnswer:     {Count: faultCount, Kind: engine.FaultLoseReply},
	ActionLoseOrderReply: {Kind: engine.FaultLoseOrderReply},
	ActionSwapPartway:    {Kind: engine.FaultSwapPartway},
}

// play carries the events out as their times come. Events that overlap run
// side by side; one whose host is taken by another event is skipped.
func (r *run) play(ctx context.Context, events []Event) error {
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
		r.crashEngine(ctx, e, event.Last)
	case ActionEngineHang:
		e.Hang(true)
		_ = sleep(ctx, event.Last) // The engine goes on in any case.
		e.Hang(false)
	case ActionEngineLeave:
		r.leave(ctx, e, event.Last)
	case ActionNodeDrain, ActionNodeKill:
		return r.stopNode(ctx, d.Nodes[event.Target%len(d.Nodes)], event)
	case ActionNodePause:
		return r.pauseNode(ctx, d.Nodes[event.Target%len(d.Nodes)], event.Last)
	case ActionPlainCrash:
		r.crashPlain(ctx, d.Plains[event.Target%len(d.Plains)], event.Last)
	case ActionPoison:
		r.poison(ctx, event.Target)
	case ActionRacingEdits:
		r.raceEdits(ctx, event.Target)
	case ActionZoneLoss:
		return r.loseZone(ctx, event)
	default:
		r.platform(ctx, event)
	}
	return nil
}

// platform carries out the events of the platform's services.
func (r *run) platform(ctx context.Context, event Event) {
	d := r.deployment
	switch event.Action {
	case ActionEndLeases:
		d.Store.ExpireLeases(longestPause)
	case ActionLinkBlackhole, ActionLinkHalfOpen, ActionLinkReset:
		r.breakLink(ctx, d.Nodes[event.Target%len(d.Nodes)].StoreLink, event)
	case ActionHostsDown:
		d.Hosts.SetDown(true)
		_ = sleep(ctx, event.Last) // The list comes back in any case.
		d.Hosts.SetDown(false)
	case ActionStoreDown:
		d.Store.SetDown(true)
		_ = sleep(ctx, event.Last) // The store comes back in any case.
		d.Store.SetDown(false)
	case ActionStoreLoseReply:
		r.storeFault(ctx, event.Last, etcd.Fault{LoseReply: true, Probability: loseProbability})
	case ActionStoreSlow:
		r.storeFault(ctx, event.Last, etcd.Fault{Delay: storeDelay})
	}
}

// breakLink breaks the link between one node and the key-value service.
func (r *run) breakLink(ctx context.Context, link *faultproxy.Proxy, event Event) {
	if !r.take(link) {
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
	_ = sleep(ctx, event.Last) // The link is mended in any case.
	link.SetFault(faultproxy.Fault{})
	// What was dropped is gone: the connections cannot go on.
	link.ResetAll()
}

func (r *run) storeFault(ctx context.Context, last time.Duration, fault etcd.Fault) {
	methods := []etcd.Method{etcd.MethodTxn, etcd.MethodRange, etcd.MethodLeaseGrant}
	for _, method := range methods {
		r.deployment.Store.SetFault(method, fault)
	}
	_ = sleep(ctx, last) // The fault ends in any case.
	for _, method := range methods {
		r.deployment.Store.SetFault(method, etcd.Fault{})
	}
}

// take claims a host for one event at a time.
func (r *run) take(host any) bool { return r.busy[host].CompareAndSwap(false, true) }

func (r *run) release(host any) { r.busy[host].Store(false) }

func (r *run) crashEngine(ctx context.Context, e *engine.Engine, last time.Duration) {
	if !r.take(e) {
		return
	}
	defer r.release(e)
	e.Crash()
	_ = sleep(ctx, last) // The engine restarts in any case.
	e.Restart()
}

func (r *run) crashPlain(ctx context.Context, p *plain.Server, last time.Duration) {
	if !r.take(p) {
		return
	}
	defer r.release(p)
	p.Crash()
	_ = sleep(ctx, last) // The server restarts in any case.
	p.Restart()
}

// leave marks an engine as leaving, longer than the promised time.
func (r *run) leave(ctx context.Context, e *engine.Engine, last time.Duration) {
	if !r.take(e) {
		return
	}
	defer r.release(e)
	departure := ledger.Departure{Address: e.Address, At: time.Now()}
	r.deployment.Hosts.SetState(e.ID, hostlist.StateLeaving)
	_ = sleep(ctx, ledger.DefaultLimits().Leaving+last) // It comes back in any case.
	departure.Until = time.Now()
	r.ledger.Add(func(records *ledger.Records) { records.Departures = append(records.Departures, departure) })
	r.deployment.Hosts.SetState(e.ID, hostlist.StateLive)
}

// stopNode drains or kills an entry host and starts it again.
func (r *run) stopNode(ctx context.Context, node *deployment.Node, event Event) error {
	if !r.take(node) {
		return nil
	}
	defer r.release(node)
	if event.Action == ActionNodeDrain {
		drain := ledger.Drain{Address: node.Caller, At: time.Now()}
		node.Drain()
		drain.Until = time.Now()
		r.ledger.Add(func(records *ledger.Records) { records.Drains = append(records.Drains, drain) })
	} else {
		node.Kill()
	}
	_ = sleep(ctx, event.Last) // The host starts again in any case.
	r.started[node.ID].Store(time.Now().UnixNano())
	return node.Start(ctx)
}

// pauseNode stops a node's process for longer than its leases last.
func (r *run) pauseNode(ctx context.Context, node *deployment.Node, last time.Duration) error {
	if !r.take(node) {
		return nil
	}
	defer r.release(node)
	if err := node.Pause(); err != nil {
		return err
	}
	_ = sleep(ctx, pauseTime+last) // The process goes on in any case.
	// A pause lasts longer than the promised time, which begins anew after it.
	r.started[node.ID].Store(time.Now().UnixNano())
	return node.Resume()
}

// heal starts again what the last events left down.
func (r *run) heal() {
	for _, e := range r.deployment.Engines {
		e.Hang(false)
		e.Restart()
	}
	for _, p := range r.deployment.Plains {
		p.Restart()
	}
}

// loseZone stops every host of an availability zone.
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
				r.crashEngine(ctx, e, event.Last)
				return nil
			})
		}
	}
	return group.Wait()
}

// poison sends a prompt that crashes each engine that runs it, as its caller
// does again and again, and restarts what crashed.
func (r *run) poison(ctx context.Context, target int) {
	c := r.newCaller(r.Shape.EngineService, target, uint64(target))
	body := fmt.Sprintf(`{"model":%q,"prompt":"[poison] %d","max_tokens":10}`, r.Shape.EngineService, target)
	for range poisonTries {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		c.Do(ctx, caller.Request{Body: body, Idempotent: true, Method: http.MethodPost, Path: "/v1/completions"})
		cancel()
	}
	for _, e := range r.deployment.Engines {
		if r.take(e) {
			e.Restart()
			r.release(e)
		}
	}
}
