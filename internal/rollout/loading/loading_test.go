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
	four := func(versions ...int64) []inventory.Server {
		var servers []inventory.Server
		for i, v := range versions {
			servers = append(servers, engine(string(rune('a'+i)), v))
		}
		return servers
	}
	cases := map[string]struct {
		servers []inventory.Server
		named   int64
		busy    map[string]bool
		want    []string
	}{
		"nothing named":                       {servers: four(1, 1, 1, 1), named: 1},
		"half of them load a second version":  {servers: four(1, 1, 1, 1), named: 2, want: []string{"a", "c"}},
		"the other half loads the third":      {servers: four(2, 1, 2, 1), named: 3, want: []string{"b", "d"}},
		"those that serve nobody come first":  {servers: four(3, 3, 1, 3), named: 4, want: []string{"c", "a"}},
		"a busy engine gets no second order":  {servers: four(1, 1, 1, 1), named: 2, busy: map[string]bool{"a": true}, want: []string{"c"}},
		"an engine ahead of the name is left": {servers: four(5, 5, 5, 5), named: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, o := range loading.Plan(c.servers, []string{"m"}, map[string]int64{"m": c.named}, c.busy) {
				is.Equal(o.Version, c.named)
				got = append(got, o.Server.ID)
			}
			is.Equal(got, c.want)
		})
	}
}

// TestPlanServesEachStep plays versions that are named faster than all engines
// could load them, and checks that each step finds enough engines and that no
// more loads are given than one for each second version.
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
	for named := int64(2); named <= 11; named++ {
		for _, model := range models {
			allowed := 0
			for _, s := range servers {
				if s.Versions[model] >= named-1 {
					allowed++
				}
			}
			is.True(allowed >= 4) // engines that serve the step before any of them loads
		}
		for {
			orders := loading.Plan(servers, models, map[string]int64{"m0": named, "m1": named, "m2": named}, nil)
			if len(orders) == 0 {
				break
			}
			for _, o := range orders {
				o.Server.Versions[o.Model] = o.Version
				loads++
			}
		}
	}
	is.True(loads <= 10*len(servers)) // a version has one free load an engine, shared by the models
}

// engines are model engines in memory.
type engines struct {
	mu       sync.Mutex
	accepted map[string]int64
	holders  map[string][]orderAt
	lose     bool
	inv      *inventory.Inventory
}

type orderAt struct {
	holder string
	fence  int64
	at     time.Time
}

func (e *engines) Load(_ context.Context, o loading.Order, a loading.Authority, expected int64) (loading.Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holders[o.Server.ID] = append(e.holders[o.Server.ID], orderAt{a.Holder, a.Fence, time.Now()})
	if e.accepted[o.Server.ID] != expected {
		return loading.VerdictRefused, nil
	}
	e.accepted[o.Server.ID]++
	server := engine(o.Server.ID, o.Version)
	time.AfterFunc(900*time.Millisecond, func() { e.inv.Set(server) })
	if e.lose {
		return "", errors.New("lost")
	}
	return loading.VerdictAccepted, nil
}

func (e *engines) Status(_ context.Context, s inventory.Server) (loading.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, _ := e.inv.Get(s.ID)
	return loading.Status{Orders: e.accepted[s.ID], Versions: current.Versions}, nil
}

// fleet is the list of hosts as the store holds it.
type fleet struct {
	store *kvmemory.Store

	mu    sync.Mutex
	away  map[string]bool
	stops map[string]func()
}

func newFleet() *fleet {
	return &fleet{away: make(map[string]bool), stops: make(map[string]func()), store: &kvmemory.Store{}}
}

// set replaces the list as the hosts' own entries would.
func (f *fleet) set(t *testing.T, hosts ...string) {
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

func (f *fleet) cut(host string, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away[host] = away
}

// register is a ledger behind a path that may be cut.
type register struct {
	*loading.Ledger

	fleet *fleet
}

func (r register) cut() error {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.fleet.away[r.Self] {
		return errors.New("cut off")
	}
	return nil
}

func (r register) Permit(ctx context.Context) (loading.Permit, error) {
	if err := r.cut(); err != nil {
		return loading.Permit{}, err
	}
	return r.Ledger.Permit(ctx)
}

func (r register) Enter(ctx context.Context, permit loading.Permit, engines []string, now time.Time) (int64, error) {
	if err := r.cut(); err != nil {
		return 0, err
	}
	return r.Ledger.Enter(ctx, permit, engines, now)
}

const spacing = 3 * time.Second

func giver(self string, f *fleet, e *engines) *loading.Giver {
	c := &config.Config{Services: map[string]config.Service{"s": {Name: "s", Models: []string{"m"}}}}
	return &loading.Giver{
		Config: func() *config.Config { return c }, Engines: e, Inventory: e.inv,
		Logger: slog.New(slog.DiscardHandler), Self: self, Spacing: spacing,
		Register: register{Ledger: &loading.Ledger{Self: self, Store: f.store}, fleet: f},
	}
}

// TestGiversKeepTheirDistance lets hosts come, go and lose the store while
// versions are named, and checks that two hosts never order one engine within
// the spacing, and that fencing numbers grow.
func TestGiversKeepTheirDistance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engines{accepted: map[string]int64{}, holders: map[string][]orderAt{}, inv: &inventory.Inventory{}}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			e.inv.Set(engine(id, 1))
		}
		f := newFleet()
		defer f.set(t)
		f.set(t, "h1", "h2", "h3")
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var givers []*loading.Giver
		for _, id := range []string{"h1", "h2", "h3"} {
			g := giver(id, f, e)
			g.Observe([]string{"h1", "h2", "h3"})
			givers = append(givers, g)
			group.Go(func() { _ = g.Run(ctx) })
		}
		for version := int64(2); version < 30; version++ {
			for _, g := range givers {
				g.Named("m", version)
			}
			time.Sleep(2 * time.Second)
			switch version {
			case 8: // h1 is cut off; its entry lapses, the others hear of it
				f.cut("h1", true)
				f.set(t, "h2", "h3")
				givers[1].Observe([]string{"h2", "h3"})
				givers[2].Observe([]string{"h2", "h3"})
			case 15:
				f.cut("h1", false)
				f.set(t, "h1", "h2", "h3")
				for _, g := range givers {
					g.Observe([]string{"h1", "h2", "h3"})
				}
			}
		}
		cancel()
		group.Wait()
		orders := 0
		for id, list := range e.holders {
			for i := 1; i < len(list); i++ {
				orders++
				if list[i].holder != list[i-1].holder {
					is.True(list[i].at.Sub(list[i-1].at) >= spacing) // orders of two hosts
				}
				if list[i].fence < list[i-1].fence {
					t.Errorf("engine %s: fencing number %d after %d", id, list[i].fence, list[i-1].fence)
				}
			}
		}
		is.True(orders > 20)
	})
}

// TestHostThatCameAndWentUnseen has a host come back, give an order and leave, while
// another one hears of neither until both are over.
func TestHostThatCameAndWentUnseen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engines{accepted: map[string]int64{}, holders: map[string][]orderAt{}, inv: &inventory.Inventory{}}
		for _, id := range []string{"a", "b", "c", "d"} {
			e.inv.Set(engine(id, 1))
		}
		f := newFleet()
		defer f.set(t)
		both, one := []string{"h1", "h2"}, []string{"h2"}
		f.set(t, both...)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		first, second := giver("h1", f, e), giver("h2", f, e)
		var version int64 = 1
		named := func(givers ...*loading.Giver) {
			version++
			for _, g := range givers {
				g.Named("m", version)
			}
		}
		for _, g := range []*loading.Giver{first, second} {
			g.Observe(both)
			group.Go(func() { _ = g.Run(ctx) })
		}
		for range 4 {
			named(first, second)
			time.Sleep(2 * time.Second)
		}
		f.set(t, one...)
		second.Observe(one)
		time.Sleep(time.Second)
		f.set(t, both...)
		first.Observe(both)
		for range 3 {
			named(first) // The other host has no news of versions either.
			time.Sleep(1500 * time.Millisecond)
		}
		f.set(t, one...)
		first.Observe(one)
		second.Observe(one)
		for range 8 {
			named(second)
			time.Sleep(time.Second)
		}
		cancel()
		group.Wait()
		changes := 0
		for id, list := range e.holders {
			for i := 1; i < len(list); i++ {
				if list[i].holder != list[i-1].holder {
					changes++
					if apart := list[i].at.Sub(list[i-1].at); apart < spacing {
						t.Errorf("engine %s got orders of two hosts within %s", id, apart)
					}
				}
			}
		}
		is.True(changes > 0)
	})
}

// TestEnterNeedsTheListAsRead adds a host between the reading of the list and
// the entry of an order, and takes the own entry away: neither order is entered.
func TestEnterNeedsTheListAsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.set(t)
		f.set(t, "h1")
		ledger := &loading.Ledger{Self: "h1", Store: f.store}
		permit, err := ledger.Permit(t.Context())
		is.NoErr(err)
		first, err := ledger.Enter(t.Context(), permit, []string{"a"}, time.Now())
		is.NoErr(err)
		second, err := ledger.Enter(t.Context(), permit, []string{"a"}, time.Now())
		is.NoErr(err)
		is.True(second > first) // each entry has a fencing number of its own
		f.set(t, "h1", "h2")
		_, err = ledger.Enter(t.Context(), permit, []string{"a"}, time.Now())
		is.True(kind.Is(err, kind.Conflict))
		permit, err = ledger.Permit(t.Context())
		is.NoErr(err)
		f.store.Remove(roster.Prefix + "h1")
		_, err = ledger.Enter(t.Context(), permit, []string{"b"}, time.Now())
		is.True(kind.Is(err, kind.Conflict))
		records, err := ledger.Records(t.Context())
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(records["a"].Host, "h1")
	})
}

// TestPermitUsesTheKnownList orders without reading the list, until a host is
// added of which this one has not heard: then the list is read.
func TestPermitUsesTheKnownList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.set(t)
		f.set(t, "h1")
		var reads atomic.Int64
		f.store.Inject(func(method string) kvmemory.Fault {
			if method == "list" {
				reads.Add(1)
			}
			return kvmemory.FaultNone
		})
		heard, err := roster.Read(t.Context(), f.store)
		is.NoErr(err)
		reads.Store(0)
		ledger := &loading.Ledger{Known: func() roster.List { return heard }, Self: "h1", Store: f.store}
		enter := func() ([]string, error) {
			permit, err := ledger.Permit(t.Context())
			is.NoErr(err)
			_, err = ledger.Enter(t.Context(), permit, []string{"a"}, time.Now())
			return permit.Hosts, err
		}
		_, err = enter()
		is.NoErr(err)
		is.Equal(reads.Load(), int64(0))
		f.set(t, "h1", "h2")
		_, err = enter()
		is.True(kind.Is(err, kind.Conflict)) // the list that was heard of is too old
		hosts, err := enter()
		is.NoErr(err)
		is.Equal(hosts, []string{"h1", "h2"})
		is.Equal(reads.Load(), int64(1))
		heard, err = roster.Read(t.Context(), f.store)
		is.NoErr(err)
		reads.Store(0)
		_, err = enter()
		is.NoErr(err)
		is.Equal(reads.Load(), int64(0)) // the newer one will do again
	})
}

// TestLostAnswerIsAskedFor loses the answers of all orders: the engine is asked
// and the next order has the count that it told.
func TestLostAnswerIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engines{
			accepted: map[string]int64{"a": 7}, holders: map[string][]orderAt{}, inv: &inventory.Inventory{}, lose: true,
		}
		e.inv.Set(engine("a", 1))
		f := newFleet()
		defer f.set(t)
		f.set(t, "h1")
		g := giver("h1", f, e)
		g.Observe([]string{"h1"})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = g.Run(ctx) })
		for version := int64(2); version <= 6; version++ {
			g.Named("m", version)
			time.Sleep(6 * time.Second)
		}
		cancel()
		group.Wait()
		held, _ := e.inv.Get("a")
		is.True(held.Versions["m"] >= 5)                      // the engine follows the named versions
		is.Equal(len(e.holders["a"]), int(e.accepted["a"]-7)) // and no order was refused
	})
}

// delayedRegister enters orders and comes back late, as to a process that was paused.
type delayedRegister struct {
	loading.Register

	delay time.Duration
}

func (r delayedRegister) Enter(ctx context.Context, permit loading.Permit, engines []string, now time.Time) (int64, error) {
	fence, err := r.Register.Enter(ctx, permit, engines, now)
	time.Sleep(r.delay)
	return fence, err
}

// TestAnOldPermissionGivesNoOrder delays a giver for seconds between the permission to
// order an engine and the order, and then no longer.
func TestAnOldPermissionGivesNoOrder(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		want  bool
	}{"in time": {400 * time.Millisecond, true}, "paused": {5 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &engines{accepted: map[string]int64{}, holders: map[string][]orderAt{}, inv: &inventory.Inventory{}}
				e.inv.Set(engine("a", 1))
				f := newFleet()
				defer f.set(t)
				f.set(t, "h1")
				g := giver("h1", f, e)
				g.Register = delayedRegister{Register: g.Register, delay: c.delay}
				g.Observe([]string{"h1"})
				g.Named("m", 3)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				is.NoErr(g.Run(ctx))
				is.Equal(len(e.holders["a"]) > 0, c.want)
			})
		})
	}
}

// TestHostsWithoutOrdersPlanNone has a fleet in which six of 40 hosts give all orders:
// the others neither plan nor ask, and one that becomes a giver reads the register
// before it orders.
func TestHostsWithoutOrdersPlanNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var hosts []string
		for i := range 40 {
			hosts = append(hosts, fmt.Sprintf("h%02d", i))
		}
		giving := 0
		for _, id := range hosts {
			e := &engines{accepted: map[string]int64{}, holders: map[string][]orderAt{}, inv: &inventory.Inventory{}}
			e.inv.Set(engine("a", 1))
			f := newFleet()
			asked := &askedRegister{}
			g := giver(id, f, e)
			g.Register = asked
			g.Observe(hosts)
			g.Named("m", 3)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			is.NoErr(g.Run(ctx))
			cancel()
			if asked.records > 0 {
				giving++
			}
		}
		is.Equal(giving, 1) // one engine has one giver
	})
}

// askedRegister counts the questions for records and permits nothing.
type askedRegister struct{ records int }

func (*askedRegister) Permit(context.Context) (loading.Permit, error) {
	return loading.Permit{}, errors.New("not permitted")
}

func (*askedRegister) Enter(context.Context, loading.Permit, []string, time.Time) (int64, error) {
	return 0, errors.New("not permitted")
}

func (r *askedRegister) Records(context.Context) (map[string]loading.Record, error) {
	r.records++
	return nil, nil
}

// BenchmarkRound is one look at the engines of the planned size, on a host that orders
// some of them.
func BenchmarkRound(b *testing.B) {
	var hosts []string
	for i := range 720 {
		hosts = append(hosts, fmt.Sprintf("h%03d", i))
	}
	inv := &inventory.Inventory{}
	for i := range 2200 {
		inv.Set(engine(fmt.Sprintf("e%04d", i), 3))
	}
	g := giver("h000", newFleet(), &engines{accepted: map[string]int64{}, holders: map[string][]orderAt{}, inv: inv})
	loading.Prepare(g, hosts)
	for b.Loop() {
		loading.Round(b.Context(), g)
	}
}
