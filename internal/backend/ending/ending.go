// Package ending finds out whether the process of a backend server has ended after
// a request that it left without an answer.
package ending

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/guard"
	"github.com/nutmegway/nutmegway/internal/base/probe"
	"github.com/nutmegway/nutmegway/internal/base/wait"
)

const (
	// maxCases bounds the cases under inquiry. Each takes a goroutine that mostly
	// waits.
	maxCases = 256
	// inquiryTime is longer than the three reports after which the platform takes a
	// silent server's entry away.
	inquiryTime = 6 * time.Second
	// restartTime is how long the entry of a server that still listens is looked at. A
	// process that is back at once has told the platform by then, and hosts have heard.
	restartTime = time.Second
	// lookInterval is the time between two looks at the server's entry.
	lookInterval = 100 * time.Millisecond
	// probes are made probeAgain apart: the listener of a process that ends may outlive
	// its connections for a moment.
	probes     = 2
	probeAgain = 50 * time.Millisecond
)

// Prober finds out whether a process listens at an IP address and port.
type Prober interface {
	Probe(ctx context.Context, address string) probe.Result
}

// Servers are the backend servers as the platform lists them.
type Servers interface {
	Get(id string) (inventory.Server, bool)
}

// Case is a server that left a request without an answer.
type Case struct {
	// Broken is set if the connection ended, not the wait for the answer.
	Broken bool
	// Content is the fingerprint of what the server ran.
	Content   uint64
	RequestID string
	// Server is the server as it was when the request was sent.
	Server inventory.Server
}

// life names one start of a server and what it ran.
type life struct {
	content uint64
	id      string
	started int64
}

func (c Case) life() life {
	return life{content: c.Content, id: c.Server.ID, started: c.Server.Started}
}

// evidence is why a server counts as ended; empty means that it doesn't.
type evidence string

const (
	evidenceGone      evidence = "entry-gone"
	evidenceRefused   evidence = "connection-refused"
	evidenceRestarted evidence = "restarted"
)

// Watch looks into cases. The fields are set before Run.
type Watch struct {
	Logger *slog.Logger
	// OnEnded is called for each case whose server has ended; nil isn't. The cases of
	// one start of a server and one content that come together count once.
	OnEnded func(Case)
	Prober  Prober
	Servers Servers

	once  sync.Once
	cases chan Case
	ended metric.Int64Counter

	mu   sync.Mutex
	open map[life]struct{}
}

func (w *Watch) init() {
	w.once.Do(func() {
		w.cases = make(chan Case, maxCases)
		w.open = make(map[life]struct{})
		ended, err := otel.Meter("nutmegway/ending").Int64Counter("nutmegway.ending.servers",
			metric.WithDescription("Backend servers that ended under a request, by evidence."))
		if err != nil {
			w.Logger.Error("metric not made", slog.Any("error", err))
		}
		w.ended = ended
	})
}

// Ask opens a case. It never waits; a case too many is dropped.
func (w *Watch) Ask(c Case) {
	w.init()
	w.mu.Lock()
	_, known := w.open[c.life()]
	full := len(w.open) >= maxCases
	if !known && !full {
		w.open[c.life()] = struct{}{}
	}
	w.mu.Unlock()
	switch {
	case known:
	case full:
		w.Logger.Warn("server not looked into", slog.String("server", c.Server.ID), slog.String("request-id", c.RequestID),
			slog.Int("open", maxCases))
	default:
		w.cases <- c // It has room for all open cases.
	}
}

// Run looks into cases until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	w.init()
	group, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case c := <-w.cases:
			group.Go(func() error {
				// It logs its error, a panic.
				_ = guard.Call(w.Logger, "inquiry into "+c.Server.ID, func() error {
					w.inquire(ctx, c)
					return nil
				})
				return nil
			})
		}
	}
}

func (w *Watch) inquire(ctx context.Context, c Case) {
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.open, c.life())
	}()
	began := time.Now()
	found := w.find(ctx, c)
	if found == "" {
		return
	}
	w.Logger.LogAttrs(ctx, slog.LevelWarn, "server ended under a request", slog.String("server", c.Server.ID),
		slog.String("service", c.Server.Service), slog.String("request-id", c.RequestID), slog.Uint64("content", c.Content),
		slog.String("evidence", string(found)), slog.Duration("after", time.Since(began)))
	if w.ended != nil {
		w.ended.Add(ctx, 1, metric.WithAttributes(attribute.String("evidence", string(found))))
	}
	if w.OnEnded != nil {
		w.OnEnded(c)
	}
}

// find looks for evidence until ctx ends or the server is known to leave as planned.
func (w *Watch) find(ctx context.Context, c Case) evidence {
	ctx, cancel := context.WithTimeout(ctx, inquiryTime)
	defer cancel()
	// A server that is merely slow is not worth a connection.
	if c.Broken {
		last := probe.NoAnswer
		for range probes {
			if last = w.Prober.Probe(ctx, c.Server.Address); last == probe.NotListening {
				return evidenceRefused
			}
			wait.For(ctx, probeAgain)
		}
		if last == probe.Listening {
			ctx, cancel = context.WithTimeout(ctx, restartTime)
			defer cancel()
		}
	}
	for ctx.Err() == nil {
		now, known := w.Servers.Get(c.Server.ID)
		switch {
		case !known:
			return evidenceGone
		case now.Started != c.Server.Started:
			return evidenceRestarted
		case now.Draining:
			return ""
		}
		wait.For(ctx, lookInterval)
	}
	return ""
}
