package host

import (
	"context"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/fleet/duty"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/usage"
	"github.com/nutmegway/nutmegway/internal/request/usagelink"
)

// usageReporting counts the requests of this host and reports those of the fleet.
type usageReporting struct {
	recorder *usage.Recorder
	reporter *usage.Reporter
	sender   *usage.Sender
}

// setUpDuties lets this host take part in the duties that the settings name.
func (h *Host) setUpDuties(incarnation string) {
	if h.Duties == nil || h.Settings.DutyAddress == "" {
		return
	}
	h.dutyHolder = &duty.Holder{
		Candidates: func() []string { return roster.IDs(roster.HighCapacity(roster.Connected(h.roster.Active()))) },
		Eligible:   func() bool { return !h.reach.Isolated() },
		Logger:     h.Logger, Self: h.Settings.ID, Spacing: h.Settings.OrderSpacing, Store: h.store,
	}
	platform := h.Duties(h.dutyHolder)
	if h.Settings.OrdersServers {
		h.scaling = h.newScaling(platform)
	}
	if h.Settings.UsageWindow > 0 {
		h.usage = h.newUsageReporting(incarnation, platform)
		h.Forwarder.Usage = h.usage.recorder
	}
}

func (h *Host) newUsageReporting(incarnation string, platform duty.Platform) *usageReporting {
	clock, collector, windows := &usage.Clock{}, &usage.Collector{}, usage.Windows{Length: h.Settings.UsageWindow}
	recorder := &usage.Recorder{Clock: clock, Windows: windows}
	sender := &usage.Sender{
		Clock: clock, Collector: collector, Duties: h.dutyHolder, Host: h.roster.Get, Logger: h.Logger, Recorder: recorder,
		Incarnation: incarnation, Self: h.Settings.ID,
	}
	if h.Settings.PeerAddress != "" {
		sender.Link = usagelink.Client{Pool: h.peers}
	}
	reporter := &usage.Reporter{
		Clock: clock, Collector: collector, Delay: h.Settings.UsageDelay, Holder: h.dutyHolder, Logger: h.Logger,
		Platform: platform, Store: h.store, Windows: windows,
	}
	return &usageReporting{recorder: recorder, reporter: reporter, sender: sender}
}

// superviseDuties starts the tasks of the duties. They end as soon as the host begins to leave,
// but it counts requests until it stops.
func (h *Host) superviseDuties(
	hostCtx, dutiesCtx context.Context, supervise func(ctx context.Context, task string, run func(context.Context) error),
) {
	if h.dutyHolder == nil {
		return
	}
	supervise(dutiesCtx, "duties", h.dutyHolder.Run)
	if h.scaling != nil {
		supervise(dutiesCtx, "orders of servers", h.scaling.Run)
	}
	if h.usage != nil {
		supervise(hostCtx, "usage counts", h.usage.sender.Run)
		supervise(dutiesCtx, "usage reports", h.usage.reporter.Run)
	}
}

// registerUsage registers the service that takes the counts of other hosts.
func (h *Host) registerUsage(server *grpc.Server) {
	if h.usage != nil {
		usagelink.Register(server, h.usage.sender)
	}
}

// applyDuties applies a change of the holder.
func (h *Host) applyDuties(change mirror.Change) {
	if h.dutyHolder != nil {
		h.dutyHolder.Apply(change)
	}
}

// handOverUsage sends what this host has counted since the last report.
func (h *Host) handOverUsage(ctx context.Context) {
	if h.usage != nil {
		h.usage.sender.Flush(ctx)
	}
}
