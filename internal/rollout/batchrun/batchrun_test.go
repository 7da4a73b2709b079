package batchrun_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

var headers = dialect.Dialect{
	BudgetMillis: "Budget", ExpectServer: "Expect-Server", Load: "Load", NotRun: "Not-Run",
	ResumeAfter: "Resume-After", Stamp: "Stamp", WeightVersion: "Weight-Version",
}

// engineServer streams events of an item, numbered from 1 on.
type engineServer struct {
	*httptest.Server

	// handle may answer a request itself.
	handle func(w http.ResponseWriter, r *http.Request) bool

	mu   sync.Mutex
	seen []string
}

const eventsPerItem = 6

func newEngine(t *testing.T) *engineServer {
	t.Helper()
	e := &engineServer{}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	item := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.seen = append(e.seen, item+"@"+r.Header.Get("Resume-After"))
	handle := e.handle
	e.mu.Unlock()
	if handle != nil && handle(w, r) {
		return
	}
	e.stream(w, r, eventsPerItem)
}

// stream writes the events up to and including the one numbered last.
func (e *engineServer) stream(w http.ResponseWriter, r *http.Request, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Weight-Version", "1")
	from, _ := strconv.Atoi(r.Header.Get("Resume-After"))
	for n := from + 1; n <= last; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, r.Header.Get("X-Request-Id"), n)
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *engineServer) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.seen...)
}

// host is one host with its service, without listeners.
type host struct {
	inventory *inventory.Inventory
	service   *batchrun.Service
	stop      func()
}

func newHost(t *testing.T, id string, store *kvmemory.Store, engines ...*engineServer) *host {
	t.Helper()
	return newHostWith(t, id, store, func(*batchrun.Service) {}, engines...)
}

// newHostWith starts a host whose service change has changed.
func newHostWith(
	t *testing.T, id string, store *kvmemory.Store, change func(*batchrun.Service), engines ...*engineServer,
) *host {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	inv := &inventory.Inventory{}
	for n, e := range engines {
		inv.Set(inventory.Server{
			Address: strings.TrimPrefix(e.URL, "http://"), ID: fmt.Sprintf("e%d", n), Service: "s", Slots: 4,
			Versions: map[string]int64{"m": 1},
		})
	}
	c := &config.Config{Routes: []config.Route{
		{
			Host: "example", ItemTimeout: time.Hour, MaxAttempts: 3, Prefix: "/r/", Repeat: config.RepeatBatch,
			Targets: []config.Target{{Service: "s", Weight: 1}},
		},
		{
			Host: "example", MaxAttempts: 2, LatencySLO: 50 * time.Millisecond, Prefix: "/score/", Repeat: config.RepeatIdempotent,
			Targets: []config.Target{{Service: "scorers", Weight: 1}}, Timeout: time.Second,
		},
	}}
	batches := &batch.Store{KV: store}
	runner := &batchrun.Runner{
		Batches: batches, Config: func() *config.Config { return c }, Inventory: inv, Logger: logger,
		Generation: &generation.Client{Dialect: headers, Logger: logger, Plain: &plain.Client{}},
		Rewards:    &forward.Forwarder{Client: &plain.Client{}, Dialect: headers, Inventory: inv, Logger: logger, Self: id},
		Self:       batch.Owner{Host: id, Incarnation: "1"},
	}
	index := &batch.Index{Logger: logger, OnHead: runner.Observe}
	runner.OnHead = index.Put
	r := &roster.Roster{Logger: logger, Self: roster.Host{Address: id, ID: id, Incarnation: "1"}, Store: store}
	service := &batchrun.Service{Batches: batches, Index: index, Logger: logger, Roster: r, Runner: runner}
	change(service)
	ctx, cancel := context.WithCancel(context.Background())
	group, groupCtx := errgroup.WithContext(ctx)
	runner.Start(group)
	live := &mirror.Mirror{Logger: logger, Prefix: mirror.LivePrefix, Store: store, OnChange: func(c mirror.Change) {
		r.Apply(c)
		index.Apply(c)
	}}
	for _, run := range []func(context.Context) error{live.Run, r.Run, runner.Run, service.Run} {
		group.Go(func() error { return run(groupCtx) })
	}
	var once sync.Once
	h := &host{inventory: inv, service: service, stop: func() {
		once.Do(func() {
			r.Leave()
			runner.Drain(context.Background())
			cancel()
			_ = group.Wait()
		})
	}}
	t.Cleanup(h.stop)
	return h
}

func sample(items int) batch.Batch {
	b := batch.Batch{Host: "example", ID: "x", MinVersion: 1, Model: "m", Target: "/r/x", TargetGroups: 1}
	for n := range items {
		b.Items = append(b.Items, batch.Item{
			Body: []byte("body"), Group: "g", ID: fmt.Sprintf("x-i%d", n), Target: "/r/item",
		})
	}
	return b
}

// readAll reads the batch of sample until all its results are there.
func readAll(t *testing.T, s *batchrun.Service) []batch.Result {
	t.Helper()
	return readAllOf(t, s, "x")
}

func readAllOf(t *testing.T, s *batchrun.Service, id string) []batch.Result {
	t.Helper()
	var all []batch.Result
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		page, err := s.Read(ctx, id, len(all))
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, page.Results...)
		if len(all) == page.Total {
			return all
		}
	}
}

func text(item string) string {
	var events []string
	for n := range eventsPerItem {
		events = append(events, fmt.Sprintf("%s-%d", item, n+1))
	}
	return strings.Join(events, "\n")
}

func checkWhole(t *testing.T, results []batch.Result, items int) {
	t.Helper()
	seen := make(map[string]bool)
	for _, r := range results {
		if seen[r.Item] || r.State != batch.StateCompleted || r.Text != text(r.Item) {
			t.Errorf("item %s: state %s, text %q, seen before %v", r.Item, r.State, r.Text, seen[r.Item])
		}
		seen[r.Item] = true
	}
	if len(seen) != items {
		t.Errorf("%d items of %d", len(seen), items)
	}
}

func TestBatchCompletesAndIsReadAnywhere(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	a, b := newHost(t, "a", store, engine), newHost(t, "b", store, engine)
	is.NoErr(a.service.Submit(t.Context(), sample(20)))
	is.NoErr(b.service.Submit(t.Context(), sample(20))) // sent again to another host
	onA, onB := readAll(t, a.service), readAll(t, b.service)
	checkWhole(t, onA, 20)
	is.Equal(onA, onB)
	is.Equal(len(engine.requests()), 20) // each item ran once
}

func TestItemGoesOnElsewhereAfterABreak(t *testing.T) {
	cases := map[string]func(e *engineServer, w http.ResponseWriter, r *http.Request){
		"reset within an event": func(e *engineServer, w http.ResponseWriter, r *http.Request) {
			e.stream(w, r, 3)
			fmt.Fprint(w, "id: 4\ndata: x-i")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"clean end within an event": func(e *engineServer, w http.ResponseWriter, r *http.Request) {
			e.stream(w, r, 3)
			fmt.Fprint(w, "id: 4\ndata: x-i")
		},
		"an answer to another request": func(_ *engineServer, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "another")
			fmt.Fprint(w, "id: 1\ndata: another\n\n")
		},
		"a refusal": func(_ *engineServer, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"a failed run": func(_ *engineServer, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken, sound := newEngine(t), newEngine(t)
			failed := false
			broken.handle = func(w http.ResponseWriter, r *http.Request) bool {
				broken.mu.Lock()
				first := !failed
				failed = true
				broken.mu.Unlock()
				if first {
					fail(broken, w, r)
				}
				return first
			}
			h := newHost(t, "a", &kvmemory.Store{}, broken, sound)
			is.NoErr(h.service.Submit(t.Context(), sample(4)))
			checkWhole(t, readAll(t, h.service), 4)
		})
	}
}

// TestFailingEnginesDoNotKillItems has two engines that fail each run at once,
// and so are always the emptiest, beside a sound one.
func TestFailingEnginesDoNotKillItems(t *testing.T) {
	is := is.New(t)
	fails := func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	a, b, sound := newEngine(t), newEngine(t), newEngine(t)
	a.handle, b.handle = fails, fails
	h := newHost(t, "a", &kvmemory.Store{}, a, b, sound)
	is.NoErr(h.service.Submit(t.Context(), sample(12)))
	checkWhole(t, readAll(t, h.service), 12)
}

func TestItemDiesOnlyAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	engine := newEngine(t)
	engine.handle = func(w http.ResponseWriter, r *http.Request) bool {
		status := http.StatusInternalServerError
		if r.Header.Get("X-Request-Id") == "x-i1" {
			status = http.StatusUnprocessableEntity
		}
		w.WriteHeader(status)
		return true
	}
	h := newHost(t, "a", &kvmemory.Store{}, engine)
	is.NoErr(h.service.Submit(t.Context(), sample(2)))
	for _, r := range readAll(t, h.service) {
		is.Equal(r.State, batch.StateDead)
	}
	runs := strings.Join(engine.requests(), " ")
	is.Equal(strings.Count(runs, "x-i0@"), 3) // as often as the route allows
	is.Equal(strings.Count(runs, "x-i1@"), 1) // it can never be done
}

// TestOnlyClosedStreamsGoOn has kept texts of a batch whose owner before was
// killed and came back, or is only silent: in the second case its streams may be
// open still, so the item begins anew.
func TestOnlyClosedStreamsGoOn(t *testing.T) {
	cases := map[string]struct {
		owner batch.Owner
		want  string
	}{
		"given up":       {batch.Owner{}, "x-i0@2"},
		"came back":      {batch.Owner{Host: "a", Incarnation: "0"}, "x-i0@2"},
		"no longer seen": {batch.Owner{Host: "b", Incarnation: "1"}, "x-i0@"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &kvmemory.Store{}
			engine := newEngine(t)
			batches := &batch.Store{KV: store}
			_, _, err := batches.Accept(t.Context(), sample(1), c.owner)
			is.NoErr(err)
			is.NoErr(batches.SavePartials(t.Context(), "x", []batch.Partial{
				{Events: []string{"x-i0-1", "x-i0-2"}, Item: "x-i0", LastEvent: "2", Versions: []int64{1}},
			}))
			a := newHost(t, "a", store, engine)
			checkWhole(t, readAll(t, a.service), 1)
			is.Equal(engine.requests(), []string{c.want})
		})
	}
}

// TestReaderOfAHandedOverBatch is the load that kept a host busy without end: a
// reader waits at a host that is leaving while the store can't be reached.
func TestReaderOfAHandedOverBatch(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	engine.handle = func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	}
	a := newHost(t, "a", store, engine)
	is.NoErr(a.service.Submit(t.Context(), sample(1)))
	store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
	read := make(chan error)
	var group errgroup.Group
	group.Go(func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := a.service.Read(ctx, "x", 0)
		read <- err
		return nil
	})
	a.stop()
	is.True(<-read != nil) // the store can't tell, so the reader asks again
	is.NoErr(group.Wait())
}

// TestEndedBatchIsNotRunAgain is what the first hunt found: a host that was cut
// off from the store believes that a batch is still its own and open.
func TestEndedBatchIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	logger := slog.New(slog.DiscardHandler)
	batches := &batch.Store{KV: store}
	owner := batch.Owner{Host: "a", Incarnation: "1"}
	head, _, err := batches.Accept(t.Context(), sample(2), owner)
	is.NoErr(err)
	_, err = batches.End(t.Context(), "x", batch.Head{})
	is.NoErr(err)
	inv := &inventory.Inventory{}
	inv.Set(inventory.Server{
		Address: strings.TrimPrefix(engine.URL, "http://"), ID: "e", Service: "s", Slots: 4, Versions: map[string]int64{"m": 1},
	})
	c := &config.Config{Routes: []config.Route{{
		Host: "example", MaxAttempts: 1, Prefix: "/r/", Targets: []config.Target{{Service: "s", Weight: 1}},
	}}}
	runner := &batchrun.Runner{
		Batches: batches, Config: func() *config.Config { return c }, Inventory: inv, Logger: logger, Self: owner,
		Generation: &generation.Client{Dialect: headers, Logger: logger, Plain: &plain.Client{}},
	}
	index := &batch.Index{Logger: logger, OnHead: runner.Observe}
	runner.OnHead = index.Put
	service := &batchrun.Service{
		Batches: batches, Index: index, Logger: logger, Runner: runner,
		Roster: &roster.Roster{Logger: logger, Self: roster.Host{ID: "a", Incarnation: "1"}, Store: store},
	}
	index.Put(head) // what the host believes
	group, ctx := errgroup.WithContext(t.Context())
	ctx, cancel := context.WithCancel(ctx)
	runner.Start(group)
	group.Go(func() error { return service.Run(ctx) })
	group.Go(func() error { return runner.Run(ctx) })
	for {
		if known, _ := index.Get("x"); known.Ended {
			break // the host has learned better
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(group.Wait())
	is.Equal(len(engine.requests()), 0)
}

// failingEngines fail item x-i0 at each run and can never do x-i1. There are so many that
// each run is at another one. hold may keep a run without an answer.
func failingEngines(t *testing.T, hold func(r *http.Request)) (engines []*engineServer, answers func(item string) int) {
	t.Helper()
	var mu sync.Mutex
	failed := make(map[string]int)
	for range 12 {
		e := newEngine(t)
		e.handle = func(w http.ResponseWriter, r *http.Request) bool {
			if hold(r); r.Context().Err() != nil {
				return true
			}
			item, status := r.Header.Get("X-Request-Id"), http.StatusInternalServerError
			if item == "x-i1" {
				status = http.StatusUnprocessableEntity
			}
			mu.Lock()
			failed[item]++
			mu.Unlock()
			w.WriteHeader(status)
			return true
		}
		engines = append(engines, e)
	}
	return engines, func(item string) int {
		mu.Lock()
		defer mu.Unlock()
		return failed[item]
	}
}

// TestItemThatAlwaysFailsIsNotRunForEver submits the same items in one batch after the
// other, as trainers do with groups that were not whole.
func TestItemThatAlwaysFailsIsNotRunForEver(t *testing.T) {
	is := is.New(t)
	engines, answers := failingEngines(t, func(*http.Request) {})
	h := newHost(t, "a", &kvmemory.Store{}, engines...)
	for n := range 5 {
		b := sample(2)
		b.ID = fmt.Sprintf("x%d", n)
		is.NoErr(h.service.Submit(t.Context(), b))
		for _, r := range readAllOf(t, h.service, b.ID) {
			is.Equal(r.State, batch.StateDead)
		}
	}
	is.Equal(answers("x-i0"), 9) // three times what the route allows
	is.Equal(answers("x-i1"), 3)
}

// TestFailedRunsAreKnownToTheNextOwner hands a batch over whose item has failed once and
// is at an engine again.
func TestFailedRunsAreKnownToTheNextOwner(t *testing.T) {
	is := is.New(t)
	again := make(chan struct{})
	var runs atomic.Int32
	engines, answers := failingEngines(t, func(r *http.Request) {
		if runs.Add(1) == 2 {
			close(again)
			<-r.Context().Done()
		}
	})
	store := &kvmemory.Store{}
	first := newHost(t, "a", store, engines...)
	is.NoErr(first.service.Submit(t.Context(), sample(1)))
	<-again
	first.stop()
	is.Equal(answers("x-i0"), 1)
	second := newHost(t, "b", store, engines...)
	for n := range 4 {
		b := sample(1)
		if n > 0 {
			b.ID = fmt.Sprintf("x%d", n)
			is.NoErr(second.service.Submit(t.Context(), b))
		}
		readAllOf(t, second.service, b.ID)
	}
	is.Equal(answers("x-i0"), 9)
}

// TestItemIsOwedAfterCrashes breaks its first runs at each engine.
func TestItemIsOwedAfterCrashes(t *testing.T) {
	is := is.New(t)
	engines := []*engineServer{newEngine(t), newEngine(t)}
	for _, e := range engines {
		e.handle = func(http.ResponseWriter, *http.Request) bool {
			if len(e.requests()) <= 2 {
				panic(http.ErrAbortHandler)
			}
			return false
		}
	}
	h := newHost(t, "a", &kvmemory.Store{}, engines...)
	is.NoErr(h.service.Submit(t.Context(), sample(1)))
	results := readAll(t, h.service)
	is.Equal(results[0].State, batch.StateCompleted)
	is.Equal(results[0].Text, text("x-i0"))
}
