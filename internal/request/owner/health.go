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
	// averageDivisor sets the weight of a new sample in a moving average to
	// 1/averageDivisor.
	averageDivisor = 16
	// maxFailedPolls is the number of consecutive polls without an answer after
	// which an engine counts as down.
	maxFailedPolls   = 3
	queueIdleTimeout = time.Minute
	pollTimeout      = time.Second
	// The probe constants bound a crash check. Several probes are sent because the
	// listener of a dying process may briefly outlive its connections.
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 20 * time.Millisecond
	probeCount    = 4

	// The stall timeout is between minStallTimeout and maxStallTimeout. Both are
	// doubled for the first chunk.
	minStallTimeout = time.Second
	maxStallTimeout = 15 * time.Second
	// An attempt is stalled after stallChunkGaps times the average time between
	// chunks, or stallFirstChunks times the average time to the first chunk.
	stallChunkGaps   = 30
	stallFirstChunks = 10
)

var errStalled = errors.New("the engine sent no chunk within the stall timeout")

// pollScope selects what a poll asks an engine for.
type pollScope int

const (
	pollLoad pollScope = iota
	pollAll
)

// poll asks the engine for its load and, for pollAll or if the engine is down, for
// its state and cache events.
func (q *engineQueue) poll(ctx context.Context, scope pollScope) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := q.engine.Load(ctx)
	if err == nil && (scope == pollAll || q.isDown()) {
		err = q.pollState(ctx)
	}
	if err != nil {
		q.pollFailed(ctx, err)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.failedPolls, q.down = 0, false
	if q.weightVersion == 0 || load.Version > q.weightVersion {
		q.weightVersion = load.Version
	}
	q.admission.ObserveLoad(now, load)
	q.startNext(now)
}

func (q *engineQueue) isDown() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.down
}

// pollFailed records a failed poll. An engine that refuses connections is down at
// once, and a crash check finds out whether it crashed. One that does not answer is
// down after maxFailedPolls polls.
func (q *engineQueue) pollFailed(ctx context.Context, err error) {
	q.mu.Lock()
	q.failedPolls++
	failures, down := q.failedPolls, q.down
	q.mu.Unlock()
	switch {
	case down:
		return
	case refusedConnection(err):
		q.handleBrokenConnection(ctx, "")
	case failures < maxFailedPolls:
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owner.Logger.Warn("backend server is down", slog.String("server", q.server.ID), slog.String("error", err.Error()))
	q.markDown()
}

func refusedConnection(err error) bool {
	e := kind.Of(err)
	return e.Kind == kind.Unavailable && e.Ran == kind.RanNo
}

func (q *engineQueue) pollState(ctx context.Context) error {
	status, err := q.engine.Status(ctx)
	if err != nil {
		return err
	}
	q.mu.Lock()
	restarted := !q.engineStarted.IsZero() && !status.StartedAt.Equal(q.engineStarted)
	if restarted || status.Version != q.weightVersion {
		q.cacheIndex.Reset()
	}
	q.engineStarted, q.weightVersion = status.StartedAt, status.Version
	after := q.cacheIndex.Sequence()
	q.mu.Unlock()
	events, err := q.engine.CacheEvents(ctx, after)
	if err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cacheIndex.Apply(time.Now(), events)
	return nil
}

// crashCheck finds out whether an engine crashed after a connection to it broke.
type crashCheck struct {
	// attempts holds the IDs of the attempts that were running when it began.
	attempts map[string]bool
	done     chan struct{}
}

// handleBrokenConnection checks whether the engine crashed. If so, it reports the
// contents that the engine was running to the other nodes, before any of their
// callers can retry them, and marks the engine as down. Attempts that break at the
// same time share one check. The attempt ID is empty after a failed poll.
func (q *engineQueue) handleBrokenConnection(ctx context.Context, attempt string) {
	check, leads := q.beginCrashCheck(attempt)
	if check == nil {
		return
	}
	if !leads {
		check.wait(ctx)
		return
	}
	defer q.endCrashCheck(check)
	if !q.probeCrash(ctx) {
		return
	}
	q.mu.Lock()
	suspects, started := q.suspects(check), q.engineStarted
	known := q.reportedCrash == poison.CrashID(q.server.ID, started)
	q.reportedCrash = poison.CrashID(q.server.ID, started)
	q.mu.Unlock()
	if !known {
		limits := q.owner.poisonLimits(q.server.Service)
		q.owner.Poison.ReportCrash(ctx, poison.Incident{
			At: time.Now(), ID: poison.CrashID(q.server.ID, started), Limit: limits.CrashLimit,
			QuarantineFor: limits.QuarantineFor, Suspects: suspects,
		})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.markDown()
}

// beginCrashCheck returns the crash check that covers the attempt, and true if the
// caller has to carry it out. It returns nil for an engine that is known to be down.
func (q *engineQueue) beginCrashCheck(attempt string) (check *crashCheck, leads bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.crashCheck != nil:
		return q.crashCheck, false
	case q.down:
		return nil, false
	}
	q.crashCheck = &crashCheck{attempts: make(map[string]bool, len(q.running)), done: make(chan struct{})}
	q.crashCheck.attempts[attempt] = true
	for id := range q.running {
		q.crashCheck.attempts[id] = true
	}
	return q.crashCheck, true
}

func (q *engineQueue) endCrashCheck(check *crashCheck) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashCheck = nil
	close(check.done)
}

func (c *crashCheck) wait(ctx context.Context) {
	select {
	case <-c.done:
	case <-ctx.Done():
	}
}

// probeCrash asks the engine up to probeCount times whether it is still the same
// process. It returns true if the engine refuses connections or has restarted, and
// false otherwise: that an engine cannot be reached does not show that it crashed.
func (q *engineQueue) probeCrash(ctx context.Context) bool {
	q.mu.Lock()
	started := q.engineStarted
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	for range probeCount {
		status, err := q.engine.Status(ctx)
		switch {
		case err != nil && refusedConnection(err):
			return true
		case err == nil && !started.IsZero() && !status.StartedAt.Equal(started):
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(probeInterval):
		}
	}
	return false
}

// stallTimeout returns how long an attempt may wait for its first or next chunk.
func (q *engineQueue) stallTimeout(first bool) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if first {
		return min(max(2*minStallTimeout, stallFirstChunks*q.timeToFirstChunk), 2*maxStallTimeout)
	}
	return min(max(minStallTimeout, stallChunkGaps*q.chunkGap), maxStallTimeout)
}

// loadsWeights reports whether the engine is loading weights, during which it may
// send no chunks.
func (q *engineQueue) loadsWeights() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	status, err := q.engine.Status(ctx)
	return err == nil && status.Loading != 0
}
