package stream

import (
	"context"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/rollout/version"
)

// The reasons why a position becomes void after its commit.
const (
	reasonLost    = "content-lost"
	reasonStale   = "over-staleness-bound"
	reasonTrimmed = "trimmed"
)

// Read calls emit with the lines of the positions from cursor on, in order. It
// returns after limit lines, or when no line is left and wait has passed since
// the call. The cursor acknowledges all positions before it. Each sample is
// checked immediately before emit is called. If it exceeds its staleness bound
// or its content is lost, Read marks the position void and emits the line of
// the void position instead.
func (l *Log) Read(ctx context.Context, cursor int64, limit int, wait time.Duration, emit func(line []byte) error) error {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	l.mu.Lock()
	if cursor < 0 || cursor > l.head.Next {
		next := l.head.Next
		l.mu.Unlock()
		return kind.New(kind.BadRequest, "cursor %d is outside stream %s: want 0 to %d", cursor, l.Name, next)
	}
	l.advanceAcked(cursor)
	l.mu.Unlock()
	l.reportUnread()
	for position := cursor; limit > 0; {
		line, changed, err := l.lineAt(position)
		if err != nil {
			return err
		}
		if line != nil {
			if err := emit(line); err != nil {
				return err
			}
			position++
			limit--
			l.advanceDelivered(position)
			continue
		}
		expired, err := l.waitForChange(ctx, deadline.C, changed)
		if expired || err != nil {
			return err
		}
	}
	return nil
}

// waitForChange waits until a position may have become readable, or reports
// that the deadline has expired. While a reader waits, changes are committed
// without waiting for idleCommitInterval.
func (l *Log) waitForChange(ctx context.Context, deadline <-chan time.Time, changed <-chan struct{}) (expired bool, err error) {
	l.mu.Lock()
	l.readers++
	l.mu.Unlock()
	l.wakeCommitter()
	defer func() {
		l.mu.Lock()
		l.readers--
		l.mu.Unlock()
	}()
	select {
	case <-ctx.Done():
		return true, ctx.Err()
	case <-deadline:
		return true, nil
	case <-changed:
		return false, nil
	}
}

// lineAt returns the line of position, or a channel that is closed when the
// position may have become readable.
func (l *Log) lineAt(position int64) ([]byte, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return nil, nil, l.err
	}
	if !l.Claim.Held() {
		return nil, nil, kind.New(kind.NotOwner, "this host cannot confirm its claim on stream %s", l.Name)
	}
	if position < l.base {
		e := entry{}
		e.markVoid(position, reasonTrimmed)
		return e.line, nil, nil
	}
	i := position - l.base
	if i >= int64(len(l.entries)) {
		return nil, l.changed, nil
	}
	e := &l.entries[i]
	switch {
	case e.void:
		return e.line, nil, nil
	case e.missing:
		l.queueVoid(e, position, reasonLost)
	case !version.WithinBound(e.oldestVersion, l.Published(), e.stalenessBound):
		l.queueVoid(e, position, reasonStale)
	default:
		l.countDelivery(e, position)
		return e.line, nil, nil
	}
	return nil, l.changed, nil
}

// queueVoid queues a position to be marked void by the next commit. Its sample
// is generated again unless the trainer has acknowledged the position. The
// caller holds l.mu.
func (l *Log) queueVoid(e *entry, position int64, reason string) {
	if e.voidQueued {
		return
	}
	e.voidQueued = true
	l.countVoid(reason)
	l.pending.voids = append(l.pending.voids, voidRequest{
		position: position,
		reason:   reason,
		replace:  position >= l.acked,
	})
	l.wakeCommitter()
}

// advanceDelivered records that all positions before position were sent to the
// trainer.
func (l *Log) advanceDelivered(position int64) {
	l.mu.Lock()
	l.delivered = max(l.delivered, position)
	l.mu.Unlock()
	l.reportUnread()
}

// reportUnread passes the number of unread positions to the runner.
func (l *Log) reportUnread() {
	l.mu.Lock()
	unread := int(l.head.Next - max(l.delivered, l.acked))
	l.mu.Unlock()
	l.Runner.SetUnread(unread)
}
