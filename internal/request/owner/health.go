package owner

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

const (
	chunkGapGain = 16
	// hungAfter is the number of polls without an answer after which an engine
	// gets no work.
	hungAfter   = 3
	idleWorker  = time.Minute
	pollTimeout = time.Second
	// probes are the times between the questions whether an engine crashed. The
	// listener of a dying process may outlive its connections for a moment.
	probeTimeout = 300 * time.Millisecond
	probeAgain   = 20 * time.Millisecond
	probeCount   = 4

	minStall = time.Second
	maxStall = 15 * time.Second
	// stallGaps is the number of typical gaps between chunks without one that
	// counts as a stall, and stallFirst the number of typical first chunks.
	stallGaps  = 30
	stallFirst = 10
)

var errStalled = errors.New("the engine sent nothing for too long")

// pollPart says what a poll asks an engine.
type pollPart int

const (
	pollLoad pollPart = iota
	pollAll
)

// poll asks the engine for its load and, with pollAll, for its state and cache
// events.
func (w *worker) poll(ctx context.Context, part pollPart) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := w.engine.Load(ctx)
	if err == nil && (part == pollAll || w.isDown()) {
		err = w.pollState(ctx)
	}
	if err != nil {
		w.missed(ctx, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.misses, w.down = 0, false
	if w.version == 0 || load.Version > w.version {
		w.version = load.Version
	}
	w.queue.ObserveLoad(now, load)
	w.next(now)
}

func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// missed takes in a failed poll. An engine that refuses connections is down at
// once, and may have crashed with what it was running; one that doesn't answer
// is down after several polls.
func (w *worker) missed(ctx context.Context, err error) {
	w.mu.Lock()
	w.misses++
	misses, down := w.misses, w.down
	w.mu.Unlock()
	switch {
	case down:
		return
	case refusedConnection(err):
		w.broken(ctx, "")
	case misses < hungAfter:
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner.Logger.Warn("backend server is down", slog.String("server", w.server.ID), slog.String("error", err.Error()))
	w.fall()
}

func refusedConnection(err error) bool {
	e := kind.Of(err)
	return e.Kind == kind.Unavailable && e.Ran == kind.RanNo
}

func (w *worker) pollState(ctx context.Context) error {
	status, err := w.engine.Status(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	restarted := !w.started.IsZero() && !status.StartedAt.Equal(w.started)
	if restarted || status.Version != w.version {
		w.index.Reset()
	}
	w.started, w.version = status.StartedAt, status.Version
	after := w.index.Sequence()
	w.mu.Unlock()
	events, err := w.engine.CacheEvents(ctx, after)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index.Apply(time.Now(), events)
	return nil
}

// incident is a broken connection to an engine, while it is being found out
// whether the engine crashed.
type incident struct {
	attempts map[string]bool
	done     chan struct{}
}

// broken finds out whether the engine crashed, and tells the other nodes of the
// contents that it was running before any of their callers can repeat them. All
// attempts that broke together share one incident.
func (w *worker) broken(ctx context.Context, attempt string) {
	current, mine := w.openIncident(attempt)
	if current == nil {
		return
	}
	if !mine {
		current.wait(ctx)
		return
	}
	defer w.closeIncident(current)
	if !w.crashed(ctx) {
		return
	}
	w.mu.Lock()
	suspects, started := w.suspects(current), w.started
	known := w.crashedLife == poison.CrashID(w.server.ID, started)
	w.crashedLife = poison.CrashID(w.server.ID, started)
	w.mu.Unlock()
	if !known {
		limits := w.owner.poisonLimits(w.server.Service)
		w.owner.Poison.Crashed(ctx, poison.Incident{
			At: time.Now(), ID: poison.CrashID(w.server.ID, started), Limit: limits.CrashLimit,
			QuarantineFor: limits.QuarantineFor, Suspects: suspects,
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fall()
}

// openIncident returns the incident that the attempt belongs to and whether the
// caller has to look into it. It returns none for an engine that is known to be
// down.
func (w *worker) openIncident(attempt string) (current *incident, mine bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.incident != nil:
		return w.incident, false
	case w.down:
		return nil, false
	}
	w.incident = &incident{attempts: make(map[string]bool, len(w.running)), done: make(chan struct{})}
	w.incident.attempts[attempt] = true
	for id := range w.running {
		w.incident.attempts[id] = true
	}
	return w.incident, true
}

func (w *worker) closeIncident(current *incident) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incident = nil
	close(current.done)
}

func (i *incident) wait(ctx context.Context) {
	select {
	case <-i.done:
	case <-ctx.Done():
	}
}

// crashed asks the engine a few times whether it is still the same process. An
// engine that can't be reached at all has not been shown to have crashed.
func (w *worker) crashed(ctx context.Context) bool {
	w.mu.Lock()
	started := w.started
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	for range probeCount {
		status, err := w.engine.Status(ctx)
		switch {
		case err != nil && refusedConnection(err):
			return true
		case err == nil && !started.IsZero() && !status.StartedAt.Equal(started):
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(probeAgain):
		}
	}
	return false
}

// stallAfter returns how long an attempt may go without a chunk.
func (w *worker) stallAfter(first bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if first {
		return min(max(2*minStall, stallFirst*w.slow), 2*maxStall)
	}
	return min(max(minStall, stallGaps*w.chunkGap), maxStall)
}

// pauses reports whether the engine is loading weights, during which it may
// send nothing.
func (w *worker) pauses() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	status, err := w.engine.Status(ctx)
	return err == nil && status.Loading != 0
}
