package loading

import (
	"time"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
)

// rights decides whether this host may order an engine. It does no I/O.
type rights struct {
	hosts []string
	self  string
	// spacing is how long a host waits after it became first for an engine.
	spacing time.Duration

	engines map[string]*right
}

// right is what this host knows of its right to one engine.
type right struct {
	// first is whether this host ranks first, and since when.
	first bool
	since time.Time
	// lost is when it last ceased to rank first.
	lost time.Time
}

// may reports whether this host has ranked first for the engine for long
// enough. A host that was away for less than the spacing keeps its right: no
// other host can have ordered meanwhile.
func (r *rights) may(engine string, now time.Time) bool {
	if r.engines == nil {
		r.engines = make(map[string]*right)
	}
	e, ok := r.engines[engine]
	if !ok {
		e = &right{}
		r.engines[engine] = e
	}
	first := rendezvous.Owner(engine, r.hosts) == r.self
	switch {
	case first && !e.first:
		if e.since.IsZero() || now.Sub(e.lost) >= r.spacing {
			e.since = now
		}
	case !first && e.first:
		e.lost = now
	}
	e.first = first
	return first && now.Sub(e.since) >= r.spacing
}
