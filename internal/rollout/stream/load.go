package stream

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

// Load reads the stream's records, fences any earlier owner and hands the
// unfinished work to Work. It is called once, before Run.
func (l *Log) Load(ctx context.Context) error {
	l.init()
	entries, _, err := l.Store.List(ctx, l.Name.prefix())
	if err != nil {
		return err
	}
	slices.SortFunc(entries, func(a, b kv.Entry) int { return cmp.Compare(a.Key, b.Key) })
	if err := l.takeOver(ctx, entries); err != nil {
		return err
	}
	// What an earlier owner wrote between the list and the take-over was
	// refused or changed the head, which would have refused the take-over.
	if err := l.restore(entries); err != nil {
		return err
	}
	l.recover(ctx)
	l.resumeWork()
	return nil
}

// takeOver writes the head under the new claim.
func (l *Log) takeOver(ctx context.Context, entries []kv.Entry) error {
	for _, e := range entries {
		if e.Key == l.Name.headKey() {
			if err := json.Unmarshal(e.Value, &l.head); err != nil {
				return classError.Wrap(err)
			}
			l.headRev = e.ModRevision
		}
	}
	b := batch{head: l.head}
	b.head.Txn = fmt.Sprintf("%d-0", l.Claim.Fence)
	value, err := json.Marshal(b.head)
	if err != nil {
		return classError.Wrap(err)
	}
	b.txn = kv.Txn{
		Conditions: []kv.Condition{l.Claim.Condition, {Key: l.Name.headKey(), ModRevision: l.headRev}},
		Writes:     []kv.Write{{Key: l.Name.headKey(), Value: value}},
	}
	revision, err := l.write(ctx, b)
	if err != nil {
		return err
	}
	l.head, l.headRev = b.head, revision
	return nil
}

// restore rebuilds the state from the records.
func (l *Log) restore(entries []kv.Entry) error {
	voids := map[int64]voidRecord{}
	l.base = l.head.Base
	l.acked, l.handedOver = l.head.Acked, l.head.Acked
	for _, e := range entries {
		var err error
		switch l.Name.part(e.Key) {
		case "orders":
			err = l.restoreOrders(e)
		case "segments":
			err = l.restoreSegment(e)
		case "voids":
			var record voidRecord
			err = unpack(e.Value, &record)
			voids[l.Name.number(e.Key)] = record
		}
		if err != nil {
			return err
		}
	}
	for number, record := range voids {
		for _, position := range record.Positions {
			l.applyVoids([]void{{position: position, reason: record.Reason, replace: record.Replaced}})
		}
		l.voids[number] = slices.Max(record.Positions)
	}
	return l.markDone()
}

// markDone notes which samples have a position that is not withdrawn. A
// sample that was withdrawn and made again has a later position.
func (l *Log) markDone() error {
	if int64(len(l.entries)) != l.head.Next-l.base {
		return classError.New("stream %s has %d positions where %d are due", l.Name, len(l.entries), l.head.Next-l.base)
	}
	for _, e := range l.entries {
		group, ok := l.groups[e.slot.Group]
		if ok && !e.replaced {
			group.done[e.slot.Index] = true
		}
	}
	return nil
}

func (l *Log) restoreOrders(e kv.Entry) error {
	var record orderRecord
	if err := unpack(e.Value, &record); err != nil {
		return err
	}
	number := l.Name.number(e.Key)
	l.orders[number] = &record
	for _, group := range record.Groups {
		l.groups[group.ID] = &groupState{done: map[int]bool{}, group: group, order: number}
	}
	for id, indices := range record.Trimmed {
		for _, index := range indices {
			l.groups[id].done[index] = true
		}
	}
	for _, id := range record.Finished {
		l.groups[id] = &groupState{done: map[int]bool{}, group: sample.Group{ID: id}, order: number}
	}
	for _, id := range record.Cancelled {
		if group, ok := l.groups[id]; ok {
			group.cancelled = true
		}
	}
	return nil
}

func (l *Log) restoreSegment(e kv.Entry) error {
	var record segmentRecord
	if err := unpack(e.Value, &record); err != nil {
		return err
	}
	to := record.From + int64(len(record.Slots))
	l.segments = append(l.segments, segmentRange{from: record.From, to: to})
	for i, s := range record.Slots {
		restored := entry{missing: true, slot: s}
		if group, ok := l.groups[s.Group]; ok {
			restored.bound = group.group.StalenessBound
		}
		if s.Reason != "" {
			restored.makeVoid(record.From+int64(i), s.Reason)
		}
		l.entries = append(l.entries, restored)
	}
	return nil
}

// recover looks for the contents of the positions on other hosts. A copy
// counts only when its digest is the committed one.
func (l *Log) recover(ctx context.Context) {
	err := l.Replicas.Fetch(ctx, l.Name, l.base, func(content Content) {
		i := content.Position - l.base
		if i < 0 || i >= int64(len(l.entries)) {
			return
		}
		e := &l.entries[i]
		if !e.missing || xxh3.Hash(content.Line) != e.slot.Digest {
			return
		}
		var s sample.Sample
		if json.Unmarshal(content.Line, &s) != nil {
			return
		}
		e.line, e.oldest, e.missing = content.Line, s.OldestVersion(), false
	})
	if err != nil {
		l.Logger.WarnContext(ctx, "some copies of a stream could not be read",
			slog.String("stream", l.Name.String()), slog.Any("error", err))
	}
	var missing int
	for _, e := range l.entries {
		if e.missing {
			missing++
		}
	}
	l.Logger.InfoContext(ctx, "a stream was taken over",
		slog.String("stream", l.Name.String()), slog.Int64("fence", l.Claim.Fence),
		slog.Int64("next", l.head.Next), slog.Int("missing", missing))
}

// resumeWork hands the unfinished groups to the runner, in the order of their
// acceptance.
func (l *Log) resumeWork() {
	numbers := make([]int64, 0, len(l.orders))
	for number := range l.orders {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	lengths := map[string][]int{}
	for _, e := range l.entries {
		if !e.void {
			lengths[e.slot.Group] = append(lengths[e.slot.Group], e.slot.Tokens)
		}
	}
	for _, number := range numbers {
		for _, order := range l.orders[number].Groups {
			id, group := order.ID, l.groups[order.ID]
			if group.cancelled {
				continue
			}
			var wanted []int
			for i := range group.group.SampleCount {
				if !group.done[i] {
					wanted = append(wanted, i)
				}
			}
			// A finished group too, since positions whose content was lost are
			// withdrawn later and their samples made again.
			l.Work.Add(group.group, wanted, lengths[id])
		}
	}
}
