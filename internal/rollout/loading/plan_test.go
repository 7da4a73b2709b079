package loading_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/rollout/loading"
)

// planner is a policy that plans loads.
type planner func(servers []inventory.Server, models []string, newest map[string]int64, busy map[string]bool) []loading.Order

// planByPosition is the plainer policy: an engine's position in the list decides which two
// models it follows and whether it loads the even or the odd versions of both.
func planByPosition(servers []inventory.Server, models []string, newest map[string]int64, busy map[string]bool) []loading.Order {
	servers = slices.SortedFunc(slices.Values(servers), func(a, b inventory.Server) int { return cmp.Compare(a.ID, b.ID) })
	var orders []loading.Order
	planned := make(map[string]bool)
	for n, model := range models {
		for i, server := range servers {
			held, version := server.Versions[model], newest[model]
			follows := (i+len(models)-n)%len(models) < 2
			due := held < version-1 || held < version && (version+int64(i/len(models)))%2 == 0
			if follows && due && !busy[server.ID] && !planned[server.ID] {
				planned[server.ID] = true
				orders = append(orders, loading.Order{Model: model, Server: server, Version: version})
			}
		}
	}
	return orders
}

// trainers is a set of trainers that publish their versions at the same moment, and the
// engines of their service.
type trainers struct {
	models  []string
	newest  map[string]int64
	servers []inventory.Server
}

func newTrainers(models, engines int) *trainers {
	tr := &trainers{newest: make(map[string]int64)}
	for n := range models {
		tr.models = append(tr.models, fmt.Sprint("m", n))
		tr.newest[tr.models[n]] = 1
	}
	for i := range engines {
		tr.add(fmt.Sprintf("e%03d", i))
	}
	return tr
}

func (tr *trainers) add(id string) {
	versions := make(map[string]int64)
	for _, model := range tr.models {
		versions[model] = 1
	}
	tr.servers = append(tr.servers, inventory.Server{ID: id, Versions: versions})
}

// publish publishes the next version of each model and returns how many engines can serve
// the new step of at least one model before any of them loads.
func (tr *trainers) publish() (usable int) {
	for _, model := range tr.models {
		tr.newest[model]++
	}
	for _, s := range tr.servers {
		if slices.ContainsFunc(tr.models, func(model string) bool { return s.Versions[model] >= tr.newest[model]-1 }) {
			usable++
		}
	}
	return usable
}

// load carries out all orders of the plan.
func (tr *trainers) load(plan planner) {
	for {
		orders := plan(tr.servers, tr.models, tr.newest, nil)
		if len(orders) == 0 {
			return
		}
		for _, o := range orders {
			o.Server.Versions[o.Model] = o.Version
		}
	}
}

// TestAllEnginesServeWhenTrainersPublishTogether publishes versions of all models at once,
// as trainers with the same pace do. Each engine has to be able to serve the new step of one
// of its models at once, so that the burst of items finds all slots.
func TestAllEnginesServeWhenTrainersPublishTogether(t *testing.T) {
	for _, size := range []struct{ models, engines int }{{3, 9}, {3, 11}, {4, 36}, {2, 5}, {5, 40}} {
		t.Run(fmt.Sprintf("%d-models-%d-engines", size.models, size.engines), func(t *testing.T) {
			is := is.New(t)
			fewest := func(plan planner) int {
				tr, least := newTrainers(size.models, size.engines), size.engines
				for range 12 {
					least = min(least, tr.publish())
					tr.load(plan)
				}
				return least
			}
			needed, plain := fewest(loading.Plan), fewest(planByPosition)
			t.Log("engines that serve at once, by need and by position:", needed, plain)
			is.Equal(needed, size.engines)
			is.True(needed > plain)
		})
	}
}

// TestLostEngineChangesNoOthers takes an engine away. The others have to keep their models:
// an engine that changes them has to load what it has not held for many versions, while the
// weight store is busy with the new ones, and can't serve what it held.
func TestLostEngineChangesNoOthers(t *testing.T) {
	is := is.New(t)
	changes := func(plan planner) (changed int) {
		const (
			steps, lossStep = 12, 6
			// followedLag is the largest distance to the newest version at a load.
			followedLag = 2
		)
		tr := newTrainers(3, 9)
		for step := range steps {
			if step == lossStep {
				tr.servers = slices.Delete(tr.servers, 2, 3)
			}
			tr.publish()
			tr.load(func(servers []inventory.Server, models []string, newest map[string]int64, busy map[string]bool) []loading.Order {
				orders := plan(servers, models, newest, busy)
				for _, o := range orders {
					if step >= lossStep && o.Version-o.Server.Versions[o.Model] > followedLag {
						changed++
					}
				}
				return orders
			})
		}
		return changed
	}
	needed, plain := changes(loading.Plan), changes(planByPosition)
	t.Log("engines that change a model, by need and by position:", needed, plain)
	is.Equal(needed, 0)
	is.True(plain > 0)
}

// TestModelThatNoEngineServesComesFirst has one model whose newest step no engine can serve.
func TestModelThatNoEngineServesComesFirst(t *testing.T) {
	is := is.New(t)
	tr := newTrainers(3, 9)
	for range 6 {
		tr.publish()
		tr.load(loading.Plan)
	}
	tr.publish()
	tr.newest["m1"] += 3
	orders := loading.Plan(tr.servers, tr.models, tr.newest, nil)
	is.Equal(orders[0].Model, "m1")
	is.Equal(orders[1].Model, "m1")
}
