package stream

import (
	"slices"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

// trims holds the changes that a commit makes to the set of stored records.
type trims struct {
	// newVoids maps the numbers of added void records to their highest
	// positions.
	newVoids map[int64]int64
	// orders maps the numbers of order records to their new contents, or to nil
	// if the record is deleted.
	orders map[int64]*orderRecord
	// segments is the number of leading segment records that are deleted.
	segments int
	// voids holds the numbers of deleted void records.
	voids []int64
}

// trim adds the deletion of records that lie at least retainedPositions behind
// the trainer's cursor, at most once every trimInterval. The indices of trimmed
// samples are added to the records of their orders, so that a later owner does
// not generate the samples again. The caller holds l.mu.
func (l *Log) trim(b *batch) error {
	now := l.Now()
	if now.Sub(l.lastTrim) < trimInterval {
		return nil
	}
	l.lastTrim = now
	trimmedIndices := map[int64]map[string][]int{}
	base := l.trimSegments(b, trimmedIndices)
	b.head.Base = base
	for number, highest := range l.voids {
		if highest < base && len(b.trims.voids) < maxDeletesPerCommit {
			b.trims.voids = append(b.trims.voids, number)
			b.txn.Writes = append(b.txn.Writes, kv.Write{Delete: true, Key: l.Name.voidKey(number)})
		}
	}
	return l.trimOrders(b, trimmedIndices, base)
}

// trimSegments adds the deletion of the oldest segment records, up to the first
// one that has an unfinished group or is retained. It collects the indices of
// their samples in trimmedIndices, by order record and group, and returns the
// first position that is not trimmed.
func (l *Log) trimSegments(b *batch, trimmedIndices map[int64]map[string][]int) int64 {
	base := l.base
	below := l.acked - retainedPositions
	for _, segment := range l.segments[:min(len(l.segments), maxDeletesPerCommit)] {
		entries := l.entries[segment.from-l.base : segment.to-l.base]
		if segment.to > below || !l.allFinished(entries) {
			break
		}
		for _, e := range entries {
			group, ok := l.groups[e.slot.Group]
			if !ok || e.replaced {
				continue
			}
			if trimmedIndices[group.orderNumber] == nil {
				trimmedIndices[group.orderNumber] = map[string][]int{}
			}
			trimmedIndices[group.orderNumber][e.slot.Group] = append(trimmedIndices[group.orderNumber][e.slot.Group], e.slot.Index)
		}
		b.trims.segments++
		b.txn.Writes = append(b.txn.Writes, kv.Write{Delete: true, Key: l.Name.segmentKey(segment.from)})
		base = segment.to
	}
	return base
}

// allFinished reports whether the groups of all entries are finished.
func (l *Log) allFinished(entries []entry) bool {
	for _, e := range entries {
		group, ok := l.groups[e.slot.Group]
		if ok && !group.finished() {
			return false
		}
	}
	return true
}

// finished reports whether the group is cancelled or all its samples have a
// position.
func (g *groupState) finished() bool {
	return g.cancelled || len(g.done) >= g.group.SampleCount
}

// trimOrders adds the deletion of order records that are older than the last
// retainedOrderRecords and whose groups are finished and have no retained
// position. Of the other records, it rewrites those with newly trimmed indices.
func (l *Log) trimOrders(b *batch, trimmedIndices map[int64]map[string][]int, base int64) error {
	kept := map[string]bool{}
	for _, e := range l.entries[base-l.base:] {
		kept[e.slot.Group] = true
	}
	b.trims.orders = map[int64]*orderRecord{}
	for number, record := range l.orders {
		if number < l.head.Orders-retainedOrderRecords && len(b.trims.orders) < maxDeletesPerCommit && l.recordFinished(record, kept) {
			b.trims.orders[number] = nil
			b.txn.Writes = append(b.txn.Writes, kv.Write{Delete: true, Key: l.Name.orderKey(number)})
			continue
		}
		indices, ok := trimmedIndices[number]
		if !ok {
			continue
		}
		rewritten := l.rewriteOrder(record, indices, kept)
		value, err := pack(rewritten)
		if err != nil {
			return err
		}
		b.trims.orders[number] = rewritten
		b.txn.Writes = append(b.txn.Writes, kv.Write{Key: l.Name.orderKey(number), Value: value})
	}
	return nil
}

// recordFinished reports whether all groups of record are finished and have no
// retained position.
func (l *Log) recordFinished(record *orderRecord, kept map[string]bool) bool {
	for _, group := range record.Groups {
		if kept[group.ID] || !l.groups[group.ID].finished() {
			return false
		}
	}
	for _, id := range record.Cancelled {
		// The cancellation is needed as long as the order exists.
		if _, ok := l.groups[id]; ok {
			return false
		}
	}
	return true
}

// rewriteOrder returns a copy of record to which the trimmed indices of its
// groups are added. A finished group without a retained position is reduced to
// its id.
func (l *Log) rewriteOrder(record *orderRecord, indices map[string][]int, kept map[string]bool) *orderRecord {
	rewritten := &orderRecord{
		Cancelled: record.Cancelled,
		Finished:  slices.Clone(record.Finished),
		Trimmed:   map[string][]int{},
	}
	for _, group := range record.Groups {
		if l.groups[group.ID].finished() && !kept[group.ID] {
			rewritten.Finished = append(rewritten.Finished, group.ID)
			continue
		}
		rewritten.Groups = append(rewritten.Groups, group)
		if trimmed := slices.Concat(record.Trimmed[group.ID], indices[group.ID]); len(trimmed) > 0 {
			rewritten.Trimmed[group.ID] = trimmed
		}
	}
	return rewritten
}

// applyTrims updates the state in memory with the trims of a committed batch.
// The caller holds l.mu.
func (l *Log) applyTrims(b batch) {
	l.segments = l.segments[b.trims.segments:]
	if b.head.Base > l.base {
		l.entries = slices.Clone(l.entries[b.head.Base-l.base:])
	}
	l.base = b.head.Base
	for number, highest := range b.trims.newVoids {
		l.voids[number] = highest
	}
	for _, number := range b.trims.voids {
		delete(l.voids, number)
	}
	for number, record := range b.trims.orders {
		before := l.orders[number]
		if record == nil {
			for _, id := range slices.Concat(before.Finished, ids(before.Groups)) {
				delete(l.groups, id)
			}
			delete(l.orders, number)
			continue
		}
		l.orders[number] = record
		for _, id := range record.Finished {
			l.groups[id].group = sample.Group{ID: id}
		}
	}
}

func ids(groups []sample.Group) []string {
	list := make([]string, len(groups))
	for i, group := range groups {
		list[i] = group.ID
	}
	return list
}
