package loading_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/rollout/loading"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

func engine(id string, version int64) inventory.Server {
	return inventory.Server{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": version}}
}

func TestPlan(t *testing.T) {
	servers := func(versions ...int64) []inventory.Server {
		var servers []inventory.Server
		for i, v := range versions {
			servers = append(servers, engine(string(rune('a'+i)), v))
		}
		return servers
	}
	cases := map[string]struct {
		servers []inventory.Server
		newest  int64
		busy    map[string]bool
		want    []string
	}{
		"no newer version":                   {servers: servers(1, 1, 1, 1), newest: 1},
		"half of the engines load version 2": {servers: servers(1, 1, 1, 1), newest: 2, want: []string{"a", "c"}},
		"the other half loads version 3":     {servers: servers(2, 1, 2, 1), newest: 3, want: []string{"b", "d"}},
		"outdated engines load first":        {servers: servers(3, 3, 1, 3), newest: 4, want: []string{"c", "a"}},
		"busy engine gets no second order":   {servers: servers(1, 1, 1, 1), newest: 2, busy: map[string]bool{"a": true}, want: []string{"c"}},
		"engines hold a newer version":       {servers: servers(5, 5, 5, 5), newest: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, o := range loading.Plan(c.servers, []string{"m"}, map[string]int64{"m": c.newest}, c.busy) {
				is.Equal(o.Version, c.newest)
				got = append(got, o.Server.ID)
			}
			is.Equal(got, c.want)
		})
	}
}

// TestPlanServesEachStep publishes versions of three models faster than each of 12
// engines could load them all. At least four engines must be able to serve each step
// before any of them loads the newest version, and an engine may load no more than
// once per version on average over all models.
func TestPlanServesEachStep(t *testing.T) {
	is := is.New(t)
	var servers []inventory.Server
	for i := range 12 {
		s := engine(string(rune('a'+i)), 1)
		s.Versions = map[string]int64{"m0": 1, "m1": 1, "m2": 1}
		servers = append(servers, s)
	}
	models := []string{"m0", "m1", "m2"}
	loads := 0
	for newest := int64(2); newest <= 11; newest++ {
		for _, model := range models {
			eligible := 0
			for _, s := range servers {
				if s.Versions[model] >= newest-1 {
					eligible++
				}
			}
			is.True(eligible >= 4) // engines that can serve the step before any of them loads
		}
		for {
			orders := loading.Plan(servers, models, map[string]int64{"m0": newest, "m1": newest, "m2": newest}, nil)
			if len(orders) == 0 {
				break
			}
			for _, o := range orders {
				o.Server.Versions[o.Model] = o.Version
				loads++
			}
		}
	}
	is.True(loads <= 10*len(servers)) // one load per version and engine, whatever the number of models
}

// fakeEngines simulates model engines. A load takes 900 ms.
type fakeEngines struct {
	mu          sync.Mutex
	accepted    map[string]int64
	received    map[string][]receivedOrder
	loseReplies bool
	inventory   *inventory.Inventory
}

type receivedOrder struct {
	holder       string
	fencingToken int64
	at           time.Time
}

func (e *fakeEngines) Load(_ context.Context, o loading.Order, a loading.Authority, expected int64) (loading.Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[o.Server.ID] = append(e.received[o.Server.ID], receivedOrder{a.Holder, a.FencingToken, time.Now()})
	if e.accepted[o.Server.ID] != expected {
		return loading.VerdictRefused, nil
	}
	e.accepted[o.Server.ID]++
	server := engine(o.Server.ID, o.Version)
	time.AfterFunc(900*time.Millisecond, func() { e.inventory.Set(server) })
	if e.loseReplies {
		return "", errors.New("reply lost")
	}
	return loading.VerdictAccepted, nil
}

func (e *fakeEngines) Status(_ context.Context, s inventory.Server) (loading.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, _ := e.inventory.Get(s.ID)
	return loading.Status{Orders: e.accepted[s.ID], Versions: current.Versions}, nil
}

// fleet maintains the host list in the store.
type fleet struct {
	store *kvmemory.Store

	mu           sync.Mutex
	disconnected map[string]bool
	stops        map[string]func()
}

func newFleet() *fleet {
	return &fleet{disconnected: make(map[string]bool), stops: make(map[string]func()), store: &kvmemory.Store{}}
}

// setHosts adds and removes hosts, so that the host list holds exactly the
// given ones.
func (f *fleet) setHosts(t *testing.T, hosts ...string) {
	t.Helper()
	for id, stop := range f.stops {
		if !slices.Contains(hosts, id) {
			stop()
			f.store.Remove(roster.Prefix + id)
			delete(f.stops, id)
		}
	}
	for _, id := range hosts {
		if f.stops[id] != nil {
			continue
		}
		r := &roster.Roster{Logger: slog.New(slog.DiscardHandler), Self: roster.Host{ID: id, Incarnation: id}, Store: f.store}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = r.Run(ctx) })
		f.stops[id] = func() {
			cancel()
			group.Wait()
		}
	}
	synctest.Wait()
}

// setDisconnected sets whether the registry fails the calls of host.
func (f *fleet) setDisconnected(host string, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected[host] = disconnected
}

// unreliableRegistry is a registry that fails the calls of disconnected hosts.
type unreliableRegistry struct {
	*loading.StoreRegistry

	fleet *fleet
}

func (r unreliableRegistry) checkConnected() error {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.fleet.disconnected[r.Self] {
		return fmt.Errorf("host %s is disconnected from the store", r.Self)
	}
	return nil
}

func (r unreliableRegistry) Permit(ctx context.Context) (loading.Permit, error) {
	if err := r.checkConnected(); err != nil {
		return loading.Permit{}, err
	}
	return r.StoreRegistry.Permit(ctx)
}

func (r unreliableRegistry) RecordOrders(ctx context.Context, permit loading.Permit, engines []string, now time.Time) (int64, error) {
	if err := r.checkConnected(); err != nil {
		return 0, err
	}
	return r.StoreRegistry.RecordOrders(ctx, permit, engines, now)
}

const spacing = 3 * time.Second

func newController(self string, f *fleet, e *fakeEngines) *loading.Controller {
	cfg := &config.Config{Services: map[string]config.Service{"s": {Name: "s", Models: []string{"m"}}}}
	return &loading.Controller{
		Config: func() *config.Config { return cfg }, Engines: e, Inventory: e.inventory,
		Logger: slog.New(slog.DiscardHandler), Self: self, Spacing: spacing,
		Registry: unreliableRegistry{StoreRegistry: &loading.StoreRegistry{Self: self, Store: f.store}, fleet: f},
	}
}

// TestOrdersOfTwoHostsAreSpaced changes the owners of engines while versions
// are published: a host loses its connection to the store and its entry, and
// later returns. Two hosts must not send orders to the same engine within the
// spacing, and the fencing tokens must not decrease.
func TestOrdersOfTwoHostsAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngines{accepted: map[string]int64{}, received: map[string][]receivedOrder{}, inventory: &inventory.Inventory{}}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			e.inventory.Set(engine(id, 1))
		}
		f := newFleet()
		defer f.setHosts(t)
		f.setHosts(t, "h1", "h2", "h3")
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var controllers []*loading.Controller
		for _, id := range []string{"h1", "h2", "h3"} {
			c := newController(id, f, e)
			c.SetHosts([]string{"h1", "h2", "h3"})
			controllers = append(controllers, c)
			group.Go(func() { _ = c.Run(ctx) })
		}
		for version := int64(2); version < 30; version++ {
			for _, c := range controllers {
				c.SetNewestVersion("m", version)
			}
			time.Sleep(2 * time.Second)
			switch version {
			case 8: // h1 is disconnected, its entry expires, and the others receive the new list
				f.setDisconnected("h1", true)
				f.setHosts(t, "h2", "h3")
				controllers[1].SetHosts([]string{"h2", "h3"})
				controllers[2].SetHosts([]string{"h2", "h3"})
			case 15:
				f.setDisconnected("h1", false)
				f.setHosts(t, "h1", "h2", "h3")
				for _, c := range controllers {
					c.SetHosts([]string{"h1", "h2", "h3"})
				}
			}
		}
		cancel()
		group.Wait()
		orders := 0
		for id, list := range e.received {
			for i := 1; i < len(list); i++ {
				orders++
				if list[i].holder != list[i-1].holder {
					is.True(list[i].at.Sub(list[i-1].at) >= spacing) // spacing of orders from two hosts
				}
				if list[i].fencingToken < list[i-1].fencingToken {
					t.Errorf("engine %s: fencing token %d after %d", id, list[i].fencingToken, list[i-1].fencingToken)
				}
			}
		}
		is.True(orders > 20)
	})
}

// TestUnobservedOwnerChangeKeepsSpacing lets host h1 join, send orders and
// leave again. Host h2 receives no change of the host list until h1 has left.
// It must then read the last orders again before it sends orders.
func TestUnobservedOwnerChangeKeepsSpacing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngines{accepted: map[string]int64{}, received: map[string][]receivedOrder{}, inventory: &inventory.Inventory{}}
		for _, id := range []string{"a", "b", "c", "d"} {
			e.inventory.Set(engine(id, 1))
		}
		f := newFleet()
		defer f.setHosts(t)
		both, one := []string{"h1", "h2"}, []string{"h2"}
		f.setHosts(t, both...)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		first, second := newController("h1", f, e), newController("h2", f, e)
		var version int64 = 1
		publish := func(controllers ...*loading.Controller) {
			version++
			for _, c := range controllers {
				c.SetNewestVersion("m", version)
			}
		}
		for _, c := range []*loading.Controller{first, second} {
			c.SetHosts(both)
			group.Go(func() { _ = c.Run(ctx) })
		}
		for range 4 {
			publish(first, second)
			time.Sleep(2 * time.Second)
		}
		f.setHosts(t, one...)
		second.SetHosts(one)
		time.Sleep(time.Second)
		f.setHosts(t, both...)
		first.SetHosts(both)
		for range 3 {
			publish(first) // The other host does not receive the versions either.
			time.Sleep(1500 * time.Millisecond)
		}
		f.setHosts(t, one...)
		first.SetHosts(one)
		second.SetHosts(one)
		for range 8 {
			publish(second)
			time.Sleep(time.Second)
		}
		cancel()
		group.Wait()
		changes := 0
		for id, list := range e.received {
			for i := 1; i < len(list); i++ {
				if list[i].holder != list[i-1].holder {
					changes++
					if apart := list[i].at.Sub(list[i-1].at); apart < spacing {
						t.Errorf("engine %s got orders from two hosts within %s, want at least %s", id, apart, spacing)
					}
				}
			}
		}
		is.True(changes > 0)
	})
}

// TestRecordOrdersRejectsOutdatedPermit adds a host between the permit and the
// recording of an order, and then removes the host that records one. Neither
// order may be recorded.
func TestRecordOrdersRejectsOutdatedPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.setHosts(t)
		f.setHosts(t, "h1")
		registry := &loading.StoreRegistry{Self: "h1", Store: f.store}
		permit, err := registry.Permit(t.Context())
		is.NoErr(err)
		first, err := registry.RecordOrders(t.Context(), permit, []string{"a"}, time.Now())
		is.NoErr(err)
		second, err := registry.RecordOrders(t.Context(), permit, []string{"a"}, time.Now())
		is.NoErr(err)
		is.True(second > first) // each write has a fencing token of its own
		f.setHosts(t, "h1", "h2")
		_, err = registry.RecordOrders(t.Context(), permit, []string{"a"}, time.Now())
		is.True(kind.Is(err, kind.Conflict))
		permit, err = registry.Permit(t.Context())
		is.NoErr(err)
		f.store.Remove(roster.Prefix + "h1")
		_, err = registry.RecordOrders(t.Context(), permit, []string{"b"}, time.Now())
		is.True(kind.Is(err, kind.Conflict))
		orders, err := registry.LastOrders(t.Context())
		is.NoErr(err)
		is.Equal(len(orders), 1)
		is.Equal(orders["a"].Host, "h1")
	})
}

// TestPermitUsesCachedList records orders under the cached host list without a read
// of the store. Once the store has rejected the cached list because a host was
// added, the list is read until a newer one is cached.
func TestPermitUsesCachedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.setHosts(t)
		f.setHosts(t, "h1")
		var reads atomic.Int64
		f.store.Inject(func(method string) kvmemory.Fault {
			if method == "list" {
				reads.Add(1)
			}
			return kvmemory.FaultNone
		})
		cached, err := roster.Read(t.Context(), f.store)
		is.NoErr(err)
		reads.Store(0)
		registry := &loading.StoreRegistry{CachedList: func() roster.List { return cached }, Self: "h1", Store: f.store}
		record := func() ([]string, error) {
			permit, err := registry.Permit(t.Context())
			is.NoErr(err)
			_, err = registry.RecordOrders(t.Context(), permit, []string{"a"}, time.Now())
			return permit.Hosts, err
		}
		_, err = record()
		is.NoErr(err)
		is.Equal(reads.Load(), int64(0))
		f.setHosts(t, "h1", "h2")
		_, err = record()
		is.True(kind.Is(err, kind.Conflict)) // the cached list is outdated
		hosts, err := record()
		is.NoErr(err)
		is.Equal(hosts, []string{"h1", "h2"})
		is.Equal(reads.Load(), int64(1))
		cached, err = roster.Read(t.Context(), f.store)
		is.NoErr(err)
		reads.Store(0)
		_, err = record()
		is.NoErr(err)
		is.Equal(reads.Load(), int64(0)) // the newer cached list is used
	})
}

// TestEngineIsQueriedAfterLostReply loses the replies to all orders. The controller
// must query the engine, and send the next order with the count that it reports.
func TestEngineIsQueriedAfterLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngines{
			accepted: map[string]int64{"a": 7}, received: map[string][]receivedOrder{}, inventory: &inventory.Inventory{}, loseReplies: true,
		}
		e.inventory.Set(engine("a", 1))
		f := newFleet()
		defer f.setHosts(t)
		f.setHosts(t, "h1")
		c := newController("h1", f, e)
		c.SetHosts([]string{"h1"})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = c.Run(ctx) })
		for version := int64(2); version <= 6; version++ {
			c.SetNewestVersion("m", version)
			time.Sleep(6 * time.Second)
		}
		cancel()
		group.Wait()
		held, _ := e.inventory.Get("a")
		is.True(held.Versions["m"] >= 5)                       // the engine follows the newest versions
		is.Equal(len(e.received["a"]), int(e.accepted["a"]-7)) // no order was refused
	})
}

// delayedRegistry returns late from RecordOrders, as if the process had been paused.
type delayedRegistry struct {
	loading.OrderRegistry

	delay time.Duration
}

func (r delayedRegistry) RecordOrders(ctx context.Context, permit loading.Permit, engines []string, now time.Time) (int64, error) {
	fencingToken, err := r.OrderRegistry.RecordOrders(ctx, permit, engines, now)
	time.Sleep(r.delay)
	return fencingToken, err
}

// TestOrderIsNotSentWithExpiredPermit delays the controller between the permit and the
// order. After 5 s the permit has expired and no order may be sent.
func TestOrderIsNotSentWithExpiredPermit(t *testing.T) {
	for name, tc := range map[string]struct {
		delay time.Duration
		want  bool
	}{"within maximum age": {400 * time.Millisecond, true}, "expired": {5 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &fakeEngines{accepted: map[string]int64{}, received: map[string][]receivedOrder{}, inventory: &inventory.Inventory{}}
				e.inventory.Set(engine("a", 1))
				f := newFleet()
				defer f.setHosts(t)
				f.setHosts(t, "h1")
				c := newController("h1", f, e)
				c.Registry = delayedRegistry{OrderRegistry: c.Registry, delay: tc.delay}
				c.SetHosts([]string{"h1"})
				c.SetNewestVersion("m", 3)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				is.NoErr(c.Run(ctx))
				is.Equal(len(e.received["a"]) > 0, tc.want)
			})
		})
	}
}

// TestOnlyTheOwnerReadsLastOrders runs each of 40 hosts, of which six are
// controller hosts. Only the owner of the engine may read its last order. The
// owner needs it before it sends its first order to the engine.
func TestOnlyTheOwnerReadsLastOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var hosts []string
		for i := range 40 {
			hosts = append(hosts, fmt.Sprintf("h%02d", i))
		}
		owners := 0
		for _, id := range hosts {
			e := &fakeEngines{accepted: map[string]int64{}, received: map[string][]receivedOrder{}, inventory: &inventory.Inventory{}}
			e.inventory.Set(engine("a", 1))
			f := newFleet()
			registry := &countingRegistry{}
			c := newController(id, f, e)
			c.Registry = registry
			c.SetHosts(hosts)
			c.SetNewestVersion("m", 3)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			is.NoErr(c.Run(ctx))
			cancel()
			if registry.lastOrderReads > 0 {
				owners++
			}
		}
		is.Equal(owners, 1) // an engine has one owner
	})
}

// countingRegistry counts the reads of last orders and returns no permit.
type countingRegistry struct{ lastOrderReads int }

func (*countingRegistry) Permit(context.Context) (loading.Permit, error) {
	return loading.Permit{}, errors.New("no permit")
}

func (*countingRegistry) RecordOrders(context.Context, loading.Permit, []string, time.Time) (int64, error) {
	return 0, errors.New("no permit")
}

func (r *countingRegistry) LastOrders(context.Context) (map[string]loading.LastOrder, error) {
	r.lastOrderReads++
	return nil, nil
}

// BenchmarkReconcile measures one reconciliation on a controller host in a fleet of
// the planned size.
func BenchmarkReconcile(b *testing.B) {
	var hosts []string
	for i := range 720 {
		hosts = append(hosts, fmt.Sprintf("h%03d", i))
	}
	inv := &inventory.Inventory{}
	for i := range 2200 {
		inv.Set(engine(fmt.Sprintf("e%04d", i), 3))
	}
	c := newController("h000", newFleet(), &fakeEngines{accepted: map[string]int64{}, received: map[string][]receivedOrder{}, inventory: inv})
	loading.Prepare(c, hosts)
	for b.Loop() {
		loading.Reconcile(b.Context(), c)
	}
}

// laggingEngines are engines whose entries in the store show a load long after its end.
type laggingEngines struct {
	inventory *inventory.Inventory
	// entryLag is the time from the end of a load to the entry that shows it.
	entryLag time.Duration

	mu     sync.Mutex
	held   map[string]int64
	orders []time.Time
}

func (e *laggingEngines) Load(_ context.Context, o loading.Order, _ loading.Authority, _ int64) (loading.Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, time.Now())
	time.AfterFunc(900*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.held[o.Server.ID] = o.Version
	})
	time.AfterFunc(900*time.Millisecond+e.entryLag, func() { e.inventory.Set(engine(o.Server.ID, o.Version)) })
	return loading.VerdictAccepted, nil
}

func (e *laggingEngines) Status(_ context.Context, s inventory.Server) (loading.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.held[s.ID]
	busy := len(e.orders) > 0 && time.Since(e.orders[len(e.orders)-1]) < 900*time.Millisecond
	return loading.Status{Busy: busy, Orders: int64(len(e.orders)), Versions: map[string]int64{"m": held}}, nil
}

// TestEndOfLoadIsNotAwaitedFromEntry publishes two versions in quick succession, as a
// trainer does that catches up, while the engine's entry shows a load only a second after
// its end. The second load has to follow the first one closely.
func TestEndOfLoadIsNotAwaitedFromEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &laggingEngines{entryLag: time.Second, held: map[string]int64{"a": 1}, inventory: &inventory.Inventory{}}
		e.inventory.Set(engine("a", 1))
		f := newFleet()
		defer f.setHosts(t)
		f.setHosts(t, "h1")
		c := newController("h1", f, &fakeEngines{inventory: e.inventory})
		c.Engines = e
		c.SetHosts([]string{"h1"})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = c.Run(ctx) })
		c.SetNewestVersion("m", 3)
		time.Sleep(spacing + 2*time.Second) // a new owner waits out the orders of the one before
		c.SetNewestVersion("m", 5)
		time.Sleep(500 * time.Millisecond)
		c.SetNewestVersion("m", 7)
		time.Sleep(5 * time.Second)
		cancel()
		group.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(len(e.orders), 3)
		is.True(e.orders[2].Sub(e.orders[1]) < 1500*time.Millisecond)
	})
}
