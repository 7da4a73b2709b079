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

var testDialect = dialect.Dialect{
	BudgetMillis: "Budget", ExpectServer: "Expect-Server", Load: "Load", NotRun: "Not-Run",
	ResumeAfter: "Resume-After", Signature: "Stamp", WeightVersion: "Weight-Version",
}

// engineServer is a model engine that streams the events of an item, numbered from 1 on.
type engineServer struct {
	*httptest.Server

	// handle reports whether it has answered the request itself; it may be nil.
	handle func(w http.ResponseWriter, r *http.Request) bool

	mu sync.Mutex
	// received holds item ID and resume position of each request, as "id@position".
	received []string
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
	if r.ProtoMajor != 1 {
		// The preface of an HTTP/2 connection: a client of a host that had this port before.
		w.WriteHeader(http.StatusHTTPVersionNotSupported)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	item := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.received = append(e.received, item+"@"+r.Header.Get("Resume-After"))
	handle := e.handle
	e.mu.Unlock()
	if handle != nil && handle(w, r) {
		return
	}
	e.stream(w, r, eventsPerItem)
}

// stream writes the events after the one that the request resumes from, up to
// the event numbered last.
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
	return append([]string(nil), e.received...)
}

// host is an entry host's batch service without network listeners.
type host struct {
	inventory *inventory.Inventory
	service   *batchrun.Service
	// stop hands over the batches of the host and ends it; abort ends it only.
	stop, abort func()
}

func newHost(t *testing.T, id string, store *kvmemory.Store, engines ...*engineServer) *host {
	t.Helper()
	return newHostWith(t, id, store, func(*batchrun.Service) {}, engines...)
}

// newHostWith starts a host whose service is modified by configure.
func newHostWith(
	t *testing.T, id string, store *kvmemory.Store, configure func(*batchrun.Service), engines ...*engineServer,
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
		Generation: &generation.Client{Dialect: testDialect, Logger: logger, Plain: &plain.Client{}},
		Rewards:    &forward.Forwarder{Client: &plain.Client{}, Dialect: testDialect, Inventory: inv, Logger: logger, Self: id},
		Self:       batch.Owner{Host: id, Incarnation: "1"},
	}
	index := &batch.Index{Logger: logger, OnHead: runner.HandleHead}
	runner.Index = index
	r := &roster.Roster{Logger: logger, Self: roster.Host{Address: id, ID: id, Incarnation: "1"}, Store: store}
	service := &batchrun.Service{Batches: batches, Index: index, Logger: logger, Roster: r, Runner: runner}
	configure(service)
	runner.Index = service.Index
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
	end := func() {
		cancel()
		_ = group.Wait()
	}
	h := &host{inventory: inv, service: service, abort: func() { once.Do(end) }, stop: func() {
		once.Do(func() {
			r.Leave()
			runner.Drain(context.Background())
			end()
		})
	}}
	t.Cleanup(h.stop)
	return h
}

func sampleBatch(items int) batch.Batch {
	b := batch.Batch{Host: "example", ID: "x", MinVersion: 1, Model: "m", Target: "/r/x", TargetGroups: 1}
	for n := range items {
		b.Items = append(b.Items, batch.Item{
			Body: []byte("body"), Group: "g", ID: fmt.Sprintf("x-i%d", n), Target: "/r/item",
		})
	}
	return b
}

// readAll reads all results of the batch of sampleBatch, waiting for them.
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

func expectedText(item string) string {
	var events []string
	for n := range eventsPerItem {
		events = append(events, fmt.Sprintf("%s-%d", item, n+1))
	}
	return strings.Join(events, "\n")
}

func checkComplete(t *testing.T, results []batch.Result, items int) {
	t.Helper()
	seen := make(map[string]bool)
	for _, r := range results {
		if seen[r.Item] || r.State != batch.StateCompleted || r.Text != expectedText(r.Item) {
			t.Errorf("item %s: got state %s, text %q, duplicate %v; want state %s, text %q, no duplicate",
				r.Item, r.State, r.Text, seen[r.Item], batch.StateCompleted, expectedText(r.Item))
		}
		seen[r.Item] = true
	}
	if len(seen) != items {
		t.Errorf("got results of %d items, want %d", len(seen), items)
	}
}

func TestBatchCompletesAndIsReadAnywhere(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	a, b := newHost(t, "a", store, engine), newHost(t, "b", store, engine)
	is.NoErr(a.service.Submit(t.Context(), sampleBatch(20)))
	is.NoErr(b.service.Submit(t.Context(), sampleBatch(20))) // submitted again to another host
	resultsA, resultsB := readAll(t, a.service), readAll(t, b.service)
	checkComplete(t, resultsA, 20)
	is.Equal(resultsA, resultsB)
	is.Equal(len(engine.requests()), 20) // each item ran once
}

func TestItemResumesOnAnotherEngineAfterFailure(t *testing.T) {
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
		"a rejection": func(_ *engineServer, w http.ResponseWriter, _ *http.Request) {
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
			broken, healthy := newEngine(t), newEngine(t)
			hasFailed := false
			broken.handle = func(w http.ResponseWriter, r *http.Request) bool {
				broken.mu.Lock()
				first := !hasFailed
				hasFailed = true
				broken.mu.Unlock()
				if first {
					fail(broken, w, r)
				}
				return first
			}
			h := newHost(t, "a", &kvmemory.Store{}, broken, healthy)
			is.NoErr(h.service.Submit(t.Context(), sampleBatch(4)))
			checkComplete(t, readAll(t, h.service), 4)
		})
	}
}

// TestItemsCompleteDespiteFailingEngines runs items on one healthy engine and
// two that fail each run immediately. Failing engines have the fewest items in
// flight. Without a back-off after a failure, they would be chosen for every
// item.
func TestItemsCompleteDespiteFailingEngines(t *testing.T) {
	is := is.New(t)
	fail := func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	a, b, healthy := newEngine(t), newEngine(t), newEngine(t)
	a.handle, b.handle = fail, fail
	h := newHost(t, "a", &kvmemory.Store{}, a, b, healthy)
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(12)))
	checkComplete(t, readAll(t, h.service), 12)
}

func TestItemIsDeadOnlyAfterMaxAttempts(t *testing.T) {
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
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(2)))
	for _, r := range readAll(t, h.service) {
		is.Equal(r.State, batch.StateDead)
	}
	runs := strings.Join(engine.requests(), " ")
	is.Equal(strings.Count(runs, "x-i0@"), 3) // the route's maximum attempts
	is.Equal(strings.Count(runs, "x-i1@"), 1) // its failure is permanent
}

// TestTextIsResumedOnlyIfItsStreamIsClosed takes over a batch with a saved partial text.
// If the previous owner released the batch or has restarted, its streams are closed and
// the item is resumed. If the owner is only missing from the roster, its streams may still
// be open, so the item starts over.
func TestTextIsResumedOnlyIfItsStreamIsClosed(t *testing.T) {
	cases := map[string]struct {
		owner batch.Owner
		want  string
	}{
		"released":                {batch.Owner{}, "x-i0@2"},
		"restarted":               {batch.Owner{Host: "a", Incarnation: "0"}, "x-i0@2"},
		"missing from the roster": {batch.Owner{Host: "b", Incarnation: "1"}, "x-i0@"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &kvmemory.Store{}
			engine := newEngine(t)
			batches := &batch.Store{KV: store}
			_, _, err := batches.Accept(t.Context(), sampleBatch(1), c.owner)
			is.NoErr(err)
			is.NoErr(batches.SavePartials(t.Context(), "x", []batch.Partial{
				{Events: []string{"x-i0-1", "x-i0-2"}, Item: "x-i0", LastEvent: "2", Versions: []int64{1}},
			}))
			a := newHost(t, "a", store, engine)
			checkComplete(t, readAll(t, a.service), 1)
			is.Equal(engine.requests(), []string{c.want})
		})
	}
}

// TestReadReturnsWhenBatchIsHandedOver guards against a busy loop in Read: a reader waits
// for results at a host that hands its batch over while the store is unreachable.
func TestReadReturnsWhenBatchIsHandedOver(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	engine.handle = func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	}
	a := newHost(t, "a", store, engine)
	is.NoErr(a.service.Submit(t.Context(), sampleBatch(1)))
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
	is.True(<-read != nil) // the store is unreachable, so the reader has to retry
	is.NoErr(group.Wait())
}

// TestEndedBatchIsNotRunAgain guards against running an ended batch because of
// an outdated head. The host was partitioned from the store, and the head that
// it knows still says that the batch is open and that the host owns it.
func TestEndedBatchIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	logger := slog.New(slog.DiscardHandler)
	batches := &batch.Store{KV: store}
	owner := batch.Owner{Host: "a", Incarnation: "1"}
	head, _, err := batches.Accept(t.Context(), sampleBatch(2), owner)
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
		Generation: &generation.Client{Dialect: testDialect, Logger: logger, Plain: &plain.Client{}},
	}
	index := &batch.Index{Logger: logger, OnHead: runner.HandleHead}
	runner.Index = index
	service := &batchrun.Service{
		Batches: batches, Index: index, Logger: logger, Runner: runner,
		Roster: &roster.Roster{Logger: logger, Self: roster.Host{ID: "a", Incarnation: "1"}, Store: store},
	}
	index.Put(head) // the outdated head
	group, ctx := errgroup.WithContext(t.Context())
	ctx, cancel := context.WithCancel(ctx)
	runner.Start(group)
	group.Go(func() error { return service.Run(ctx) })
	group.Go(func() error { return runner.Run(ctx) })
	for {
		if known, _ := index.Get("x"); known.Ended {
			break // the host has read the current head
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(group.Wait())
	is.Equal(len(engine.requests()), 0)
}

// failingEngines returns engines that fail each run of item x-i0 and report that x-i1
// can never run. There are enough engines for each run to be at another one. hold may
// block a run until its request is cancelled. answers returns how many runs of an item
// were answered.
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

// TestFailedRunsAreBoundedAcrossBatches submits the same items in successive batches, as
// trainers do with groups that were incomplete. Items that always fail must not be run
// without end.
func TestFailedRunsAreBoundedAcrossBatches(t *testing.T) {
	is := is.New(t)
	engines, answers := failingEngines(t, func(*http.Request) {})
	h := newHost(t, "a", &kvmemory.Store{}, engines...)
	for n := range 5 {
		b := sampleBatch(2)
		b.ID = fmt.Sprintf("x%d", n)
		is.NoErr(h.service.Submit(t.Context(), b))
		for _, r := range readAllOf(t, h.service, b.ID) {
			is.Equal(r.State, batch.StateDead)
		}
	}
	is.Equal(answers("x-i0"), 9) // three times the route's maximum attempts
	is.Equal(answers("x-i1"), 3)
}

// TestFailedRunCountIsHandedOver hands over a batch whose item has failed once and is
// running again. The next owner must count that failure.
func TestFailedRunCountIsHandedOver(t *testing.T) {
	is := is.New(t)
	runningAgain := make(chan struct{})
	var runs atomic.Int32
	engines, answers := failingEngines(t, func(r *http.Request) {
		if runs.Add(1) == 2 {
			close(runningAgain)
			<-r.Context().Done()
		}
	})
	store := &kvmemory.Store{}
	first := newHost(t, "a", store, engines...)
	is.NoErr(first.service.Submit(t.Context(), sampleBatch(1)))
	<-runningAgain
	first.stop()
	is.Equal(answers("x-i0"), 1)
	second := newHost(t, "b", store, engines...)
	for n := range 4 {
		b := sampleBatch(1)
		if n > 0 {
			b.ID = fmt.Sprintf("x%d", n)
			is.NoErr(second.service.Submit(t.Context(), b))
		}
		readAllOf(t, second.service, b.ID)
	}
	is.Equal(answers("x-i0"), 9)
}

// TestItemCompletesAfterBrokenRuns breaks the first two runs at each engine, more than the
// route's maximum attempts. Broken runs, unlike failed ones, don't make an item dead.
func TestItemCompletesAfterBrokenRuns(t *testing.T) {
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
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(1)))
	results := readAll(t, h.service)
	is.Equal(results[0].State, batch.StateCompleted)
	is.Equal(results[0].Text, expectedText("x-i0"))
}
