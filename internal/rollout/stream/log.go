// Package stream implements the ordered log of samples of one trainer. A
// position is committed to the key-value service before its content is
// delivered. The content itself stays on the owner and on a second host, in
// memory and, if they have a data folder, on disk. All changes pass through one
// committer, which the claim on the stream fences.
package stream

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

// Claim is the ownership of a stream, which allows its holder to write.
type Claim struct {
	// Condition is true as long as no other host has claimed the stream.
	Condition kv.Condition
	// FencingToken is greater than that of every earlier claim.
	FencingToken int64
	// Held reports whether the claim is known to be valid now.
	Held func() bool
}

// Content is the line of JSON of one position.
type Content struct {
	Line     []byte
	Position int64
}

// Replicas stores copies of contents on this host and on another one.
type Replicas interface {
	// Fetch calls found with each stored copy of a position not below from.
	Fetch(ctx context.Context, name Name, from int64, found func(Content)) error
	// Replicate stores contents and deletes copies of positions below trimBelow.
	// It returns an error if no other host has stored the contents and they are
	// not on this host's disk either.
	Replicate(ctx context.Context, name Name, fencingToken, trimBelow int64, contents []Content) error
}

// Runner generates the samples of accepted groups.
type Runner interface {
	// Add adds a group. The indices of the samples to generate are in wanted, and
	// the lengths in tokens of the group's committed samples are in lengths.
	Add(group sample.Group, wanted, lengths []int)
	// RemoveGroup removes a cancelled or finished group.
	RemoveGroup(groupID string)
	// Regenerate generates a sample again.
	Regenerate(key sample.Key)
	// SetUnread sets the number of committed positions that the trainer has
	// not read.
	SetUnread(unread int)
}

// Log is the stream of one trainer on the host that owns it. The fields are
// set before Load.
type Log struct {
	Claim  Claim
	Logger *slog.Logger
	Name   Name
	// Now is the clock.
	Now func() time.Time
	// Published returns the newest published version of the service's weights.
	Published func() int64
	Replicas  Replicas
	Store     kv.Store
	Runner    Runner

	mu sync.Mutex
	// changed is closed and replaced after each commit and when the log fails.
	changed chan struct{}
	// wake wakes the committer.
	wake chan struct{}
	// err is set when the log has stopped.
	err          error
	head         headRecord
	headRevision int64
	txnCount     int64
	entries      []entry
	segments     []segmentRange
	groups       map[string]*groupState
	orders       map[int64]*orderRecord
	pending      pending
	// voids maps the number of a void record to its highest position.
	voids map[int64]int64
	// base is the position of the first entry.
	base int64
	// acked is the highest cursor of the trainer, which has all positions
	// before it.
	acked    int64
	lastTrim time.Time
	// delivered is the position after the highest one sent to the trainer.
	delivered int64
	// readers is the number of reads that wait for a position.
	readers int
}

// entry is one committed position.
type entry struct {
	stalenessBound int64
	line           []byte
	oldestVersion  int64
	slot           slot
	// missing is set while no copy of the content is known.
	missing bool
	// voidQueued is set while the position waits for the commit that voids it.
	voidQueued bool
	// replaced is set when the sample of a void position is generated again.
	replaced bool
	void     bool
}

// segmentRange is the half-open range of positions of a segment record.
type segmentRange struct {
	from int64
	to   int64
}

// groupState is an accepted group.
type groupState struct {
	cancelled bool
	// done holds the indices of the samples with a valid position.
	done map[int]bool
	// orderNumber is the number of the order record that holds the group.
	orderNumber int64
	group       sample.Group
}

// pending holds the changes that wait for a commit. Its bytes are those of
// prompts and texts.
type pending struct {
	bytes   int
	cancels []change
	orders  []change
	samples []sample.Sample
	voids   []void
}

// change is an order or a cancellation. Its caller waits on done.
type change struct {
	done  chan error
	group sample.Group
	id    string
	// attempted is set once a transaction carries the change. The pointer also
	// identifies the change.
	attempted *bool
}

// void is a position to be marked void.
type void struct {
	position int64
	reason   string
	// replace is set if the sample is to be generated again.
	replace bool
}

func (l *Log) init() {
	l.changed = make(chan struct{})
	l.wake = make(chan struct{}, 1)
	l.groups = make(map[string]*groupState)
	l.orders = make(map[int64]*orderRecord)
	l.voids = make(map[int64]int64)
}

// broadcast wakes all waiting readers. The lock is held.
func (l *Log) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// wakeCommitter wakes the commit loop unless a wake-up is already pending.
func (l *Log) wakeCommitter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Submit accepts the order group. It returns once the order is committed to the
// key-value service. A repeat of an accepted order returns at once.
func (l *Log) Submit(ctx context.Context, group sample.Group) error {
	if err := group.Validate(); err != nil {
		return err
	}
	l.mu.Lock()
	if known, ok := l.groups[group.ID]; ok {
		l.mu.Unlock()
		if !sameOrder(known.group, group) {
			return kind.New(kind.KeyReused, "group %s was accepted before with a different order", group.ID)
		}
		return nil
	}
	if err := l.checkWritable(); err != nil {
		l.mu.Unlock()
		return err
	}
	waiting := l.enqueue(change{group: group, id: group.ID}, false)
	l.mu.Unlock()
	return l.awaitCommit(ctx, waiting)
}

// Cancel cancels a group. Positions that are committed stay as they are.
func (l *Log) Cancel(ctx context.Context, groupID string) error {
	l.mu.Lock()
	known, ok := l.groups[groupID]
	if !ok {
		l.mu.Unlock()
		return kind.New(kind.NotFound, "group %s does not exist in stream %s", groupID, l.Name)
	}
	if known.cancelled {
		l.mu.Unlock()
		return nil
	}
	if err := l.checkWritable(); err != nil {
		l.mu.Unlock()
		return err
	}
	waiting := l.enqueue(change{id: groupID}, true)
	l.mu.Unlock()
	return l.awaitCommit(ctx, waiting)
}

// sameOrder reports whether b repeats the accepted order a. The deadlines may
// differ. Of a finished group that was trimmed only the id is known, so that
// any order matches it.
func sameOrder(a, b sample.Group) bool {
	a.Deadline, b.Deadline = time.Time{}, time.Time{}
	return a == b || a.Prompt == ""
}

// checkWritable returns an error if the log cannot accept a change now. The
// lock is held.
func (l *Log) checkWritable() error {
	switch {
	case l.err != nil:
		return l.err
	case l.pending.bytes > maxPendingBytes:
		return kind.New(kind.StoreUnavailable, "stream %s: %d bytes wait for the key-value service, more than the limit of %d bytes",
			l.Name, l.pending.bytes, maxPendingBytes)
	default:
		return nil
	}
}

// enqueue adds a change to the next commit. The lock is held.
func (l *Log) enqueue(c change, cancel bool) change {
	c.done = make(chan error, 1)
	c.attempted = new(bool)
	if cancel {
		l.pending.cancels = append(l.pending.cancels, c)
	} else {
		l.pending.orders = append(l.pending.orders, c)
		l.pending.bytes += len(c.group.Prompt)
	}
	l.wakeCommitter()
	return c
}

// awaitCommit waits for the commit that carries c. After a timeout, a change
// that no transaction has carried is removed and has no effect.
func (l *Log) awaitCommit(ctx context.Context, c change) error {
	timer := time.NewTimer(commitWaitTimeout)
	defer timer.Stop()
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-c.done:
		return err
	default:
	}
	if *c.attempted {
		return kind.New(kind.StoreWriteUnknown, "the key-value service has not confirmed the change of group %s", c.id)
	}
	l.pending.orders = removeChange(l.pending.orders, c.attempted)
	l.pending.cancels = removeChange(l.pending.cancels, c.attempted)
	l.pending.bytes -= len(c.group.Prompt)
	return kind.New(kind.StoreUnavailable, "the change of group %s was not sent to the key-value service in time", c.id)
}

func removeChange(changes []change, attempted *bool) []change {
	kept := changes[:0]
	for _, c := range changes {
		if c.attempted != attempted {
			kept = append(kept, c)
		}
	}
	return kept
}

// QueueFinished queues a finished sample for the next commit. It reports false if the
// sample is no longer wanted. A void sample takes a position that is void from
// the start.
func (l *Log) QueueFinished(s sample.Sample) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	group, ok := l.groups[s.Group]
	if !ok || group.cancelled || group.done[s.Index] {
		return false
	}
	for _, other := range l.pending.samples {
		if other.Key() == s.Key() {
			return false
		}
	}
	l.pending.samples = append(l.pending.samples, s)
	l.pending.bytes += len(s.Text)
	l.wakeCommitter()
	return true
}

// BacklogFull reports whether so many bytes wait to be committed that no new
// generation must start. The limit is half of that for orders.
func (l *Log) BacklogFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.bytes > maxPendingBytes/2
}

// advanceAcked records the cursor of a read, by which the trainer acknowledges
// all positions before it. The lock is held.
func (l *Log) advanceAcked(cursor int64) {
	if cursor <= l.head.Next {
		l.acked = max(l.acked, cursor)
	}
}
