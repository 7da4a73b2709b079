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
	// maxBatchBytes and maxBatchItems bound one transaction. The key-value service
	// allows 128 operations.
	maxBatchBytes = 512 << 10
	maxBatchItems = 100
	// maxBatchBurst is the number of transactions that may be sent in a burst before
	// the rate limit applies.
	maxBatchBurst = 8
	// fleetTransactionRate is the number of transactions per second that all nodes
	// together may send.
	fleetTransactionRate = 150
	// maxQueuedItems bounds the items that wait for a transaction.
	maxQueuedItems = 10_000
	// queueFullRetryAfter is the Retry-After for callers when the queue is full.
	queueFullRetryAfter = time.Second
)

// TransactionRate returns the number of transactions per second that each of the given
// number of writing nodes may send.
func TransactionRate(writers int) float64 { return fleetTransactionRate / float64(max(writers, 1)) }

// Item is a conditional write. It takes effect if the key was last changed at
// ModRevision. Zero requires that the key does not exist.
type Item struct {
	// Retention is how long the store keeps the key after the write.
	Retention   time.Duration
	Key         string
	ModRevision int64
	Value       []byte
}

// Outcome is the outcome of a write.
type Outcome struct {
	Committed bool
	// Current is the entry that made the condition fail, if Committed is false.
	Current kv.Entry
	// Revision is the revision of the write, if Committed is true.
	Revision int64
}

// Committer writes items to the key-value service.
type Committer interface {
	// Commit writes the item. An error of kind store-unavailable means that the
	// write had no effect, one of kind store-write-unknown that it may have had one.
	Commit(ctx context.Context, item Item) (Outcome, error)
	// Run runs until ctx is done. Commits are served only while it is running.
	Run(ctx context.Context) error
}

var _ Committer = (*Batcher)(nil)

// Batcher writes the items of many requests in shared transactions. The exported
// fields must be set before Run is called.
type Batcher struct {
	Logger *slog.Logger
	// Rate returns the number of transactions per second that this node may send.
	Rate  func() float64
	Store kv.Store

	mu      sync.Mutex
	leases  leaseCache
	queue   []*pendingItem
	stopped bool
	wake    chan struct{}
}

// pendingItem is an item whose outcome is awaited.
type pendingItem struct {
	err     error
	done    chan struct{}
	item    Item
	outcome Outcome
	// sent means that the item left the queue for a transaction.
	sent bool
}

// Commit queues the item and waits for its outcome.
func (b *Batcher) Commit(ctx context.Context, item Item) (Outcome, error) {
	p := &pendingItem{done: make(chan struct{}), item: item}
	b.mu.Lock()
	if len(b.queue) >= maxQueuedItems || b.stopped {
		b.mu.Unlock()
		return Outcome{}, kind.New(kind.StoreUnavailable, "the queue of idempotency records is full (limit %d) or closed", maxQueuedItems).WithRetryAfter(queueFullRetryAfter)
	}
	b.queue = append(b.queue, p)
	b.mu.Unlock()
	b.wakeUp()
	select {
	case <-p.done:
		return p.outcome, p.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.sent {
		return Outcome{}, kind.Wrap(kind.StoreWriteUnknown, ctx.Err())
	}
	b.remove(p)
	return Outcome{}, kind.Wrap(kind.StoreUnavailable, ctx.Err())
}

// Run sends the transactions until ctx is done.
func (b *Batcher) Run(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(b.Rate()), maxBatchBurst)
	wake := b.wakeChannel()
	for {
		select {
		case <-ctx.Done():
			b.stop()
			return nil
		case <-wake:
		}
		for b.hasQueued() {
			limiter.SetLimit(rate.Limit(b.Rate()))
			if limiter.Wait(ctx) != nil {
				break
			}
			b.commitBatch(ctx, b.takeBatch())
		}
	}
}

func (b *Batcher) hasQueued() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

func (b *Batcher) wakeChannel() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

func (b *Batcher) wakeUp() {
	select {
	case b.wakeChannel() <- struct{}{}:
	default:
	}
}

// stop refuses the items that are still queued and all later ones.
func (b *Batcher) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, p := range b.queue {
		p.finish(Outcome{}, kind.New(kind.StoreUnavailable, "the entry host is stopping"))
	}
	b.queue = nil
}

func (b *Batcher) remove(p *pendingItem) {
	for i, queued := range b.queue {
		if queued == p {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
}

// takeBatch removes the next batch from the queue. A transaction can write a key only
// once, so further items with the same key stay in the queue.
func (b *Batcher) takeBatch() []*pendingItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch, rest := nextBatch(b.queue)
	for _, p := range batch {
		p.sent = true
	}
	b.queue = rest
	return batch
}

// nextBatch splits a queue into the next batch and the rest.
func nextBatch(queue []*pendingItem) (batch, rest []*pendingItem) {
	keys := make(map[string]struct{}, maxBatchItems)
	size := 0
	for _, p := range queue {
		_, duplicate := keys[p.item.Key]
		fits := len(batch) == 0 || size+len(p.item.Value) <= maxBatchBytes
		if duplicate || !fits || len(batch) == maxBatchItems {
			rest = append(rest, p)
			continue
		}
		keys[p.item.Key] = struct{}{}
		size += len(p.item.Value)
		batch = append(batch, p)
	}
	return batch, rest
}

// commitBatch commits the batch. If conditions fail, it finishes the items concerned
// and sends the others again. Each round finishes at least one item.
func (b *Batcher) commitBatch(ctx context.Context, batch []*pendingItem) {
	for len(batch) > 0 {
		txn, err := b.newTransaction(ctx, batch)
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
		batch = applyResult(batch, result)
	}
}

func (b *Batcher) newTransaction(ctx context.Context, batch []*pendingItem) (kv.Txn, error) {
	var txn kv.Txn
	for _, p := range batch {
		lease, err := b.leases.get(ctx, b.Store, p.item.Retention)
		if err != nil {
			// The items were not sent, whether or not the lease was granted.
			return kv.Txn{}, kind.Wrap(kind.StoreUnavailable, err)
		}
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: p.item.Key, ModRevision: p.item.ModRevision})
		txn.Writes = append(txn.Writes, kv.Write{Key: p.item.Key, Lease: lease, Value: p.item.Value})
	}
	return txn, nil
}

// applyResult finishes the items whose outcome is known and returns those to send
// again.
func applyResult(batch []*pendingItem, result kv.TxnResult) []*pendingItem {
	var resend []*pendingItem
	for i, p := range batch {
		switch {
		case result.Committed:
			p.finish(Outcome{Committed: true, Revision: result.Revision}, nil)
		case i >= len(result.Current) || result.Current[i].ModRevision == p.item.ModRevision:
			resend = append(resend, p)
		default:
			p.finish(Outcome{Current: result.Current[i]}, nil)
		}
	}
	if len(resend) == len(batch) {
		finishAll(resend, kind.New(kind.StoreUnavailable,
			"the key-value service rejected a transaction of %d items but reported no failed condition", len(batch)))
		return nil
	}
	return resend
}

func finishAll(batch []*pendingItem, err error) {
	for _, p := range batch {
		p.finish(Outcome{}, err)
	}
}

func (p *pendingItem) finish(outcome Outcome, err error) {
	p.outcome, p.err = outcome, err
	close(p.done)
}

func newAttemptID() string { return uuid.NewString() }
