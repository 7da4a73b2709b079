package loading

import (
	"time"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
)

// maxClockSkew is how far the clocks of two hosts may be apart. Clocks are known
// to step by two seconds.
const maxClockSkew = 3 * time.Second

const (
	// smallFleetSize is the size of the largest fleet in which every host sends
	// load orders to engines. In a larger fleet one in hostsPerController hosts
	// sends orders, but no fewer than minControllers. Each of them then owns
	// several engines, so that one store transaction records several orders.
	smallFleetSize     = 12
	hostsPerController = 12
	minControllers     = 6
)

// controllerHosts returns the controller hosts, which send load orders to
// engines. All hosts with the same host list get the same result.
func controllerHosts(hosts []string) []string {
	if len(hosts) <= smallFleetSize {
		return hosts
	}
	return rendezvous.Rank("givers", hosts)[:max(minControllers, len(hosts)/hostsPerController)]
}

// ownership decides whether this host may send orders to an engine. It does no
// I/O. The owner of an engine is the controller host that ranks first for it.
type ownership struct {
	// controllers holds the ids of the controller hosts.
	controllers []string
	self        string
	// spacing is the least time between an order of another host and one of this
	// host to the same engine.
	spacing time.Duration

	engines map[string]*engineOwnership
}

// engineOwnership is the ownership of one engine as this host knows it.
type engineOwnership struct {
	// epoch is the epoch of the host list under which lastOrder was read. If the
	// list has a later epoch now, another host may have owned the engine for a
	// while without this host's knowledge.
	epoch int64
	// owned is true while this host is the owner.
	owned bool
	// orderableFrom is the time from which this host may send orders to the
	// engine. It is valid if lastOrderRead is true.
	orderableFrom time.Time
	lastOrderRead bool
	lastOrder     LastOrder
}

// updateOwner determines whether this host owns the engine, and reports whether
// the engine's last order has to be read.
func (o *ownership) updateOwner(engine string) (needsLastOrder bool) {
	if o.engines == nil {
		o.engines = make(map[string]*engineOwnership)
	}
	e, ok := o.engines[engine]
	if !ok {
		e = &engineOwnership{}
		o.engines[engine] = e
	}
	owned := rendezvous.Owner(engine, o.controllers) == o.self
	if !owned || !e.owned {
		e.lastOrderRead = false
	}
	e.owned = owned
	return owned && !e.lastOrderRead
}

// setLastOrder sets the last order of an engine. It must have been read after this
// host became the owner under the host list of the epoch: from then on the earlier
// owner cannot record further orders.
func (o *ownership) setLastOrder(engine string, last LastOrder, found bool, now time.Time, epoch int64) {
	e, ok := o.engines[engine]
	if !ok || !e.owned || e.lastOrderRead && e.epoch == epoch {
		return
	}
	if e.lastOrderRead && e.lastOrder == last {
		// No host has recorded an order to the engine since, so the spacing is
		// not restarted.
		e.epoch = epoch
		return
	}
	e.epoch, e.lastOrderRead, e.lastOrder, e.orderableFrom = epoch, true, last, now
	expired := now.Sub(time.UnixMilli(last.AtMillis)) >= o.spacing+maxClockSkew
	if found && last.Host != o.self && !expired {
		e.orderableFrom = now.Add(o.spacing)
	}
}

// isStale reports whether the last order of an engine was read under another epoch
// and has to be read again.
func (o *ownership) isStale(engine string, epoch int64) bool {
	e, ok := o.engines[engine]
	return ok && e.owned && e.lastOrderRead && e.epoch != epoch
}

// mayOrder reports whether this host may send an order to the engine at the
// time now.
func (o *ownership) mayOrder(engine string, now time.Time) bool {
	e, ok := o.engines[engine]
	return ok && e.owned && e.lastOrderRead && !now.Before(e.orderableFrom)
}
