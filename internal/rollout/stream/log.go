// Package stream keeps the ordered stream of samples of one trainer. A
// position is fixed in the key-value service before its content is handed
// over; the content stays in memory on the owner and on a second host. All
// changes pass through one committer, which is fenced by the claim on the
// stream.
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

// Claim is the right to write a stream.
type Claim struct {
	// Condition holds as long as no other host has the right.
	Condition kv.Condition
	// Fence grows with each new claim.
	Fence int64
	// Held reports whether the right is known to be held at this moment.
	Held func() bool
}

// Content is the line of one position.
type Content struct {
	Line     []byte
	Position int64
}

// Replicas keeps copies of contents on other hosts.
type Replicas interface {
	// Fetch calls found with each copy that other hosts hold from position on.
	Fetch(ctx context.Context, name Name, from int64, found func(Content)) error
	// Replicate stores contents on another host and drops those below trim. It
	// returns an error when no other host has taken them.
	Replicate(ctx context.Context, name Name, fence, trim int64, contents []Content) error
}

// Work is what becomes of samples and orders; the runner implements it.
type Work interface {
	// Add hands over an accepted group and the indices that are still wanted.
	Add(group sample.Group, wanted, lengths []int)
	// Drop ends a cancelled group.
	Drop(groupID string)
	// Redo asks for a sample again.
	Redo(key sample.Key)
	// Unread tells how many finished samples the trainer has not read.
	Unread(unread int)
}

// Log is the stream of one trainer on the host that owns it. The fields are
// set before Load.
type Log struct {
	Claim  Claim
	Logger *slog.Logger
	Name   Name
	// Now is the clock.
	Now func() time.Time
	// Published returns the newest version of the service's weights.
	Published func() int64
	Replicas  Replicas
	Store     kv.Store
	Work      Work

	mu       sync.Mutex
	changed  chan struct{}
	wake     chan struct{}
	failed   error
	head     headRecord
	headRev  int64
	txns     int64
	entries  []entry
	segments []segmentRange
	groups   map[string]*groupState
	orders   map[int64]*orderRecord
	pending  pending
	voids    map[int64]int64
	// base is the position of the first entry.
	base       int64
	acked      int64
	trimAt     time.Time
	handedOver int64
	// readers is the number of reads that wait for a position.
	readers int
}

// entry is one fixed position.
type entry struct {
	bound  int64
	line   []byte
	oldest int64
	slot   slot
	// missing is set while the content is on no known host.
	missing bool
	// queued is set while the position waits to be made void.
	queued bool
	// replaced is set when the sample of a void position is made again.
	replaced bool
	void     bool
}

// segmentRange is the range of positions of a segment in the store.
type segmentRange struct {
	from int64
	to   int64
}

// groupState is an accepted group and what is fixed of it.
type groupState struct {
	cancelled bool
	done      map[int]bool
	order     int64
	group     sample.Group
}

// pending is what the next commit carries.
type pending struct {
	bytes   int
	cancels []change
	orders  []change
	samples []sample.Sample
	voids   []void
}

// change is an order or a cancellation with the caller that waits for it.
type change struct {
	done  chan error
	group sample.Group
	id    string
	// attempted is set once a transaction has carried the change.
	attempted *bool
}

// void is a position to be withdrawn.
type void struct {
	position int64
	reason   string
	replace  bool
}

func (l *Log) init() {
	l.changed = make(chan struct{})
	l.wake = make(chan struct{}, 1)
	l.groups = make(map[string]*groupState)
	l.orders = make(map[int64]*orderRecord)
	l.voids = make(map[int64]int64)
}

// broadcast wakes all readers. The lock is held.
func (l *Log) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Submit accepts group. It returns once the order is in the key-value service.
// A repeat of an accepted id returns at once.
func (l *Log) Submit(ctx context.Context, group sample.Group) error {
	if err := group.Check(); err != nil {
		return err
	}
	l.mu.Lock()
	if known, ok := l.groups[group.ID]; ok {
		l.mu.Unlock()
		if !sameOrder(known.group, group) {
			return kind.New(kind.KeyReused, "group %s was accepted with another order", group.ID)
		}
		return nil
	}
	if err := l.refusal(); err != nil {
		l.mu.Unlock()
		return err
	}
	waiting := l.enqueue(change{group: group, id: group.ID}, false)
	l.mu.Unlock()
	return l.await(ctx, waiting)
}

// Cancel ends a group. Positions that are fixed stay as they are.
func (l *Log) Cancel(ctx context.Context, groupID string) error {
	l.mu.Lock()
	known, ok := l.groups[groupID]
	if !ok {
		l.mu.Unlock()
		return kind.New(kind.NotFound, "group %s is not known", groupID)
	}
	if known.cancelled {
		l.mu.Unlock()
		return nil
	}
	if err := l.refusal(); err != nil {
		l.mu.Unlock()
		return err
	}
	waiting := l.enqueue(change{id: groupID}, true)
	l.mu.Unlock()
	return l.await(ctx, waiting)
}

// sameOrder compares the known order a with b; the deadline may be moved by a
// repeat. Of a group that is over only the id is known.
func sameOrder(a, b sample.Group) bool {
	a.Deadline, b.Deadline = time.Time{}, time.Time{}
	return a == b || a.Prompt == ""
}

// refusal says why no change can be taken now. The lock is held.
func (l *Log) refusal() error {
	switch {
	case l.failed != nil:
		return l.failed
	case l.pending.bytes > maxPendingBytes:
		return kind.New(kind.StoreUnavailable, "the stream %s waits for the key-value service", l.Name)
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
	l.poke()
	return c
}

// await waits for the commit that carries c. A change that no transaction has
// carried is taken back and did not happen.
func (l *Log) await(ctx context.Context, c change) error {
	timer := time.NewTimer(submitTimeout)
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
		return kind.New(kind.StoreWriteUnknown, "the key-value service has not confirmed %s", c.id)
	}
	l.pending.orders = without(l.pending.orders, c.attempted)
	l.pending.cancels = without(l.pending.cancels, c.attempted)
	l.pending.bytes -= len(c.group.Prompt)
	return kind.New(kind.StoreUnavailable, "the key-value service cannot be reached")
}

func without(changes []change, attempted *bool) []change {
	kept := changes[:0]
	for _, c := range changes {
		if c.attempted != attempted {
			kept = append(kept, c)
		}
	}
	return kept
}

// Finish queues a finished sample for the next commit. It reports false when
// the sample is not wanted any more. A void sample fixes its position as void.
func (l *Log) Finish(s sample.Sample) bool {
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
	l.poke()
	return true
}

// Full reports whether so much waits for the key-value service that no new
// work must start.
func (l *Log) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.bytes > maxPendingBytes/2
}

// Ack notes that the trainer asked for position cursor: it has all before it.
// The lock is held.
func (l *Log) ack(cursor int64) {
	if cursor <= l.head.Next {
		l.acked = max(l.acked, cursor)
	}
}
