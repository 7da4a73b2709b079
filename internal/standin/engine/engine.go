// Package engine implements a stand-in for a model engine over HTTP, with
// continuous batching, admission in order of arrival, a prefix cache of bounded
// size, orders that take time, and injected faults. It records what it did
// independently of the product, so that tests can compare the two.
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

// The default values of the fields of an Engine.
const (
	DefaultBatchSlowdown    = 0.02
	DefaultCacheBlocks      = 4096
	DefaultPrefillPerSecond = 200_000
	DefaultSlots            = 8
	DefaultTokensPerSecond  = 2000
)

// Engine is a stand-in for one model engine.
type Engine struct {
	// Address is where the engine listens; Listen replaces port 0.
	Address string
	// BatchSlowdown is the fraction by which each additional running request
	// increases the time per token.
	BatchSlowdown float64
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// DropEventEvery drops every n-th cache event; zero drops none.
	DropEventEvery int
	// EnforceFence rejects orders whose fencing token is lower than the highest one
	// received.
	EnforceFence bool
	// EventLag is the delay before a cache event is published.
	EventLag time.Duration
	ID       string
	// LoadLag is the age at which a cached load report is renewed.
	LoadLag time.Duration
	Logger  *slog.Logger
	Model   string
	// PauseOnSwap stops the generation of tokens while a version is being loaded.
	PauseOnSwap bool
	// PoisonMarker is the text in a prompt that crashes the engine.
	PoisonMarker string
	// PrefillPerSecond is the number of uncached prompt tokens processed per second.
	PrefillPerSecond float64
	Role             string
	Slots            int
	// SwapTime is the time that loading a version takes once the weight store has it.
	SwapTime time.Duration
	// TokensPerSecond is the generation speed of a request that runs alone.
	TokensPerSecond float64
	// Version is the weight version at startup and after each restart.
	Version int64
	// Weights is the store that must have a version before it is loaded; nil skips
	// this check.
	Weights weightstore.Store

	cache    cache
	faults   faults
	loads    errgroup.Group
	down     atomic.Bool
	hung     atomic.Bool
	recorder recorder
	listener net.Listener
	restart  chan struct{}

	mu             sync.Mutex
	crash          context.CancelCauseFunc
	processCtx     context.Context //nolint:containedctx // It spans the lifetime of the simulated process.
	load           backend.Load
	acceptedOrders map[string]bool
	slots          *slotPool
	status         backend.Status
	generations    map[string]*generation
}

// slotPool limits the running requests during one lifetime of the simulated process.
type slotPool struct {
	*semaphore.Weighted
	queued  atomic.Int64
	running atomic.Int64
}

var errCrashed = errors.New("the engine crashed")

// Listen opens the listener, so that Address is known before Run.
func (e *Engine) Listen() error {
	e.setDefaults()
	if err := e.openListener(); err != nil {
		return err
	}
	e.Address = e.listener.Addr().String()
	return nil
}

func (e *Engine) openListener() error {
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
		if crashed := e.runProcess(ctx); !crashed {
			return nil
		}
		e.recorder.update(func() { e.recorder.crashes++ })
		e.Logger.Info("engine crashed", slog.String("engine", e.ID))
		select {
		case <-ctx.Done():
			return nil
		case <-e.restart:
			e.down.Store(false)
		}
		if err := e.openListener(); err != nil {
			return err
		}
	}
}

// runProcess runs one lifetime of the simulated process. It returns true after a crash
// and false if ctx has ended.
func (e *Engine) runProcess(ctx context.Context) bool {
	processCtx, crash := context.WithCancelCause(ctx)
	defer crash(nil)
	e.resetState(processCtx, crash)
	server := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return processCtx },
		Handler:           e.handler(),
		ReadHeaderTimeout: time.Minute,
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(e.listener) })
	<-processCtx.Done()
	_ = server.Close() // A crash breaks the open connections.
	_ = group.Wait()   // Serve returns http.ErrServerClosed.
	_ = e.loads.Wait() // Loads end with the simulated process.
	return errors.Is(context.Cause(processCtx), errCrashed)
}

func (e *Engine) resetState(processCtx context.Context, crash context.CancelCauseFunc) {
	e.cache.clear(e)
	e.hung.Store(false)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash = crash
	e.processCtx = processCtx
	e.load = backend.Load{}
	e.acceptedOrders = map[string]bool{}
	e.slots = &slotPool{Weighted: semaphore.NewWeighted(int64(e.Slots))}
	e.status = backend.Status{Model: e.Model, Role: e.Role, StartedAt: time.Now(), Version: e.Version}
	e.generations = map[string]*generation{}
}

// Crash closes the listener and all connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	crash := e.crash
	e.mu.Unlock()
	if crash != nil && e.down.CompareAndSwap(false, true) {
		crash(errCrashed)
	}
}

// Restart starts a crashed engine again at the same address, with its initial weight
// version. It does nothing if the engine has not crashed.
func (e *Engine) Restart() {
	if !e.down.Load() {
		return
	}
	select {
	case e.restart <- struct{}{}:
	default:
	}
}

// Hang suspends all responses without closing connections until it is called with
// false.
func (e *Engine) Hang(hung bool) { e.hung.Store(hung) }

// Inject adds a fault for the next requests or orders that match it.
func (e *Engine) Inject(fault Fault) { e.faults.add(fault) }

// GroundTruth returns a snapshot of what the engine has recorded.
func (e *Engine) GroundTruth() GroundTruth { return e.recorder.snapshot() }

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.PathCompletions, e.serveCompletion)
	mux.HandleFunc("POST "+backend.PathChatCompletions, e.serveCompletion)
	mux.HandleFunc("POST "+backend.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+backend.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+backend.PathCache+"{id}", e.serveCacheExport)
	mux.HandleFunc("PUT "+backend.PathCache+"{id}", e.serveCacheImport)
	mux.HandleFunc("GET "+backend.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+backend.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.loadReport()) })
	mux.HandleFunc("GET "+backend.PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Status()) })
	hangHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.waitWhileHung(r.Context()) == nil {
			mux.ServeHTTP(w, r)
		}
	})
	controlMux := http.NewServeMux()
	controlMux.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.GroundTruth()) })
	controlMux.HandleFunc("POST /faults", e.serveFaultInjection)
	controlMux.Handle("/", hangHandler)
	return controlMux
}

func (e *Engine) serveFaultInjection(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Inject(fault)
}

// waitWhileHung blocks while the engine hangs. It returns an error if ctx ends first.
func (e *Engine) waitWhileHung(ctx context.Context) error {
	const poll = 10 * time.Millisecond
	for e.hung.Load() {
		if err := sleep(ctx, poll); err != nil {
			return err
		}
	}
	return nil
}

// Status returns the status that the engine reports.
func (e *Engine) Status() backend.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.status
	status.Adapters = append([]string(nil), status.Adapters...)
	return status
}

// loadReport returns the cached load report, which it renews once the report is
// LoadLag old.
func (e *Engine) loadReport() backend.Load {
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
	_ = json.NewEncoder(w).Encode(value) // Encode fails only if the peer is gone.
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
