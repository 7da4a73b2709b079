// Package stream implements the ordered log of samples of one trainer. A
// position is committed to the key-value service before its content is
// delivered. The content itself stays on the owner and on a second host, in
// memory and, if they have a data folder, on disk. A single goroutine commits
// all changes. Each commit is conditional on the claim on the stream, so that
// the commits of an earlier owner fail.
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
	// Condition holds in the store as long as the claim exists. Every commit of
	// the stream includes it.
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
	// Fetch calls each with every stored copy whose position is at least from.
	// It may pass several copies of one position.
	Fetch(ctx context.Context, name Name, from int64, each func(Content)) error
	// Replicate stores contents and deletes copies of positions below trimBelow.
	// It returns an error if no other host has stored the contents and they are
	// not on this host's disk either.
	Replicate(ctx context.Context, name Name, fencingToken, trimBelow int64, contents []Content) error
}

// Runner generates the samples of accepted groups.
type Runner interface {
	// Add adds a group. wanted holds the indices of the samples to generate,
	// lengths the lengths in tokens of the committed samples of the group.
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
	// acked is the highest cursor that the trainer has sent. It acknowledges
	// all positions before it.
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
	// done holds the indices of the samples that have a position and are not to
	// be generated again.
	done map[int]bool
	// orderNumber is the number of the order record that holds the group.
	orderNumber int64
	group       sample.Group
}

// pending holds the changes that wait for a commit. Its bytes are the total
// size of the prompts of orders and the texts of samples.
type pending struct {
	bytes   int
	cancels []change
	orders  []change
	samples []sample.Sample
	voids   []voidRequest
}

// change is an order or a cancellation. Its caller waits on done.
type change struct {
	done  chan error
	group sample.Group
	id    string
	// inTxn is set once the change is part of a transaction. The pointer
	// also identifies the change.
	inTxn *bool
}

// voidRequest is a request to mark a position void.
type voidRequest struct {
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

// broadcast wakes all waiting readers. The caller holds l.mu.
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

// Submit accepts an order for the samples of group. It returns once the order
// is committed to the key-value service, and at once if the same order was
// committed before. If a different order with the same id was committed before,
// it fails with kind key-reused.
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
// differ. Only the id of a finished group is kept after it was trimmed, so any
// order with that id matches.
func sameOrder(a, b sample.Group) bool {
	a.Deadline, b.Deadline = time.Time{}, time.Time{}
	return a == b || a.Prompt == ""
}

// checkWritable returns an error if the log has stopped or too many bytes wait
// to be committed. The caller holds l.mu.
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

// enqueue queues an order, or a cancellation if cancel is set, for the next
// commit. The caller holds l.mu.
func (l *Log) enqueue(c change, cancel bool) change {
	c.done = make(chan error, 1)
	c.inTxn = new(bool)
	if cancel {
		l.pending.cancels = append(l.pending.cancels, c)
	} else {
		l.pending.orders = append(l.pending.orders, c)
		l.pending.bytes += len(c.group.Prompt)
	}
	l.wakeCommitter()
	return c
}

// awaitCommit waits until c is committed. If ctx ends or commitWaitTimeout
// passes first, a change that is not yet part of a transaction is removed and
// has no effect; the outcome of any other change is unknown.
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
	if *c.inTxn {
		return kind.New(kind.StoreWriteUnknown, "the key-value service has not confirmed the change of group %s", c.id)
	}
	l.pending.orders = removeChange(l.pending.orders, c.inTxn)
	l.pending.cancels = removeChange(l.pending.cancels, c.inTxn)
	l.pending.bytes -= len(c.group.Prompt)
	return kind.New(kind.StoreUnavailable, "the change of group %s was not sent to the key-value service in time", c.id)
}

func removeChange(changes []change, inTxn *bool) []change {
	kept := changes[:0]
	for _, c := range changes {
		if c.inTxn != inTxn {
			kept = append(kept, c)
		}
	}
	return kept
}

// QueueFinished queues a finished sample for the next commit. It reports false
// if the sample is no longer wanted or is queued already. A void sample gets a
// position that is void when it is committed.
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

// BacklogFull reports whether no new generation may start because too many
// bytes wait to be committed. The limit is half of the limit for orders.
func (l *Log) BacklogFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.bytes > maxPendingBytes/2
}

// advanceAcked records the cursor of a read, by which the trainer acknowledges
// all positions before it. The caller holds l.mu.
func (l *Log) advanceAcked(cursor int64) {
	if cursor <= l.head.Next {
		l.acked = max(l.acked, cursor)
	}
}
