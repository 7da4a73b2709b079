package idempotency

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

const (
	// batchBytes and batchItems bound one transaction. The service allows 128
	// operations.
	batchBytes = 512 << 10
	batchItems = 100
	// batchBurst is the number of transactions that may follow each other
	// before the rate holds.
	batchBurst = 8
	// fleetRate is the number of transactions in a second that all nodes
	// together may send.
	fleetRate = 150
	// queueItems bounds the writes that wait for a transaction.
	queueItems = 10_000
	// queueRetryAfter is told to callers when the queue is full.
	queueRetryAfter = time.Second
)

// Share returns the number of transactions in a second that one of a number of
// writing nodes may send.
func Share(nodes int) float64 { return fleetRate / float64(max(nodes, 1)) }

// Item is one write under the condition that its key was last changed at
// ModRevision; zero requires that the key does not exist.
type Item struct {
	// KeepFor is how long the store keeps the key after the write.
	KeepFor     time.Duration
	Key         string
	ModRevision int64
	Value       []byte
}

// Outcome is what became of an item.
type Outcome struct {
	Committed bool
	// Current is the entry that stood in the way when Committed is false.
	Current kv.Entry
	// Revision is that of the write.
	Revision int64
}

// Committer writes items.
type Committer interface {
	// Commit writes the item. An error of kind store-unavailable means that it
	// had no effect, one of kind store-write-unknown that it may have had one.
	Commit(ctx context.Context, item Item) (Outcome, error)
	// Run works until ctx ends. Commit is answered only while it runs.
	Run(ctx context.Context) error
}

var _ Committer = (*Batcher)(nil)

// Batcher writes the items of many requests in one transaction. The fields are
// set before Run.
type Batcher struct {
	Logger *slog.Logger
	// Rate returns the number of transactions that this node may send in a
	// second.
	Rate  func() float64
	Store kv.Store

	mu      sync.Mutex
	leases  leases
	queue   []*pending
	stopped bool
	wake    chan struct{}
}

// pending is an item that waits for its outcome.
type pending struct {
	err     error
	done    chan struct{}
	item    Item
	outcome Outcome
	taken   bool
}

// Commit queues the item and waits for its outcome.
func (b *Batcher) Commit(ctx context.Context, item Item) (Outcome, error) {
	p := &pending{done: make(chan struct{}), item: item}
	b.mu.Lock()
	if len(b.queue) >= queueItems || b.stopped {
		b.mu.Unlock()
		return Outcome{}, kind.New(kind.StoreUnavailable, "too many writes wait").WithRetryAfter(queueRetryAfter)
	}
	b.queue = append(b.queue, p)
	b.mu.Unlock()
	b.signal()
	select {
	case <-p.done:
		return p.outcome, p.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.taken {
		return Outcome{}, kind.Wrap(kind.StoreWriteUnknown, ctx.Err())
	}
	b.remove(p)
	return Outcome{}, kind.Wrap(kind.StoreUnavailable, ctx.Err())
}

// Run sends the transactions until ctx ends.
func (b *Batcher) Run(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(b.Rate()), batchBurst)
	wake := b.waker()
	for {
		select {
		case <-ctx.Done():
			b.stop()
			return nil
		case <-wake:
		}
		for b.waiting() {
			limiter.SetLimit(rate.Limit(b.Rate()))
			if limiter.Wait(ctx) != nil {
				break
			}
			b.send(ctx, b.take())
		}
	}
}

func (b *Batcher) waiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

func (b *Batcher) waker() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

func (b *Batcher) signal() {
	select {
	case b.waker() <- struct{}{}:
	default:
	}
}

// stop ends the items that were not sent.
func (b *Batcher) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, p := range b.queue {
		p.finish(Outcome{}, kind.New(kind.StoreUnavailable, "the entry host stops"))
	}
	b.queue = nil
}

func (b *Batcher) remove(p *pending) {
	for i, queued := range b.queue {
		if queued == p {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
}

// take removes the next batch from the queue. A transaction writes each key
// once, so a second item of a key stays.
func (b *Batcher) take() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch, rest := split(b.queue)
	for _, p := range batch {
		p.taken = true
	}
	b.queue = rest
	return batch
}

// split cuts the next batch off a queue.
func split(queue []*pending) (batch, rest []*pending) {
	keys := make(map[string]struct{}, batchItems)
	size := 0
	for _, p := range queue {
		_, twice := keys[p.item.Key]
		fits := len(batch) == 0 || size+len(p.item.Value) <= batchBytes
		if twice || !fits || len(batch) == batchItems {
			rest = append(rest, p)
			continue
		}
		keys[p.item.Key] = struct{}{}
		size += len(p.item.Value)
		batch = append(batch, p)
	}
	return batch, rest
}

// send commits the batch. The items whose condition does not hold are answered
// and the others sent again; each round answers at least one.
func (b *Batcher) send(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		txn, err := b.transaction(ctx, batch)
		if err != nil {
			finishAll(batch, err)
			return
		}
		result, err := b.Store.Commit(ctx, txn)
		if kind.Is(err, kind.NotFound) {
			b.leases.forget(txn)
			err = kind.Wrap(kind.StoreUnavailable, err)
		}
		if err != nil {
			b.Logger.LogAttrs(ctx, slog.LevelWarn, "idempotency records not written",
				slog.Int("items", len(batch)), slog.Any("error", err))
			finishAll(batch, err)
			return
		}
		batch = settle(batch, result)
	}
}

func (b *Batcher) transaction(ctx context.Context, batch []*pending) (kv.Txn, error) {
	var txn kv.Txn
	for _, p := range batch {
		lease, err := b.leases.get(ctx, b.Store, p.item.KeepFor)
		if err != nil {
			// The items were not sent, whatever became of the lease.
			return kv.Txn{}, kind.Wrap(kind.StoreUnavailable, err)
		}
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: p.item.Key, ModRevision: p.item.ModRevision})
		txn.Writes = append(txn.Writes, kv.Write{Key: p.item.Key, Lease: lease, Value: p.item.Value})
	}
	return txn, nil
}

// settle gives the items their outcomes and returns those to send again.
func settle(batch []*pending, result kv.TxnResult) []*pending {
	var again []*pending
	for i, p := range batch {
		switch {
		case result.Committed:
			p.finish(Outcome{Committed: true, Revision: result.Revision}, nil)
		case i >= len(result.Current) || result.Current[i].ModRevision == p.item.ModRevision:
			again = append(again, p)
		default:
			p.finish(Outcome{Current: result.Current[i]}, nil)
		}
	}
	if len(again) == len(batch) {
		finishAll(again, kind.New(kind.StoreUnavailable, "the service refused a transaction without a reason"))
		return nil
	}
	return again
}

func finishAll(batch []*pending, err error) {
	for _, p := range batch {
		p.finish(Outcome{}, err)
	}
}

func (p *pending) finish(outcome Outcome, err error) {
	p.outcome, p.err = outcome, err
	close(p.done)
}

// newAttempt returns an id for an attempt.
func newAttempt() string { return uuid.NewString() }
