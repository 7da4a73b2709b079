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
	// commitRate is the number of commits a second of a stream whose trainer
	// waits for a sample or for the acceptance of an order.
	commitRate = 20
	// commitBurst is the number of commits that may follow each other at once.
	commitBurst = 20
	// idleCommit is the time between two commits while nobody waits.
	idleCommit = 500 * time.Millisecond
	// maxBatchSamples bounds the samples of a commit; their slots stay far
	// below the store's largest value.
	maxBatchSamples = 2048
	// maxBatchBytes bounds the prompts of a commit.
	maxBatchBytes = 900 << 10
	// maxPendingBytes bounds what waits for the key-value service.
	maxPendingBytes = 32 << 20
	// maxTrims bounds the records that one commit deletes.
	maxTrims = 32
	// keptOrders is the number of finished order records that are kept to
	// recognise repeats.
	keptOrders = 64
	// keptPositions is the number of positions that are kept after the
	// trainer's cursor has passed them.
	keptPositions = 256
	// trimEvery is the shortest time between two trims of a stream.
	trimEvery     = 2 * time.Second
	shortestRetry = 50 * time.Millisecond
	longestRetry  = 500 * time.Millisecond
	submitTimeout = 10 * time.Second
)

// Run commits until ctx ends or the claim is lost; both are an error of kind
// not-owner.
func (l *Log) Run(ctx context.Context) error {
	err := l.commitAll(ctx)
	if ctx.Err() != nil {
		err = kind.New(kind.NotOwner, "the stream %s has moved", l.Name)
	}
	l.fail(err)
	return err
}

// commitAll commits whenever there is something, until it fails.
func (l *Log) commitAll(ctx context.Context) error {
	limiter := rate.NewLimiter(commitRate, commitBurst)
	lazy := time.NewTicker(idleCommit)
	defer lazy.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-lazy.C:
		case <-l.wake:
			if !l.urgent() {
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

// urgent reports whether somebody waits for the next commit.
func (l *Log) urgent() bool {
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

// fail ends the log; waiting callers get err.
func (l *Log) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return
	}
	l.failed = err
	for _, c := range append(l.pending.orders, l.pending.cancels...) {
		if *c.attempted {
			err = kind.New(kind.StoreWriteUnknown, "the stream moved before %s was confirmed", c.id)
		}
		c.done <- err
	}
	l.pending = pending{}
	l.broadcast()
}

// batch is one commit.
type batch struct {
	cancels  []change
	contents []Content
	entries  []entry
	head     headRecord
	order    *orderRecord
	orders   []change
	redo     []sample.Key
	trims    trims
	txn      kv.Txn
	voids    []void
}

// commit writes what is pending, if anything.
func (l *Log) commit(ctx context.Context) error {
	l.mu.Lock()
	b, err := l.prepare()
	l.mu.Unlock()
	if err != nil {
		return err
	}
	for _, key := range b.redo {
		l.Work.Redo(key)
	}
	if b.empty() {
		return nil
	}
	if len(b.contents) > 0 {
		if err := l.Replicas.Replicate(ctx, l.Name, l.Claim.Fence, b.head.Base, b.contents); err != nil {
			l.Logger.WarnContext(ctx, "a batch has no second copy",
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

// prepare takes what the next commit carries out of the pending changes. The
// lock is held.
func (l *Log) prepare() (batch, error) {
	b := batch{head: l.head}
	b.head.Acked = l.acked
	l.txns++
	b.head.Txn = fmt.Sprintf("%d-%d", l.Claim.Fence, l.txns)
	b.txn.Conditions = []kv.Condition{
		l.Claim.Condition,
		{Key: l.Name.headKey(), ModRevision: l.headRev},
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

// takeSamples gives positions to finished samples. Those over their bound are
// made again.
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
		if !s.Void && !version.Fresh(s.OldestVersion(), published, group.group.StalenessBound) {
			b.redo = append(b.redo, s.Key())
			continue
		}
		s.Position = b.head.Next
		b.head.Next++
		e := entry{bound: group.group.StalenessBound, line: s.Line(), oldest: s.OldestVersion(), void: s.Void}
		e.slot = slot{Digest: xxh3.Hash(e.line), Group: s.Group, Index: s.Index, Reason: s.Reason, Tokens: s.Tokens}
		record.Slots = append(record.Slots, e.slot)
		b.entries = append(b.entries, e)
		b.contents = append(b.contents, Content{Line: e.line, Position: s.Position})
	}
	l.pending.samples = append([]sample.Sample(nil), l.pending.samples[taken:]...)
	if len(l.pending.samples) > 0 {
		l.poke()
	}
	if len(record.Slots) == 0 {
		return nil
	}
	value, err := pack(record)
	b.txn.Writes = append(b.txn.Writes, kv.Write{Key: l.Name.segmentKey(record.From), Value: value})
	return err
}

// takeOrders records accepted and cancelled groups.
func (l *Log) takeOrders(b *batch) error {
	var record orderRecord
	var size int
	for len(l.pending.orders) > 0 && size < maxBatchBytes {
		c := l.pending.orders[0]
		l.pending.orders = l.pending.orders[1:]
		l.pending.bytes -= len(c.group.Prompt)
		size += len(c.group.Prompt)
		*c.attempted = true
		b.orders = append(b.orders, c)
		record.Groups = append(record.Groups, c.group)
	}
	for _, c := range l.pending.cancels {
		*c.attempted = true
		record.Cancelled = append(record.Cancelled, c.id)
	}
	b.cancels, l.pending.cancels = l.pending.cancels, nil
	if len(l.pending.orders) > 0 {
		l.poke()
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

// takeVoids records withdrawn positions.
func (l *Log) takeVoids(b *batch) error {
	if len(l.pending.voids) == 0 {
		return nil
	}
	b.voids, l.pending.voids = l.pending.voids, nil
	byReason := map[void]*voidRecord{}
	var records []*voidRecord
	for _, v := range b.voids {
		key := void{reason: v.reason, replace: v.replace}
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

// write commits the transaction. It goes on until the outcome is known: a
// repeat of a transaction that took effect is refused, and the head then
// carries its id.
func (l *Log) write(ctx context.Context, b batch) (int64, error) {
	wait := shortestRetry
	for {
		result, err := l.Store.Commit(ctx, b.txn)
		switch {
		case err == nil && result.Committed:
			return result.Revision, nil
		case err == nil:
			return l.refused(ctx, b, result)
		case ctx.Err() != nil:
			return 0, ctx.Err()
		case !kind.Is(err, kind.StoreUnavailable) && !kind.Is(err, kind.StoreWriteUnknown):
			return 0, err
		}
		l.Logger.WarnContext(ctx, "the commit of a stream is tried again",
			slog.String("stream", l.Name.String()), slog.Any("error", err))
		if err := sleep(ctx, wait); err != nil {
			return 0, err
		}
		wait = min(2*wait, longestRetry)
	}
}

// refused finds out whether an earlier try of b took effect.
func (l *Log) refused(ctx context.Context, b batch, result kv.TxnResult) (int64, error) {
	for _, current := range result.Current {
		if current.Key != l.Name.headKey() || current.ModRevision == 0 {
			continue
		}
		var head headRecord
		if err := json.Unmarshal(current.Value, &head); err != nil {
			return 0, classError.Wrap(err)
		}
		if head.Txn == b.head.Txn {
			l.Logger.InfoContext(ctx, "a commit without a reply had taken effect",
				slog.String("stream", l.Name.String()))
			return current.ModRevision, nil
		}
	}
	return 0, kind.New(kind.NotOwner, "the claim on stream %s was lost", l.Name)
}

// apply makes a committed batch visible.
func (l *Log) apply(b batch, revision int64) {
	l.mu.Lock()
	l.headRev = revision
	l.head = b.head
	if len(b.entries) > 0 {
		from := b.head.Next - int64(len(b.entries))
		l.segments = append(l.segments, segmentRange{from: from, to: b.head.Next})
		l.entries = append(l.entries, b.entries...)
		for _, e := range b.entries {
			l.groups[e.slot.Group].done[e.slot.Index] = true
		}
	}
	redo := l.applyVoids(b.voids)
	l.applyTrims(b)
	for _, c := range b.orders {
		l.groups[c.id] = &groupState{done: map[int]bool{}, group: c.group, order: b.head.Orders - 1}
	}
	if b.order != nil {
		l.orders[b.head.Orders-1] = b.order
	}
	for _, c := range b.cancels {
		l.groups[c.id].cancelled = true
	}
	l.broadcast()
	l.mu.Unlock()
	l.tell(b, redo)
}

// tell passes the effects of a batch on to the runner and to waiting callers.
func (l *Log) tell(b batch, redo []sample.Key) {
	for _, c := range b.orders {
		wanted := make([]int, c.group.SampleCount)
		for i := range wanted {
			wanted[i] = i
		}
		l.Work.Add(c.group, wanted, nil)
		c.done <- nil
	}
	for _, c := range b.cancels {
		l.Work.Drop(c.id)
		c.done <- nil
	}
	for _, key := range redo {
		l.Work.Redo(key)
	}
	for _, record := range b.trims.orders {
		if record == nil {
			continue
		}
		for _, id := range record.Finished {
			l.Work.Drop(id)
		}
	}
	l.reportUnread()
}

// applyVoids withdraws positions and returns the samples to be made again. The
// lock is held.
func (l *Log) applyVoids(voids []void) []sample.Key {
	var redo []sample.Key
	for _, v := range voids {
		i := v.position - l.base
		if i < 0 || i >= int64(len(l.entries)) {
			continue
		}
		e := &l.entries[i]
		e.queued = false
		e.makeVoid(v.position, v.reason)
		group, ok := l.groups[e.slot.Group]
		e.replaced = v.replace
		if v.replace && ok && !group.cancelled {
			delete(group.done, e.slot.Index)
			redo = append(redo, sample.Key{Group: e.slot.Group, Index: e.slot.Index})
		}
	}
	return redo
}

func (e *entry) makeVoid(position int64, reason string) {
	e.void = true
	e.missing = false
	e.line = sample.Sample{Group: e.slot.Group, Index: e.slot.Index, Position: position, Reason: reason, Void: true}.Line()
}
