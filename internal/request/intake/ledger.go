// Package intake bounds the memory and the connections that callers make a process hold.
package intake

import (
	"math"
	"time"
)

const (
	// reserveShare is the share of the memory that only small holders take.
	reserveShare = 0.125
	// smallBytes is what a holder holds at most to count as small: a connection, the head and
	// the body of an ordinary request, and the start of its answer.
	smallBytes = 128 << 10
	// stallTime is the time without progress after which a holder may be ended.
	stallTime = time.Second
	// progressShare is the part of what a holder holds that has to move for it to count as
	// progress.
	progressShare = 1.0 / 16
	minProgress   = 1 << 10
)

// phase is what a connection does.
type phase int

const (
	// idle waits for the first byte of a request.
	idle phase = iota
	// receiving has sent a part of a request, of which nothing has run.
	receiving
	// running has sent a request that may have run.
	running
	// sending waits for its caller to read a part of its answer.
	sending
)

// holder is what one connection holds.
type holder struct {
	ended bool
	// group counts against one limit of connections.
	group any
	held  int64
	// moved is the time of the last progress, and sinceMoved the bytes that came since.
	moved      time.Time
	phase      phase
	sinceMoved int64
	// waiting is set while the connection waits for memory.
	waiting bool
}

// isSmall reports whether the holder holds no more than an ordinary request.
func (h *holder) isSmall() bool { return h.held <= smallBytes }

// move records that n bytes were received or sent.
func (h *holder) move(now time.Time, n int) {
	h.sinceMoved += int64(n)
	if h.sinceMoved >= max(minProgress, int64(progressShare*float64(h.held))) {
		h.moved, h.sinceMoved = now, 0
	}
}

// begin begins a phase.
func (h *holder) begin(now time.Time, p phase) {
	h.phase, h.moved, h.sinceMoved = p, now, 0
}

// ledger decides who may hold how much. It answers the load of callers that hold memory and
// connections without using them.
type ledger struct {
	// total is the memory for all holders in bytes; zero leaves it unbounded.
	total int64

	holders map[*holder]struct{}
	// used is what all holders hold, and small the part of it that small ones hold.
	used, small int64
	// work is memory that no holder holds and that isn't free.
	work int64
}

// reserved is the memory that only small holders take.
func (l *ledger) reserved() int64 { return int64(reserveShare * float64(l.total)) }

// room returns how many bytes more a holder may hold if no other holds any.
func (l *ledger) room(h *holder) int64 {
	if l.total == 0 {
		return math.MaxInt64 - h.held
	}
	return max(smallBytes, l.total-l.reserved()) - h.held
}

// free returns how many bytes a holder may take now. Beyond what a small one holds, it leaves
// the reserve, of which small holders use up what they hold.
func (l *ledger) free(h *holder, n int64) int64 {
	free := l.total - l.used - l.work
	if h.held+n <= smallBytes {
		return free
	}
	small := l.small
	if h.isSmall() {
		small -= h.held
	}
	return free - max(l.reserved()-small, 0)
}

// take takes n bytes for a holder if they are free.
func (l *ledger) take(h *holder, n int64) bool {
	if l.total > 0 && n > l.free(h, n) {
		return false
	}
	l.charge(h, n)
	return true
}

// charge takes n bytes also if they aren't free.
func (l *ledger) charge(h *holder, n int64) {
	if h.isSmall() {
		l.small -= h.held
	}
	h.held += n
	l.used += n
	if h.isSmall() {
		l.small += h.held
	}
}

// give gives n bytes back.
func (l *ledger) give(h *holder, n int64) { l.charge(h, -min(n, h.held)) }

// ending returns the bytes of holders that were ended and have not given them back yet.
func (l *ledger) ending() int64 {
	var n int64
	for h := range l.holders {
		if h.ended {
			n += h.held
		}
	}
	return n
}

// stalled returns the holder to end for memory: of those of which nothing has run or which don't
// read their answer, the one that has held most for longest without progress, and one that
// doesn't read its answer last. If only holders that wait for memory hold much, they wait for
// each other, and it returns the last of them. It returns nil if all move or run. If group isn't
// nil, only its holders count.
func (l *ledger) stalled(now time.Time, group any) *holder {
	var worst, lastWaiting *holder
	var worstScore float64
	mayGiveBack := false
	for h := range l.holders {
		if h.ended || group != nil && h.group != group {
			continue
		}
		mayGiveBack = mayGiveBack || !h.waiting && !h.isSmall()
		switch {
		case !h.isStalled(now):
		case h.waiting:
			if lastWaiting == nil || h.moved.After(lastWaiting.moved) {
				lastWaiting = h
			}
		case worst == nil || h.stallScore(now) > worstScore:
			worst, worstScore = h, h.stallScore(now)
		}
	}
	if worst == nil && !mayGiveBack {
		return lastWaiting
	}
	return worst
}

// isStalled reports whether the holder may be ended for its lack of progress.
func (h *holder) isStalled(now time.Time) bool {
	return h.phase != running && now.Sub(h.moved) >= stallTime
}

// stallScore is higher the sooner a stalled holder is to be ended. It is negative for one that
// doesn't read its answer.
func (h *holder) stallScore(now time.Time) float64 {
	score := float64(h.held) * now.Sub(h.moved).Seconds()
	if h.phase == sending {
		return -1 / (1 + score)
	}
	return score
}

// endable returns the bytes of the holders that stalled may return one after the other.
func (l *ledger) endable(now time.Time) int64 {
	var n int64
	for h := range l.holders {
		if !h.ended && h.isStalled(now) {
			n += h.held
		}
	}
	return n
}

// admit adds a holder of n bytes to its group, which has at most limit holders unless limit is
// zero. If there are too many, it returns another one to end for it: the longest idle one, or
// else the one that has held most for longest without progress. ok is false if there is none.
func (l *ledger) admit(h *holder, now time.Time, n int64, limit int) (end *holder, ok bool) {
	if group, full := l.isFull(h, n, limit); full {
		end = l.longestIdle(group)
		if end == nil {
			end = l.stalled(now, group)
		}
		if end == nil {
			return nil, false
		}
		end.ended = true
	}
	if l.holders == nil {
		l.holders = make(map[*holder]struct{})
	}
	l.holders[h] = struct{}{}
	h.begin(now, idle)
	l.charge(h, n)
	return end, true
}

// isFull reports whether there is no place for another holder of n bytes, and of which group
// one has to end; nil is any.
func (l *ledger) isFull(h *holder, n int64, limit int) (group any, full bool) {
	members := 0
	var ending int64
	for other := range l.holders {
		switch {
		case other.ended:
			ending += other.held
		case other.group == h.group:
			members++
		}
	}
	if limit > 0 && members >= limit {
		return h.group, true
	}
	return nil, l.total > 0 && n > 0 && l.used-ending+n > l.total
}

// longestIdle returns the holder of a group, or of any if it is nil, that has been idle for
// longest, or nil.
func (l *ledger) longestIdle(group any) *holder {
	var longest *holder
	for h := range l.holders {
		if h.phase == idle && !h.ended && (group == nil || h.group == group) && (longest == nil || h.moved.Before(longest.moved)) {
			longest = h
		}
	}
	return longest
}

// remove removes a holder and what it holds.
func (l *ledger) remove(h *holder) {
	l.give(h, h.held)
	delete(l.holders, h)
}
