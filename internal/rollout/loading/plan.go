// Package loading brings named weight versions to the model engines of a
// service. Each engine has one host that gives its
// orders.
package loading

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
)

const (
	// versionsPerLoad is how many versions an engine serves with one load: a
	// step accepts the version before the newest, so an engine may skip every
	// second one.
	versionsPerLoad = 2
	// loadingShare is the share of a service's engines that load at once. More
	// share the source of the weights and take longer each.
	loadingShare = 5
	minLoading   = 2
	// loadTime is how long one engine loads while no more than that load.
	loadTime = 900 * time.Millisecond
)

// Order asks one engine to load a version of a model.
type Order struct {
	Model   string
	Server  inventory.Server
	Version int64
}

// Plan decides which engines have to load, in the order of their turns. servers
// are the engines of one service that are not leaving, named the newest version
// of each model, busy the engines that are loading as far as this host knows.
// An engine has one order at a time.
//
// The load that it answers: several trainers name a version every few seconds,
// each load empties an engine's cache of the model, and each step accepts the
// newest version and the one before. Every engine serves a part of the models
// and loads every second version of each, half of them at a time, so that the
// other half serves meanwhile.
func Plan(servers []inventory.Server, models []string, named map[string]int64, busy map[string]bool) []Order {
	servers = slices.SortedFunc(slices.Values(servers), func(a, b inventory.Server) int { return cmp.Compare(a.ID, b.ID) })
	var orders []Order
	for n, model := range models {
		for i, server := range servers {
			if !serves(i, n, len(models)) || busy[server.ID] || !isDue(server.Versions[model], named[model], i/len(models)) {
				continue
			}
			orders = append(orders, Order{Model: model, Server: server, Version: named[model]})
		}
	}
	// Engines that are furthest behind serve nobody and go first.
	slices.SortStableFunc(orders, func(a, b Order) int {
		return cmp.Compare(b.Version-b.Server.Versions[b.Model], a.Version-a.Server.Versions[a.Model])
	})
	taken := make(map[string]bool)
	return slices.DeleteFunc(orders, func(o Order) bool {
		again := taken[o.Server.ID]
		taken[o.Server.ID] = true
		return again
	})
}

// Delay returns how long the order of a rank in the plan waits after it became
// due, so that hosts which do not hear of each other's orders still load a few
// engines at a time. The ranks fall as engines finish.
func Delay(rank, engines int) time.Duration {
	atOnce := max(minLoading, engines/loadingShare)
	return time.Duration(rank/atOnce) * loadTime
}

// serves reports whether the engine at index i serves model n of count. With a
// load for every second version, an engine serves two models at the price of one.
func serves(i, n, count int) bool {
	return (i+count-n)%count < versionsPerLoad
}

// isDue reports whether an engine that holds version held loads the named one.
// The place of the engine in its model's row decides between even and odd versions.
func isDue(held, named int64, place int) bool {
	if held >= named {
		return false
	}
	return held < named-1 || (named+int64(place))%versionsPerLoad == 0
}
