package loading

import (
	"context"
	"slices"
)

// Prepare makes a giver ready for Round, as one of the hosts that give orders.
func Prepare(g *Giver, hosts []string) {
	if chosen := givers(hosts); !slices.Contains(chosen, g.Self) {
		g.Self = chosen[0]
	}
	g.orders = make(map[string]*progress)
	g.rights.self = g.Self
	g.Observe(hosts)
}

// Round looks at the engines once.
func Round(ctx context.Context, g *Giver) { g.round(ctx) }
