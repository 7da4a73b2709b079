package stream

import (
	"slices"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

// trims is what a commit deletes of the records behind the trainer's cursor.
type trims struct {
	newVoids map[int64]int64
	// orders are the records as they stand after the commit; nil is deleted.
	orders   map[int64]*orderRecord
	segments int
	voids    []int64
}

// trim adds the deletion of records that lie far enough behind the trainer's
// cursor. The indices of trimmed positions move into the records of their
// orders, so that a later owner does not make the samples again. The lock is
// held.
func (l *Log) trim(b *batch) error {
	now := l.Now()
	if now.Sub(l.trimAt) < trimEvery {
		return nil
	}
	l.trimAt = now
	touched := map[int64]map[string][]int{}
	base := l.trimSegments(b, touched)
	b.head.Base = base
	for number, highest := range l.voids {
		if highest < base && len(b.trims.voids) < maxTrims {
			b.trims.voids = append(b.trims.voids, number)
			b.txn.Writes = append(b.txn.Writes, kv.Write{Delete: true, Key: l.Name.voidKey(number)})
		}
	}
	return l.trimOrders(b, touched, base)
}

// trimSegments deletes leading segments whose groups are over and collects
// the samples in them. It returns the first position that is kept.
func (l *Log) trimSegments(b *batch, touched map[int64]map[string][]int) int64 {
	base := l.base
	below := l.acked - keptPositions
	for _, segment := range l.segments[:min(len(l.segments), maxTrims)] {
		entries := l.entries[segment.from-l.base : segment.to-l.base]
		if segment.to > below || !l.allOver(entries) {
			break
		}
		for _, e := range entries {
			group, ok := l.groups[e.slot.Group]
			if !ok || e.replaced {
				continue
			}
			if touched[group.order] == nil {
				touched[group.order] = map[string][]int{}
			}
			touched[group.order][e.slot.Group] = append(touched[group.order][e.slot.Group], e.slot.Index)
		}
		b.trims.segments++
		b.txn.Writes = append(b.txn.Writes, kv.Write{Delete: true, Key: l.Name.segmentKey(segment.from)})
		base = segment.to
	}
	return base
}

// allOver reports whether nothing more is wanted of the groups of entries.
func (l *Log) allOver(entries []entry) bool {
	for _, e := range entries {
		group, ok := l.groups[e.slot.Group]
		if ok && !group.over() {
			return false
		}
	}
	return true
}

func (g *groupState) over() bool {
	return g.cancelled || len(g.done) >= g.group.SampleCount
}

// trimOrders rewrites the records of touched orders and deletes old ones of
// which nothing is left.
func (l *Log) trimOrders(b *batch, touched map[int64]map[string][]int, base int64) error {
	kept := map[string]bool{}
	for _, e := range l.entries[base-l.base:] {
		kept[e.slot.Group] = true
	}
	b.trims.orders = map[int64]*orderRecord{}
	for number, record := range l.orders {
		if number < l.head.Orders-keptOrders && len(b.trims.orders) < maxTrims && l.recordOver(record, kept) {
			b.trims.orders[number] = nil
			b.txn.Writes = append(b.txn.Writes, kv.Write{Delete: true, Key: l.Name.orderKey(number)})
			continue
		}
		indices, ok := touched[number]
		if !ok {
			continue
		}
		rewritten := l.rewrite(record, indices, kept)
		value, err := pack(rewritten)
		if err != nil {
			return err
		}
		b.trims.orders[number] = rewritten
		b.txn.Writes = append(b.txn.Writes, kv.Write{Key: l.Name.orderKey(number), Value: value})
	}
	return nil
}

// recordOver reports whether nothing is wanted or kept of the record's groups.
func (l *Log) recordOver(record *orderRecord, kept map[string]bool) bool {
	for _, group := range record.Groups {
		if kept[group.ID] || !l.groups[group.ID].over() {
			return false
		}
	}
	for _, id := range record.Cancelled {
		// The cancellation is needed as long as the order is there.
		if _, ok := l.groups[id]; ok {
			return false
		}
	}
	return true
}

// rewrite returns record with the trimmed indices of its groups. Of a group
// with no position left only the id remains.
func (l *Log) rewrite(record *orderRecord, indices map[string][]int, kept map[string]bool) *orderRecord {
	rewritten := &orderRecord{
		Cancelled: record.Cancelled,
		Finished:  slices.Clone(record.Finished),
		Trimmed:   map[string][]int{},
	}
	for _, group := range record.Groups {
		if l.groups[group.ID].over() && !kept[group.ID] {
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

// applyTrims forgets what a commit has deleted. The lock is held.
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
