package soak

import (
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

// limitsKept checks that a server that names a request limit gets no more than l allows from
// the hosts that know it together. A host has learned of the limit when it passes on a
// response that names it. Only requests of callers count, since it isn't recorded which host
// sent another one, and only those of hosts that were not restarted, paused or cut off since.
func (r *records) limitsKept(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: LimitsKept, Timed: true}
	counted := r.arrivalsUnderLimit(l)
	for server, arrivals := range counted {
		for i, first := range arrivals {
			last := i
			for last < len(arrivals) && arrivals[last].At.Sub(first.At) < l.limitWindow {
				last++
			}
			allowed := int(l.limitTolerance*first.PerSecond*l.limitWindow.Seconds()) + l.limitSlack
			f.Checkf(last-i <= allowed, "server %s got %d requests within %s under its limit of %.1f a second, %d are allowed",
				server, last-i, l.limitWindow, first.PerSecond, allowed)
		}
	}
	return f
}

// arrivalsUnderLimit returns the arrivals that count for limitsKept by server, in order of
// time.
func (r *records) arrivalsUnderLimit(l limits) map[string][]platformtest.Arrival {
	type knowledge struct {
		host   int
		server string
	}
	told := make(map[knowledge]time.Time)
	senders := make(map[string]request, len(r.requests))
	for _, q := range r.requests {
		senders[q.id] = q
		key := knowledge{q.host, q.answer.Server()}
		if at, ok := told[key]; !q.broken && q.answer.Limited && (!ok || q.ended.Before(at)) {
			told[key] = q.ended
		}
	}
	arrivals := slices.Clone(r.arrivals)
	slices.SortStableFunc(arrivals, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	named := make(map[string]time.Time)
	counted := make(map[string][]platformtest.Arrival)
	for _, a := range arrivals {
		if _, ok := named[a.Server]; !ok {
			named[a.Server] = a.At
		}
		q, ok := senders[a.ID]
		at, isTold := told[knowledge{q.host, a.Server}]
		if !ok || !isTold || q.sent.Before(at.Add(l.told)) || a.At.Before(named[a.Server].Add(l.named)) || r.disturbedHost(q.host, at, a.At) {
			continue
		}
		counted[a.Server] = append(counted[a.Server], a)
	}
	return counted
}

// disturbedHost reports whether a host was restarted, paused or cut off between from and to.
// Disturbances of the store don't count.
func (r *records) disturbedHost(host int, from, to time.Time) bool {
	return r.interrupted(host, from, to) || slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		return d.host == host && d.affects(host, from, to)
	})
}
