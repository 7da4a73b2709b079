// Package loading sends load orders to the model engines of a service, so that
// they follow the newest weight versions. Each engine receives its orders from
// one host at a time, its owner.
package loading

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
)

const (
	// versionsPerLoad is the number of successive versions that an engine can
	// serve with one load. A training step accepts the newest version and the
	// one before, so an engine may skip every second version.
	versionsPerLoad = 2
	// enginesPerConcurrentLoad bounds the concurrent loads of a service to one
	// in five of its engines. More loads would share the bandwidth of the weight
	// store, and each would take longer.
	enginesPerConcurrentLoad = 5
	minConcurrentLoads       = 2
	// loadDuration is how long a load takes while the number of concurrent loads
	// is within the bound.
	loadDuration = 900 * time.Millisecond
)

// Order asks one engine to load a version of a model.
type Order struct {
	Model   string
	Server  inventory.Server
	Version int64
}

// Plan returns the load orders that are due, at most one per engine, by decreasing
// priority. servers are the engines of one service that are not draining, newest
// holds the newest version of each model, and busy the engines that are loading
// as far as this host knows.
//
// The plan is made for several trainers that each publish a version every few
// seconds. Each load empties the engine's cache of the model, and each step
// accepts the newest version and the one before. So every engine serves only
// some of the models and loads every second version of each. Half of the engines
// of a model load at a time while the other half serves.
func Plan(servers []inventory.Server, models []string, newest map[string]int64, busy map[string]bool) []Order {
	servers = slices.SortedFunc(slices.Values(servers), func(a, b inventory.Server) int { return cmp.Compare(a.ID, b.ID) })
	var orders []Order
	for n, model := range models {
		for i, server := range servers {
			if !serves(i, n, len(models)) || busy[server.ID] || !isDue(server.Versions[model], newest[model], i/len(models)) {
				continue
			}
			orders = append(orders, Order{Model: model, Server: server, Version: newest[model]})
		}
	}
	// Engines that are furthest behind cannot serve any step, so they load first.
	slices.SortStableFunc(orders, func(a, b Order) int {
		return cmp.Compare(b.Version-b.Server.Versions[b.Model], a.Version-a.Server.Versions[a.Model])
	})
	planned := make(map[string]bool)
	return slices.DeleteFunc(orders, func(o Order) bool {
		duplicate := planned[o.Server.ID]
		planned[o.Server.ID] = true
		return duplicate
	})
}

// OrderDelay returns how long the order at the given rank of the plan is held
// back after it became due. Hosts do not see each other's orders, so the delay
// bounds the number of concurrent loads. The rank of an order falls as engines
// ahead of it finish.
func OrderDelay(rank, engines int) time.Duration {
	concurrent := max(minConcurrentLoads, engines/enginesPerConcurrentLoad)
	return time.Duration(rank/concurrent) * loadDuration
}

// serves reports whether the engine at index i serves model n of count models.
// Each engine serves two models and loads every second version of each. That
// takes as many loads as every version of one model.
func serves(i, n, count int) bool {
	return (i+count-n)%count < versionsPerLoad
}

// isDue reports whether an engine that holds version held is to load the newest
// version. Engines at even positions load the even versions and engines at odd
// positions the odd ones; an engine that is two or more versions behind loads any.
func isDue(held, newest int64, position int) bool {
	if held >= newest {
		return false
	}
	return held < newest-1 || (newest+int64(position))%versionsPerLoad == 0
}
