package stream

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/time/rate"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
	"github.com/nutmegway/nutmegway/internal/rollout/version"
)

const (
	// maxCommitsPerSecond limits the commits of a stream while its trainer
	// waits for a sample or for the acceptance of an order.
	maxCommitsPerSecond = 20
	// commitBurst is the number of commits that the rate limit lets through
	// without delay.
	commitBurst = 20
	// idleCommitInterval is the time between two commits while no caller waits.
	idleCommitInterval = 500 * time.Millisecond
	// maxBatchSamples limits the samples of a commit, so that the segment
	// record stays far below the store's limit for a value.
	maxBatchSamples = 2048
	// maxBatchPromptBytes limits the orders of a commit. Once the prompts of
	// its orders have reached this size, no further order is added.
	maxBatchPromptBytes = 900 << 10
	// maxPendingBytes limits the prompts and texts that wait to be committed.
	maxPendingBytes = 32 << 20
	// maxDeletesPerCommit limits the records of each type that one commit
	// deletes.
	maxDeletesPerCommit = 32
	// retainedOrderRecords is the number of most recent order records that are
	// kept even when finished, to recognize repeated orders.
	retainedOrderRecords = 64
	// retainedPositions is the number of positions that are kept behind the
	// trainer's cursor.
	retainedPositions = 256
	// trimInterval is the minimum time between two trims of a stream.
	trimInterval = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the exponential back-off of a
	// commit.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// commitWaitTimeout limits the time that an order or a cancellation waits
	// for its commit.
	commitWaitTimeout = 10 * time.Second
)

// Run commits pending changes until ctx ends or the claim is lost, and returns
// an error of kind not-owner in both cases. Any other failed commit also ends
// it.
func (l *Log) Run(ctx context.Context) error {
	err := l.commitLoop(ctx)
	if ctx.Err() != nil {
		err = kind.New(kind.NotOwner, "this host no longer owns stream %s", l.Name)
	}
	l.fail(err)
	return err
}

// commitLoop commits pending changes until the first error, which it returns.
// While a caller waits, it commits as soon as the rate limit allows, otherwise
// every idleCommitInterval.
func (l *Log) commitLoop(ctx context.Context) error {
	limiter := rate.NewLimiter(maxCommitsPerSecond, commitBurst)
	idle := time.NewTicker(idleCommitInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
		case <-l.wake:
			if !l.hasWaiters() {
				continue
			}
		}
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
		if err := l.commit(ctx); err != nil {
			return err
		}
	}
}

// hasWaiters reports whether a caller waits for the next commit.
func (l *Log) hasWaiters() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readers > 0 || len(l.pending.orders) > 0 || len(l.pending.cancels) > 0
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// fail stops the log with err and returns err to the callers of pending
// changes. A change that is part of a transaction is no longer pending: its
// caller keeps waiting in awaitCommit until its context ends or
// commitWaitTimeout has passed, and then gets an error of kind
// store-write-unknown.
func (l *Log) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	l.err = err
	for _, c := range append(l.pending.orders, l.pending.cancels...) {
		if *c.inTxn {
			err = kind.New(kind.StoreWriteUnknown, "stream %s stopped on this host before the change of group %s was confirmed", l.Name, c.id)
		}
		c.done <- err
	}
	l.pending = pending{}
	l.broadcast()
}

// batch holds the changes of one commit and the transaction that stores them.
type batch struct {
	cancels    []change
	contents   []Content
	entries    []entry
	head       headRecord
	order      *orderRecord
	orders     []change
	regenerate []sample.Key
	trims      trims
	txn        kv.Txn
	voids      []voidRequest
}

// commit writes the pending changes, if there are any. The contents are
// replicated before their positions are committed; if that fails, the positions
// are committed nevertheless.
func (l *Log) commit(ctx context.Context) error {
	l.mu.Lock()
	b, err := l.prepare()
	l.mu.Unlock()
	if err != nil {
		return err
	}
	for _, key := range b.regenerate {
		l.Runner.Regenerate(key)
	}
	if b.empty() {
		return nil
	}
	if len(b.contents) > 0 {
		if err := l.Replicas.Replicate(ctx, l.Name, l.Claim.FencingToken, b.head.Base, b.contents); err != nil {
			l.Logger.WarnContext(ctx, "the contents of a batch have no copy on another host",
				slog.String("stream", l.Name.String()), slog.Any("error", err))
		}
	}
	revision, err := l.write(ctx, b)
	if err != nil {
		return err
	}
	l.apply(b, revision)
	return nil
}

func (b batch) empty() bool {
	return len(b.entries) == 0 && len(b.orders) == 0 && len(b.cancels) == 0 && len(b.voids) == 0
}

// prepare moves pending changes into the batch of the next commit. The caller
// holds l.mu.
func (l *Log) prepare() (batch, error) {
	b := batch{head: l.head}
	b.head.Acked = l.acked
	l.txnCount++
	b.head.Txn = fmt.Sprintf("%d-%d", l.Claim.FencingToken, l.txnCount)
	b.txn.Conditions = []kv.Condition{
		l.Claim.Condition,
		{Key: l.Name.headKey(), ModRevision: l.headRevision},
	}
	for _, step := range []func(*batch) error{l.takeSamples, l.takeOrders, l.takeVoids} {
		if err := step(&b); err != nil {
			return b, err
		}
	}
	if b.empty() {
		return b, nil
	}
	if err := l.trim(&b); err != nil {
		return b, err
	}
	value, err := json.Marshal(b.head)
	if err != nil {
		return b, classError.Wrap(err)
	}
	b.txn.Writes = append(b.txn.Writes, kv.Write{Key: l.Name.headKey(), Value: value})
	return b, nil
}

// takeSamples assigns positions to finished samples. Samples that exceed the
// staleness bound of their group get no position and are generated again.
func (l *Log) takeSamples(b *batch) error {
	published := l.Published()
	record := segmentRecord{From: l.head.Next}
	var taken int
	for _, s := range l.pending.samples {
		if len(record.Slots) >= maxBatchSamples {
			break
		}
		taken++
		l.pending.bytes -= len(s.Text)
		group, ok := l.groups[s.Group]
		if !ok || group.cancelled || group.done[s.Index] {
			continue
		}
		if !s.Void && !version.WithinBound(s.OldestVersion(), published, group.group.StalenessBound) {
			b.regenerate = append(b.regenerate, s.Key())
			continue
		}
		s.Position = b.head.Next
		b.head.Next++
		e := entry{stalenessBound: group.group.StalenessBound, line: s.Line(), oldestVersion: s.OldestVersion(), void: s.Void}
		e.slot = slot{Digest: xxh3.Hash(e.line), Group: s.Group, Index: s.Index, Reason: s.Reason, Tokens: s.Tokens}
		record.Slots = append(record.Slots, e.slot)
		b.entries = append(b.entries, e)
		b.contents = append(b.contents, Content{Line: e.line, Position: s.Position})
	}
	l.pending.samples = append([]sample.Sample(nil), l.pending.samples[taken:]...)
	if len(l.pending.samples) > 0 {
		l.wakeCommitter()
	}
	if len(record.Slots) == 0 {
		return nil
	}
	value, err := pack(record)
	b.txn.Writes = append(b.txn.Writes, kv.Write{Key: l.Name.segmentKey(record.From), Value: value})
	return err
}

// takeOrders adds one order record with the pending orders and cancellations.
// Orders beyond maxBatchPromptBytes stay pending.
func (l *Log) takeOrders(b *batch) error {
	var record orderRecord
	var size int
	for len(l.pending.orders) > 0 && size < maxBatchPromptBytes {
		c := l.pending.orders[0]
		l.pending.orders = l.pending.orders[1:]
		l.pending.bytes -= len(c.group.Prompt)
		size += len(c.group.Prompt)
		*c.inTxn = true
		b.orders = append(b.orders, c)
		record.Groups = append(record.Groups, c.group)
	}
	for _, c := range l.pending.cancels {
		*c.inTxn = true
		record.Cancelled = append(record.Cancelled, c.id)
	}
	b.cancels, l.pending.cancels = l.pending.cancels, nil
	if len(l.pending.orders) > 0 {
		l.wakeCommitter()
	}
	if len(record.Groups) == 0 && len(record.Cancelled) == 0 {
		return nil
	}
	value, err := pack(record)
	b.txn.Writes = append(b.txn.Writes, kv.Write{Key: l.Name.orderKey(b.head.Orders), Value: value})
	b.head.Orders++
	b.order = &record
	return err
}

// takeVoids adds the positions that are queued to be marked void. Positions
// with the same reason and the same value of replace share one void record.
func (l *Log) takeVoids(b *batch) error {
	if len(l.pending.voids) == 0 {
		return nil
	}
	b.voids, l.pending.voids = l.pending.voids, nil
	byReason := map[voidRequest]*voidRecord{}
	var records []*voidRecord
	for _, v := range b.voids {
		key := voidRequest{reason: v.reason, replace: v.replace}
		record, ok := byReason[key]
		if !ok {
			record = &voidRecord{Reason: v.reason, Replaced: v.replace}
			byReason[key] = record
			records = append(records, record)
		}
		record.Positions = append(record.Positions, v.position)
	}
	for _, record := range records {
		value, err := pack(record)
		if err != nil {
			return err
		}
		b.txn.Writes = append(b.txn.Writes, kv.Write{Key: l.Name.voidKey(b.head.Voids), Value: value})
		if b.trims.newVoids == nil {
			b.trims.newVoids = map[int64]int64{}
		}
		b.trims.newVoids[b.head.Voids] = slices.Max(record.Positions)
		b.head.Voids++
	}
	return nil
}

// write commits the transaction and returns its revision. While the store is
// unavailable or the outcome is unknown, it retries with back-off until ctx
// ends. If an attempt took effect but its reply was lost, the conditions of the
// next attempt fail, and the stored head has the id of this transaction.
func (l *Log) write(ctx context.Context, b batch) (int64, error) {
	delay := minRetryDelay
	for {
		result, err := l.Store.Commit(ctx, b.txn)
		switch {
		case err == nil && result.Committed:
			return result.Revision, nil
		case err == nil:
			return l.resolveConflict(ctx, b, result)
		case ctx.Err() != nil:
			return 0, ctx.Err()
		case !kind.Is(err, kind.StoreUnavailable) && !kind.Is(err, kind.StoreWriteUnknown):
			return 0, err
		}
		l.Logger.WarnContext(ctx, "commit of a stream failed; retrying",
			slog.String("stream", l.Name.String()), slog.Any("error", err))
		if err := sleep(ctx, delay); err != nil {
			return 0, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// resolveConflict is called when the conditions of the transaction of b have
// failed. It returns the revision of the head if an earlier attempt took
// effect, and an error of kind not-owner otherwise.
func (l *Log) resolveConflict(ctx context.Context, b batch, result kv.TxnResult) (int64, error) {
	for _, current := range result.Current {
		if current.Key != l.Name.headKey() || current.ModRevision == 0 {
			continue
		}
		var head headRecord
		if err := json.Unmarshal(current.Value, &head); err != nil {
			return 0, classError.Wrap(err)
		}
		if head.Txn == b.head.Txn {
			l.Logger.InfoContext(ctx, "an earlier attempt of a commit took effect without a reply",
				slog.String("stream", l.Name.String()))
			return current.ModRevision, nil
		}
	}
	return 0, kind.New(kind.NotOwner, "this host lost its claim on stream %s", l.Name)
}

// apply updates the state in memory with a committed batch and notifies
// callers and the runner.
func (l *Log) apply(b batch, revision int64) {
	l.mu.Lock()
	l.headRevision = revision
	l.head = b.head
	if len(b.entries) > 0 {
		from := b.head.Next - int64(len(b.entries))
		l.segments = append(l.segments, segmentRange{from: from, to: b.head.Next})
		l.entries = append(l.entries, b.entries...)
		for _, e := range b.entries {
			l.groups[e.slot.Group].done[e.slot.Index] = true
		}
	}
	regenerate := l.applyVoids(b.voids)
	l.applyTrims(b)
	for _, c := range b.orders {
		l.groups[c.id] = &groupState{done: map[int]bool{}, group: c.group, orderNumber: b.head.Orders - 1}
	}
	if b.order != nil {
		l.orders[b.head.Orders-1] = b.order
	}
	for _, c := range b.cancels {
		l.groups[c.id].cancelled = true
	}
	l.broadcast()
	l.mu.Unlock()
	l.notify(b, regenerate)
}

// notify reports a committed batch to the runner and to waiting callers.
func (l *Log) notify(b batch, regenerate []sample.Key) {
	for _, c := range b.orders {
		wanted := make([]int, c.group.SampleCount)
		for i := range wanted {
			wanted[i] = i
		}
		l.Runner.Add(c.group, wanted, nil)
		c.done <- nil
	}
	for _, c := range b.cancels {
		l.Runner.RemoveGroup(c.id)
		c.done <- nil
	}
	for _, key := range regenerate {
		l.Runner.Regenerate(key)
	}
	for _, record := range b.trims.orders {
		if record == nil {
			continue
		}
		for _, id := range record.Finished {
			l.Runner.RemoveGroup(id)
		}
	}
	l.reportUnread()
}

// applyVoids marks positions void and returns the samples to generate again.
// The caller holds l.mu.
func (l *Log) applyVoids(voids []voidRequest) []sample.Key {
	var regenerate []sample.Key
	for _, v := range voids {
		i := v.position - l.base
		if i < 0 || i >= int64(len(l.entries)) {
			continue
		}
		e := &l.entries[i]
		e.voidQueued = false
		e.markVoid(v.position, v.reason)
		group, ok := l.groups[e.slot.Group]
		e.replaced = v.replace
		if v.replace && ok && !group.cancelled {
			delete(group.done, e.slot.Index)
			regenerate = append(regenerate, sample.Key{Group: e.slot.Group, Index: e.slot.Index})
		}
	}
	return regenerate
}

// markVoid replaces the entry's line by that of a void position.
func (e *entry) markVoid(position int64, reason string) {
	e.void = true
	e.missing = false
	e.line = sample.Sample{Group: e.slot.Group, Index: e.slot.Index, Position: position, Reason: reason, Void: true}.Line()
}
