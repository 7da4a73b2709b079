package loading

import (
	"time"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
)

// clockDoubt is how far the clocks of two hosts may be apart. Clocks are known
// to step by two seconds.
const clockDoubt = 3 * time.Second

const (
	// allGivers is up to how many hosts each of them orders engines. In a larger
	// fleet one of hostsPerGiver does, so that one call of the store serves the
	// orders to several engines.
	allGivers     = 12
	hostsPerGiver = 12
	minGivers     = 6
)

// givers are the hosts that order engines, the same for all that know the same
// hosts.
func givers(hosts []string) []string {
	if len(hosts) <= allGivers {
		return hosts
	}
	return rendezvous.Rank("givers", hosts)[:max(minGivers, len(hosts)/hostsPerGiver)]
}

// rights decides whether this host may order an engine. It does no I/O.
type rights struct {
	// givers are the hosts that order engines.
	givers []string
	self   string
	// spacing is how long after the order of another host this one may order.
	spacing time.Duration

	engines map[string]*right
}

// right is what this host knows of its right to one engine.
type right struct {
	// epoch is that of the list of hosts under which the record was read. Under a later
	// one another host may have ranked first for a while, unseen by this one.
	epoch int64
	// first is whether this host ranks first.
	first bool
	// from is when it may order, once read.
	from time.Time
	read bool
	// record is what was read.
	record Record
}

// rank notes whether this host ranks first for the engine, and reports whether
// the record of the engine's last order has to be read.
func (r *rights) rank(engine string) (needsRecord bool) {
	if r.engines == nil {
		r.engines = make(map[string]*right)
	}
	e, ok := r.engines[engine]
	if !ok {
		e = &right{}
		r.engines[engine] = e
	}
	first := rendezvous.Owner(engine, r.givers) == r.self
	if !first || !e.first {
		e.read = false
	}
	e.first = first
	return first && !e.read
}

// take takes over the record of an engine's last order, which was read after
// this host ranked first under the list of hosts with the epoch. Whoever ranked first
// before can give no more orders.
func (r *rights) take(engine string, record Record, found bool, now time.Time, epoch int64) {
	e, ok := r.engines[engine]
	if !ok || !e.first || e.read && e.epoch == epoch {
		return
	}
	if e.read && e.record == record {
		// Nobody has ordered it since, so the wait doesn't begin anew.
		e.epoch = epoch
		return
	}
	e.epoch, e.read, e.record, e.from = epoch, true, record, now
	old := now.Sub(time.UnixMilli(record.AtMillis)) >= r.spacing+clockDoubt
	if found && record.Host != r.self && !old {
		e.from = now.Add(r.spacing)
	}
}

// isOld reports whether the record of an engine has to be read again under a list of hosts.
func (r *rights) isOld(engine string, epoch int64) bool {
	e, ok := r.engines[engine]
	return ok && e.first && e.read && e.epoch != epoch
}

// may reports whether this host may order the engine.
func (r *rights) may(engine string, now time.Time) bool {
	e, ok := r.engines[engine]
	return ok && e.first && e.read && !now.Before(e.from)
}
