// Package engine is a stand-in for a model engine over HTTP: continuous
// batching, admission in arrival order, a prefix cache of limited size, orders
// that take time, and faults. It counts what it did independently of the
// product.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
)

// The defaults of an engine's model.
const (
	DefaultBatchSlowdown    = 0.02
	DefaultCacheBlocks      = 4096
	DefaultPrefillPerSecond = 200_000
	DefaultSlots            = 8
	DefaultTokensPerSecond  = 2000
)

// Engine is one stand-in.
type Engine struct {
	// Address is where the engine listens; Listen replaces port 0.
	Address string
	// BatchSlowdown is the share by which each further running request
	// lengthens the time of a token.
	BatchSlowdown float64
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// DropEventEvery drops each n-th cache event; zero drops none.
	DropEventEvery int
	// EnforceFence refuses orders with an old fencing number.
	EnforceFence bool
	// EventLag is how late cache events are published.
	EventLag time.Duration
	ID       string
	// LoadLag is the age that a load report may have.
	LoadLag time.Duration
	Logger  *slog.Logger
	Model   string
	// PauseOnSwap produces no tokens while a version is loaded.
	PauseOnSwap bool
	// PoisonMarker crashes the engine when it stands in a prompt.
	PoisonMarker string
	// PrefillPerSecond is the number of uncached prompt tokens read a second.
	PrefillPerSecond float64
	Role             string
	Slots            int
	// SwapTime is how long loading a version takes after its fetch.
	SwapTime time.Duration
	// TokensPerSecond is the speed of one request that runs alone.
	TokensPerSecond float64
	// Version is the weight version at the start and after each restart.
	Version int64
	// Weights is the store that versions are fetched from; nil fetches nothing.
	Weights weightstore.Store

	cache    cache
	faults   faults
	group    errgroup.Group
	down     atomic.Bool
	hung     atomic.Bool
	ledger   ledger
	listener net.Listener
	restart  chan struct{}

	mu      sync.Mutex
	crash   context.CancelCauseFunc
	life    context.Context //nolint:containedctx // It is the life of the process that the engine stands for.
	load    backend.Load
	seen    map[string]bool
	slots   *slots
	status  backend.Status
	streams map[string]*generation
}

// slots are the places for running requests in one life of the process.
type slots struct {
	*semaphore.Weighted
	queued  atomic.Int64
	running atomic.Int64
}

var errCrashed = errors.New("the engine crashed")

// Listen opens the listener, so that Address is known before Run.
func (e *Engine) Listen() error {
	e.setDefaults()
	if err := e.open(); err != nil {
		return err
	}
	e.Address = e.listener.Addr().String()
	return nil
}

func (e *Engine) open() error {
	var err error
	e.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.Address)
	return err
}

func (e *Engine) setDefaults() {
	setDefault(&e.Address, "127.0.0.1:0")
	setDefault(&e.BatchSlowdown, DefaultBatchSlowdown)
	setDefault(&e.CacheBlocks, DefaultCacheBlocks)
	setDefault(&e.Logger, slog.New(slog.DiscardHandler))
	setDefault(&e.PoisonMarker, "[poison]")
	setDefault(&e.PrefillPerSecond, DefaultPrefillPerSecond)
	setDefault(&e.Slots, DefaultSlots)
	setDefault(&e.TokensPerSecond, DefaultTokensPerSecond)
	if e.restart == nil {
		e.restart = make(chan struct{}, 1)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run serves until ctx ends. After a crash it waits for Restart.
func (e *Engine) Run(ctx context.Context) error {
	if e.listener == nil {
		if err := e.Listen(); err != nil {
			return err
		}
	}
	for {
		if crashed := e.serve(ctx); !crashed {
			return nil
		}
		e.ledger.update(func() { e.ledger.crashes++ })
		e.Logger.Info("engine crashed", slog.String("engine", e.ID))
		select {
		case <-ctx.Done():
			return nil
		case <-e.restart:
			e.down.Store(false)
		}
		if err := e.open(); err != nil {
			return err
		}
	}
}

// serve returns true after a crash and false when ctx has ended.
func (e *Engine) serve(ctx context.Context) bool {
	life, crash := context.WithCancelCause(ctx)
	defer crash(nil)
	e.boot(life, crash)
	server := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return life },
		Handler:           e.handler(),
		ReadHeaderTimeout: time.Minute,
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(e.listener) })
	<-life.Done()
	_ = server.Close() // A crash loses the connections.
	_ = group.Wait()   // Serve returns that the server is closed.
	_ = e.group.Wait() // Loads end with the life of the process.
	return errors.Is(context.Cause(life), errCrashed)
}

func (e *Engine) boot(life context.Context, crash context.CancelCauseFunc) {
	e.cache.clear(e)
	e.hung.Store(false)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash = crash
	e.life = life
	e.load = backend.Load{}
	e.seen = map[string]bool{}
	e.slots = &slots{Weighted: semaphore.NewWeighted(int64(e.Slots))}
	e.status = backend.Status{Model: e.Model, Role: e.Role, StartedAt: time.Now(), Version: e.Version}
	e.streams = map[string]*generation{}
}

// Crash ends the listener and all connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	crash := e.crash
	e.mu.Unlock()
	if crash != nil && e.down.CompareAndSwap(false, true) {
		crash(errCrashed)
	}
}

// Restart starts a crashed engine again at its address, with its first version.
func (e *Engine) Restart() {
	if !e.down.Load() {
		return
	}
	select {
	case e.restart <- struct{}{}:
	default:
	}
}

// Hang stops every answer without closing a connection, until it is called
// with false.
func (e *Engine) Hang(hung bool) { e.hung.Store(hung) }

// Inject adds a fault.
func (e *Engine) Inject(fault Fault) { e.faults.add(fault) }

// Truth returns what the engine counted.
func (e *Engine) Truth() Truth { return e.ledger.truth() }

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.PathCompletions, e.complete)
	mux.HandleFunc("POST "+backend.PathChatCompletions, e.complete)
	mux.HandleFunc("POST "+backend.PathCancel, e.cancel)
	mux.HandleFunc("POST "+backend.PathOrders, e.order)
	mux.HandleFunc("GET "+backend.PathCache+"{id}", e.exportCache)
	mux.HandleFunc("PUT "+backend.PathCache+"{id}", e.importCache)
	mux.HandleFunc("GET "+backend.PathCacheEvents, e.cacheEvents)
	mux.HandleFunc("GET "+backend.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.report()) })
	mux.HandleFunc("GET "+backend.PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Status()) })
	hanging := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.waitHung(r.Context()) == nil {
			mux.ServeHTTP(w, r)
		}
	})
	outer := http.NewServeMux()
	outer.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Truth()) })
	outer.HandleFunc("POST /faults", e.injectFault)
	outer.Handle("/", hanging)
	return outer
}

func (e *Engine) injectFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Inject(fault)
}

// waitHung returns when the engine doesn't hang.
func (e *Engine) waitHung(ctx context.Context) error {
	const poll = 10 * time.Millisecond
	for e.hung.Load() {
		if err := sleep(ctx, poll); err != nil {
			return err
		}
	}
	return nil
}

// Status returns what the engine says of itself.
func (e *Engine) Status() backend.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.status
	status.Adapters = append([]string(nil), status.Adapters...)
	return status
}

// report returns a load report that is renewed once it is older than LoadLag.
func (e *Engine) report() backend.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.load.At.IsZero() || now.Sub(e.load.At) >= e.LoadLag {
		e.load = backend.Load{
			At: now, Queued: int(e.slots.queued.Load()), Running: int(e.slots.running.Load()),
			Slots: e.Slots, Version: e.status.Version,
		}
	}
	return e.load
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // The peer is gone when this fails.
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
