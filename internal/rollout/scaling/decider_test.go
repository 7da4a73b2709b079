package scaling_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/rollout/scaling"
)

const (
	service  = "engines"
	slots    = 8
	interval = 4 * time.Second
)

var limits = config.Scaling{
	Boot: 4 * time.Second, Max: 30, Min: 1, SpotPrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.2},
}

// world plays a platform that carries orders out, and trainers that submit a batch each.
type world struct {
	coming  []arrival
	decider *scaling.Decider
	// lost lets orders take effect without an answer.
	lost    bool
	now     time.Time
	orders  []scaling.Order
	refused map[scaling.Pool]bool
	serving map[scaling.Pool]int
	// never keeps ordered servers from coming.
	never bool
}

type arrival struct {
	at    time.Time
	count int
	pool  scaling.Pool
}

func newWorld(standard int) *world {
	w := &world{
		decider: &scaling.Decider{Service: service}, now: time.Unix(1000, 0),
		refused: make(map[scaling.Pool]bool), serving: make(map[scaling.Pool]int),
	}
	for _, zone := range []string{"a", "b", "c"} {
		w.serving[scaling.Pool{Zone: zone}] = standard
	}
	return w
}

// demand returns the demand of three trainers whose last batches had so many items, a share
// of which is unfinished.
func (w *world) demand(items int) scaling.Demand {
	age := w.now.Sub(w.now.Truncate(interval))
	demand := scaling.Demand{Complete: true, Paces: []scaling.Pace{{Busy: 100 * time.Second, Items: 100, Service: service}}}
	for _, model := range []string{"x", "y", "z"} {
		left := max(0, 1-float64(age)/float64(3*time.Second))
		demand.Batches = append(demand.Batches, scaling.Batch{
			Age: age, ID: model + w.now.Truncate(interval).String(), Items: items, Model: model,
			RunTarget: 7500 * time.Millisecond, Service: service, Unfinished: int(left * float64(items)),
		})
	}
	return demand
}

// run plays a time, with a decision each second.
func (w *world) run(length time.Duration, items func() int) (last scaling.Decision) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(time.Second) {
		w.coming = slices.DeleteFunc(w.coming, func(a arrival) bool {
			if !w.now.Before(a.at) {
				w.serving[a.pool] += a.count
				return true
			}
			return false
		})
		demand := w.demand(items())
		for range 3 {
			last = w.decide(demand)
			if !slices.ContainsFunc(last.Orders, func(o scaling.Order) bool { return w.refused[o.Pool] }) {
				break
			}
		}
	}
	return last
}

func (w *world) decide(demand scaling.Demand) scaling.Decision {
	var servers []scaling.Server
	for pool, n := range w.serving {
		servers = append(servers, slices.Repeat([]scaling.Server{{Pool: pool}}, n)...)
	}
	decision := w.decider.Decide(w.now, limits, slots, servers, demand)
	for _, order := range decision.Orders {
		w.orders = append(w.orders, order)
		i := slices.IndexFunc(decision.Counts, func(c scaling.Count) bool { return c.Pool == order.Pool })
		before := decision.Counts[i].Serving + decision.Counts[i].Coming
		w.decider.Record(w.now, order, before, w.carryOut(order), limits)
	}
	return decision
}

func (w *world) carryOut(order scaling.Order) scaling.Outcome {
	if w.refused[order.Pool] {
		return scaling.OutcomeRefused
	}
	have := w.serving[order.Pool]
	for _, a := range w.coming {
		if a.pool == order.Pool {
			have += a.count
		}
	}
	switch {
	case order.Servers > have && !w.never:
		w.coming = append(w.coming, arrival{at: w.now.Add(limits.Boot), count: order.Servers - have, pool: order.Pool})
	case order.Servers < have:
		w.serving[order.Pool] = order.Servers
	}
	if w.lost {
		return scaling.OutcomeUnknown
	}
	return scaling.OutcomeAccepted
}

func (w *world) total() (sum int) {
	for _, n := range w.serving {
		sum += n
	}
	return sum
}

// afterReclaim returns the number of servers without the spot servers of the zone that has
// the most of them.
func (w *world) afterReclaim() int {
	largest := 0
	for pool, n := range w.serving {
		if pool.Spot {
			largest = max(largest, n)
		}
	}
	return w.total() - largest
}

func steady(items int) func() int { return func() int { return items } }

// TestShortage has three trainers whose batches together need three times the slots.
func TestShortage(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	decision := w.run(20*time.Second, steady(150))
	is.True(decision.Want > 15)                // 450 items of a second in half of 7.5 s.
	is.True(w.afterReclaim() >= decision.Want) // The loss of a zone's cheap servers is survived.
	for pool, n := range w.serving {
		is.True(pool.Spot || n == 2) // Cheap servers suffice.
	}
	sent := len(w.orders)
	w.run(60*time.Second, steady(150))
	is.Equal(len(w.orders), sent) // The same demand needs no more orders.
}

// TestPromisedBatches has a trainer whose next batch is due while ordered servers start.
func TestPromisedBatches(t *testing.T) {
	is := is.New(t)
	var forecast scaling.Forecast
	start := time.Unix(1000, 0)
	demand := func(id string, age time.Duration, unfinished int) scaling.Demand {
		return scaling.Demand{Complete: true, Paces: []scaling.Pace{{Busy: time.Second, Items: 1, Service: service}}, Batches: []scaling.Batch{{
			Age: age, ID: id, Items: 100, Model: "x", RunTarget: 7 * time.Second, Service: service, Unfinished: unfinished,
		}}}
	}
	need := forecast.Observe(start, service, demand("1", 0, 100), time.Second)
	is.Equal(need.Promised, 0.0)
	is.True(need.Queued > 20 && need.Queued < 40) // 100 items of a second in half of 7 s.
	need = forecast.Observe(start.Add(4*time.Second), service, demand("2", 0, 100), time.Second)
	is.Equal(need.Promised, 0.0) // The next one is due after four seconds.
	need = forecast.Observe(start.Add(7500*time.Millisecond), service, demand("2", 3500*time.Millisecond, 10), time.Second)
	is.True(need.Promised > 20)
	need = forecast.Observe(start.Add(13*time.Second), service, scaling.Demand{}, time.Second)
	is.Equal(need.Promised, 0.0) // The trainer has stopped.
	is.True(!need.Known)
}

// TestSurplus has trainers that come to need a fifth of what they needed.
func TestSurplus(t *testing.T) {
	is := is.New(t)
	w := newWorld(5)
	w.run(60*time.Second, steady(120))
	before := w.total()
	w.orders = nil
	w.run(28*time.Second, steady(24))
	is.Equal(len(w.orders), 0) // The surplus hasn't lasted.
	w.run(10*time.Second, steady(24))
	is.True(len(w.orders) > 0)
	is.True(w.total() >= before*7/10) // Not all go at once.
	decision := w.run(8*time.Minute, steady(24))
	is.True(w.total() < before/2)
	is.True(w.afterReclaim() >= decision.Want)
	is.True(w.serving[scaling.Pool{Zone: "c"}] < w.serving[scaling.Pool{Zone: "b"}]) // The expensive zone goes first.
	for _, zone := range []string{"a", "b", "c"} {
		is.True(w.serving[scaling.Pool{Zone: zone}]+w.serving[scaling.Pool{Zone: zone, Spot: true}] >= limits.Min)
	}
}

// TestReclaim has a zone lose all its cheap servers, and have no more for a while.
func TestReclaim(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	decision := w.run(20*time.Second, steady(150))
	largest := scaling.Pool{Zone: "a", Spot: true}
	is.True(w.serving[largest] > 0)
	w.serving[largest], w.refused[largest] = 0, true
	is.True(w.total() >= decision.Want) // What is left keeps the steps in time.
	w.orders = nil
	w.run(15*time.Second, steady(150))
	is.True(w.afterReclaim() >= decision.Want) // Another loss would be survived, too.
	w.refused[largest] = false
	tries := 0
	for _, order := range w.orders {
		if order.Pool == largest {
			tries++
		}
	}
	is.True(tries > 0 && tries <= 5)
}

// TestRefusal has no cheap servers in any zone, and none at all in the cheapest one.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	for _, zone := range []string{"a", "b", "c"} {
		w.refused[scaling.Pool{Zone: zone, Spot: true}] = true
	}
	w.refused[scaling.Pool{Zone: "b"}] = true
	w.run(3*time.Second, steady(100))
	is.True(len(w.coming) > 0) // Others were ordered at once.
	decision := w.run(10*time.Second, steady(100))
	is.True(w.total() >= decision.Want)
	is.Equal(w.serving[scaling.Pool{Zone: "b"}], 2)
	for _, n := range w.serving {
		is.True(n <= limits.Max)
	}
}

// TestHolderChange has a new holder of the duties in the middle of a shortage, while ordered
// servers start.
func TestHolderChange(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.run(2*time.Second, steady(150))
	first := slices.Clone(w.orders)
	is.True(len(first) > 0)
	w.decider, w.orders = &scaling.Decider{Service: service}, nil
	w.run(2*time.Second, steady(150))
	for _, order := range w.orders {
		// An order is repeated, not added to.
		is.True(slices.ContainsFunc(first, func(o scaling.Order) bool { return o.Pool == order.Pool && o.Servers >= order.Servers }))
	}
	decision := w.run(10*time.Second, steady(150))
	total := w.total()
	is.True(w.afterReclaim() >= decision.Want)
	w.decider, w.orders = &scaling.Decider{Service: service}, nil
	w.run(9*time.Second, steady(10))
	is.Equal(len(w.orders), 0) // A holder that knows the demand for a moment only takes none away.
	is.Equal(w.total(), total)
}

// TestNoisyDemand has batches whose size changes by a third from one to the next.
func TestNoisyDemand(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	random := rand.New(rand.NewPCG(1, 2))
	size, until := 100, time.Time{}
	noisy := func() int {
		if !w.now.Before(until) {
			size, until = 100+random.IntN(51), w.now.Add(interval)
		}
		return size
	}
	w.run(30*time.Second, noisy)
	w.orders = nil
	w.run(5*time.Minute, noisy)
	is.True(len(w.orders) <= 12) // Three pools, some four changes in five minutes.
}

// TestUnknownOutcome has orders whose answers are lost.
func TestUnknownOutcome(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.lost = true
	decision := w.run(15*time.Second, steady(150))
	first := w.orders[0]
	again := 0
	for _, order := range w.orders {
		if order.Pool == first.Pool && order.Servers == first.Servers {
			again++
		}
	}
	is.True(again >= 2) // The same number, not more.
	is.True(w.afterReclaim() >= decision.Want)
	is.True(w.total() < decision.Want*2)
}

// TestServersThatNeverCome has a platform that accepts orders and starts no servers.
func TestServersThatNeverCome(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.never = true
	w.run(30*time.Second, steady(100))
	standard := false
	for _, order := range w.orders {
		standard = standard || !order.Spot
		is.True(order.Servers <= limits.Max)
	}
	is.True(standard) // Others are tried.
	is.True(len(w.orders) < 30)
}

// TestUnknownNeed has a service of which no item has finished yet.
func TestUnknownNeed(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	demand := w.demand(500)
	demand.Paces = nil
	is.Equal(len(w.decide(demand).Orders), 0)
}

// TestWaitingItems has far more servers than the forecast needs, but items wait for a slot, as
// when most engines don't hold the version that they need.
func TestWaitingItems(t *testing.T) {
	is := is.New(t)
	w := newWorld(20)
	for end := w.now.Add(2 * time.Minute); w.now.Before(end); w.now = w.now.Add(time.Second) {
		demand := w.demand(24)
		demand.Batches[0].Waiting = 1
		w.decide(demand)
	}
	is.Equal(len(w.orders), 0)
	w.run(time.Minute, steady(24))
	is.True(len(w.orders) > 0)
}

// TestRaiseTakesNoServersAway loses the entries of servers that the platform may still count,
// while the demand rises.
func TestRaiseTakesNoServersAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(16)
	w.run(10*time.Second, func() int { return 100 })
	is.Equal(len(w.orders), 0)
	for _, zone := range []string{"a", "b", "c"} {
		w.serving[scaling.Pool{Zone: zone}] -= 5
		w.refused[scaling.Pool{Zone: zone, Spot: true}] = true
	}
	w.run(2*interval, func() int { return 1100 })
	raised := 0
	for _, o := range w.orders {
		if !o.Spot {
			raised++
			is.True(o.Servers >= 16)
		}
	}
	is.True(raised > 0)
}
