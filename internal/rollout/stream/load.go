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

// Load reads the stream's records, fences off any earlier owner and passes the
// groups with their unfinished samples to Runner. It is called once, before Run.
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
	// The entries are current: a commit of an earlier owner after the list
	// would have changed the head, and takeOver would have failed.
	if err := l.restore(entries); err != nil {
		return err
	}
	l.recoverContents(ctx)
	l.resumeGroups()
	return nil
}

// takeOver writes the head under the new claim, so that commits of an earlier
// owner fail.
func (l *Log) takeOver(ctx context.Context, entries []kv.Entry) error {
	for _, e := range entries {
		if e.Key == l.Name.headKey() {
			if err := json.Unmarshal(e.Value, &l.head); err != nil {
				return classError.Wrap(err)
			}
			l.headRevision = e.ModRevision
		}
	}
	b := batch{head: l.head}
	b.head.Txn = fmt.Sprintf("%d-0", l.Claim.FencingToken)
	value, err := json.Marshal(b.head)
	if err != nil {
		return classError.Wrap(err)
	}
	b.txn = kv.Txn{
		Conditions: []kv.Condition{l.Claim.Condition, {Key: l.Name.headKey(), ModRevision: l.headRevision}},
		Writes:     []kv.Write{{Key: l.Name.headKey(), Value: value}},
	}
	revision, err := l.write(ctx, b)
	if err != nil {
		return err
	}
	l.head, l.headRevision = b.head, revision
	return nil
}

// restore rebuilds the state in memory from the stored records.
func (l *Log) restore(entries []kv.Entry) error {
	voids := map[int64]voidRecord{}
	l.base = l.head.Base
	l.acked, l.delivered = l.head.Acked, l.head.Acked
	for _, e := range entries {
		var err error
		switch l.Name.recordKind(e.Key) {
		case "orders":
			err = l.restoreOrders(e)
		case "segments":
			err = l.restoreSegment(e)
		case "voids":
			var record voidRecord
			err = unpack(e.Value, &record)
			voids[l.Name.recordNumber(e.Key)] = record
		}
		if err != nil {
			return err
		}
	}
	for number, record := range voids {
		for _, position := range record.Positions {
			l.applyVoids([]voidRequest{{position: position, reason: record.Reason, replace: record.Replaced}})
		}
		l.voids[number] = slices.Max(record.Positions)
	}
	return l.markDone()
}

// markDone marks the samples that need not be generated again. The entry of a
// replaced sample does not count, since the new sample gets a later position.
func (l *Log) markDone() error {
	if int64(len(l.entries)) != l.head.Next-l.base {
		return classError.New("stream %s: segment records hold %d positions, want %d", l.Name, len(l.entries), l.head.Next-l.base)
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
	number := l.Name.recordNumber(e.Key)
	l.orders[number] = &record
	for _, group := range record.Groups {
		l.groups[group.ID] = &groupState{done: map[int]bool{}, group: group, orderNumber: number}
	}
	for id, indices := range record.Trimmed {
		for _, index := range indices {
			l.groups[id].done[index] = true
		}
	}
	for _, id := range record.Finished {
		l.groups[id] = &groupState{done: map[int]bool{}, group: sample.Group{ID: id}, orderNumber: number}
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
			restored.stalenessBound = group.group.StalenessBound
		}
		if s.Reason != "" {
			restored.markVoid(record.From+int64(i), s.Reason)
		}
		l.entries = append(l.entries, restored)
	}
	return nil
}

// recoverContents fetches the contents of the positions from their replicas. A
// copy is used only if its digest matches the committed one.
func (l *Log) recoverContents(ctx context.Context) {
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
		e.line, e.oldestVersion, e.missing = content.Line, s.OldestVersion(), false
	})
	if err != nil {
		l.Logger.WarnContext(ctx, "reading copies of a stream failed; some contents may be missing",
			slog.String("stream", l.Name.String()), slog.Any("error", err))
	}
	var missing int
	for _, e := range l.entries {
		if e.missing {
			missing++
		}
	}
	l.Logger.InfoContext(ctx, "took over a stream",
		slog.String("stream", l.Name.String()), slog.Int64("fence", l.Claim.FencingToken),
		slog.Int64("next", l.head.Next), slog.Int("missing", missing))
}

// resumeGroups passes the groups that are not cancelled to the runner, in the
// order of their acceptance.
func (l *Log) resumeGroups() {
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
			// Finished groups are added too: positions whose content was lost
			// are voided when they are read, and their samples generated again.
			l.Runner.Add(group.group, wanted, lengths[id])
		}
	}
}
