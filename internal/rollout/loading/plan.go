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
	// modelsPerEngine is the number of models that an engine follows. With every second
	// version of each, that takes as many loads as every version of one model.
	modelsPerEngine = versionsPerLoad
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
// seconds, often at the same time. Each load empties the engine's cache of the model,
// and each step accepts the newest version and the one before. So every engine follows
// only some of the models and loads every second version of each. Half of the engines
// of a model load at a time while the other half serves.
//
// The models with the fewest engines that can serve their newest step come first.
func Plan(servers []inventory.Server, models []string, newest map[string]int64, busy map[string]bool) []Order {
	servers = slices.SortedFunc(slices.Values(servers), func(a, b inventory.Server) int { return cmp.Compare(a.ID, b.ID) })
	followers := assignEngines(servers, models, newest)
	queues := make([]loadQueue, 0, len(models))
	for n, model := range models {
		q := loadQueue{model: model, newest: newest[model]}
		for _, server := range servers {
			if server.Versions[model] >= q.newest-1 {
				q.usable++
			}
		}
		q.servers = dueEngines(followers[n], model, q.newest, busy)
		queues = append(queues, q)
	}
	return mergeQueues(queues)
}

// loadQueue holds the engines that are due to load the newest version of one model, in
// order, and the number of engines that can serve its newest step.
type loadQueue struct {
	model   string
	newest  int64
	servers []inventory.Server
	usable  int
}

// mergeQueues returns the orders of all queues, at most one per engine. The next order is
// always one for the model with the fewest usable engines.
func mergeQueues(queues []loadQueue) []Order {
	var orders []Order
	planned := make(map[string]bool)
	for {
		queues = slices.DeleteFunc(queues, func(q loadQueue) bool { return len(q.servers) == 0 })
		if len(queues) == 0 {
			return orders
		}
		next := 0
		for i := range queues {
			if queues[i].usable < queues[next].usable {
				next = i
			}
		}
		q := &queues[next]
		server := q.servers[0]
		q.servers = q.servers[1:]
		if planned[server.ID] {
			continue
		}
		planned[server.ID] = true
		if server.Versions[q.model] < q.newest-1 {
			q.usable++
		}
		orders = append(orders, Order{Model: q.model, Server: server, Version: q.newest})
	}
}

// assignEngines returns the engines that follow each model. All models get about the same
// number, and an engine keeps the models of which it holds the most recent versions, so
// that an engine that comes or goes changes little. Where versions don't decide, as at the
// start, the engines are dealt out by their order.
//
// The followers of a model are in the order in which they take turns while all hold the
// same version. The two models of an engine have different turns, so that it always
// serves one of them without a load.
func assignEngines(servers []inventory.Server, models []string, newest map[string]int64) [][]inventory.Server {
	type pair struct {
		engine, model int
		lag           int64
		place, turn   int
	}
	pairs := make([]pair, 0, len(servers)*len(models))
	for i, server := range servers {
		for n, model := range models {
			place := (i + len(models) - n) % len(models)
			pairs = append(pairs, pair{
				engine: i, model: n, place: place, turn: (place + i/len(models)) % versionsPerLoad,
				// The followers of a model are up to versionsPerLoad versions apart.
				lag: max(newest[model]-server.Versions[model]-versionsPerLoad, 0),
			})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return cmp.Or(cmp.Compare(a.lag, b.lag), cmp.Compare(a.place, b.place)) })
	modelsOf, followersOf := make([]int, len(servers)), make([]int, len(models))
	followersPerModel := (modelsPerEngine*len(servers) + len(models) - 1) / max(len(models), 1)
	pairs = slices.DeleteFunc(pairs, func(p pair) bool {
		if modelsOf[p.engine] == modelsPerEngine || followersOf[p.model] == followersPerModel {
			return true
		}
		modelsOf[p.engine]++
		followersOf[p.model]++
		return false
	})
	slices.SortStableFunc(pairs, func(a, b pair) int { return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.engine, b.engine)) })
	followers := make([][]inventory.Server, len(models))
	for _, p := range pairs {
		followers[p.model] = append(followers[p.model], servers[p.engine])
	}
	return followers
}

// dueEngines returns the engines among the followers of a model that are to load its newest
// version: those that can't serve the newest step, furthest behind first, and as many more
// as it takes for half of the followers to hold that version, so that the next step finds
// them ready.
func dueEngines(followers []inventory.Server, model string, newest int64, busy map[string]bool) []inventory.Server {
	current := 0
	var behind, previous []inventory.Server
	for _, server := range followers {
		held := server.Versions[model]
		switch {
		case busy[server.ID] || held >= newest:
			current++
		case held < newest-1:
			behind = append(behind, server)
		default:
			previous = append(previous, server)
		}
	}
	slices.SortStableFunc(behind, func(a, b inventory.Server) int {
		return cmp.Compare(a.Versions[model], b.Versions[model])
	})
	missing := (len(followers)+versionsPerLoad-1)/versionsPerLoad - current - len(behind)
	return append(behind, previous[:min(max(missing, 0), len(previous))]...)
}

// OrderDelay returns how long the order at the given rank of the plan is held
// back after it became due. Hosts do not see each other's orders, so the delay
// bounds the number of concurrent loads. The rank of an order falls as engines
// ahead of it finish.
func OrderDelay(rank, engines int) time.Duration {
	concurrent := max(minConcurrentLoads, engines/enginesPerConcurrentLoad)
	return time.Duration(rank/concurrent) * loadDuration
}
