package bookings

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/nutmegway/nutmegway/internal/standin/plain"
)

const (
	crashInterval  = 1700 * time.Millisecond
	crashDuration  = 400 * time.Millisecond
	killInterval   = 900 * time.Millisecond
	killDuration   = 500 * time.Millisecond
	outageInterval = 2500 * time.Millisecond
	outageDuration = 800 * time.Millisecond
)

// faultShares are the faults that backend servers inject into single requests,
// each with the share of requests that it affects.
var faultShares = []struct {
	kind  plain.FaultKind
	share float64
}{
	{kind: plain.FaultCutShort, share: 0.05},
	{kind: plain.FaultHang, share: 0.005},
	{kind: plain.FaultLoseReply, share: 0.15},
	{kind: plain.FaultReset, share: 0.15},
	{kind: plain.FaultSlow, share: 0.05},
}

func randomFault(random *rand.Rand) plain.FaultKind {
	drawn := random.Float64()
	for _, fault := range faultShares {
		if drawn < fault.share {
			return fault.kind
		}
		drawn -= fault.share
	}
	return ""
}

// faultInjectors returns functions that repeatedly stop and restart the entry hosts, the
// backend servers and the store. Each of them ends with the context that it is called
// with; the entry hosts that it has restarted run until ctx ends.
func (r *run) faultInjectors(ctx context.Context) []func(context.Context) error {
	killNodes := func(faults context.Context) error { return r.killNodes(faults, ctx) }
	return []func(context.Context) error{killNodes, r.crashServers, r.stopStore}
}

// killNodes kills one entry host after the other and restarts it after killDuration. The
// kill closes the host's connections, including those of requests that were dispatched
// but not answered. A restarted host runs until nodeCtx ends.
func (r *run) killNodes(ctx, nodeCtx context.Context) error {
	for i := 0; sleep(ctx, killInterval); i++ {
		node := r.deployed.Nodes[i%len(r.deployed.Nodes)]
		node.Kill()
		sleep(ctx, killDuration)
		if err := node.Start(nodeCtx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) crashServers(ctx context.Context) error {
	for i := 0; sleep(ctx, crashInterval); i++ {
		server := r.deployed.Plains[i%len(r.deployed.Plains)]
		server.Crash()
		sleep(ctx, crashDuration)
		server.Restart()
	}
	return nil
}

func (r *run) stopStore(ctx context.Context) error {
	for sleep(ctx, outageInterval) {
		r.deployed.Store.SetDown(true)
		sleep(ctx, outageDuration)
		r.deployed.Store.SetDown(false)
	}
	return nil
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
