package idempotency

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	// flushTimeout bounds the time to write the remaining records when the entry
	// host stops.
	flushTimeout = 2 * time.Second
	// maxQueuedJobs bounds the records that wait to be written. If the queue is
	// full, the record of an attempt stays an intent, and repeated requests get an
	// error of kind outcome-unknown.
	maxQueuedJobs = 4096
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxRetryTime is how long a failed write of a record is retried.
	maxRetryTime = 10 * time.Minute
	// concurrentWrites is the number of records that are written at a time.
	concurrentWrites = 64
)

// writeJob is the write of a record over the intent of the same attempt.
type writeJob struct {
	done   chan struct{}
	item   Item
	record Record
}

// Run runs the committer and writes the final records of attempts until ctx is done.
// It then writes the remaining records within flushTimeout.
func (g *Guard) Run(ctx context.Context) error {
	commitCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var committer errgroup.Group
	committer.Go(func() error { return g.Committer.Run(commitCtx) })
	jobs := g.jobQueue()
	var group errgroup.Group
	for range concurrentWrites {
		group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					g.flushJobs(ctx, jobs)
					return nil
				case j := <-jobs:
					g.writeRecord(ctx, j)
				}
			}
		})
	}
	err := group.Wait()
	stop()
	return errors.Join(err, committer.Wait())
}

func (g *Guard) jobQueue() chan *writeJob {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writeQueue == nil {
		g.writeQueue = make(chan *writeJob, maxQueuedJobs)
	}
	return g.writeQueue
}

func (g *Guard) enqueue(j *writeJob) {
	select {
	case g.jobQueue() <- j:
	default:
		g.Logger.Warn("idempotency record dropped because the write queue is full", slog.String("state", string(j.record.State)))
		g.finishJob(j)
	}
}

func (g *Guard) finishJob(j *writeJob) {
	g.endAttempt(j.record.Attempt)
	close(j.done)
}

func (g *Guard) flushJobs(ctx context.Context, jobs <-chan *writeJob) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for {
		select {
		case j := <-jobs:
			g.writeRecord(ctx, j)
		default:
			return
		}
	}
}

// writeRecord writes the record. It retries until the record is written, another
// record has replaced the intent, or maxRetryTime or the retention has passed.
func (g *Guard) writeRecord(ctx context.Context, j *writeJob) {
	defer g.finishJob(j)
	value, err := j.record.encode()
	if err != nil {
		g.Logger.ErrorContext(ctx, "idempotency record not encoded", slog.Any("error", err))
		return
	}
	j.item.Value = value
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minRetryDelay, maxRetryDelay
	_, err = backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, g.replaceIntent(ctx, j) },
		backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(min(maxRetryTime, j.item.Retention)))
	if err != nil {
		g.Logger.WarnContext(ctx, "idempotency record not written", slog.Any("error", err))
	}
}

// replaceIntent writes the record if the key still holds the intent of the same
// attempt.
func (g *Guard) replaceIntent(ctx context.Context, j *writeJob) error {
	ctx, cancel := context.WithTimeout(ctx, g.intentTimeout())
	defer cancel()
	for {
		outcome, err := g.commit(ctx, j.item)
		if err != nil || outcome.Committed {
			return err
		}
		current, err := decode(outcome.Current.Value)
		if err != nil {
			return backoff.Permanent(err)
		}
		if current.Attempt != j.record.Attempt || current.State != StateIntent {
			return backoff.Permanent(kind.New(kind.Conflict, "attempt %q found a record of attempt %q in state %q instead of its intent",
				j.record.Attempt, current.Attempt, current.State))
		}
		j.item.ModRevision = outcome.Current.ModRevision
	}
}
