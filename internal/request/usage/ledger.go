package usage

import (
	"encoding/json"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// maxPending bounds the closed windows that wait for the platform's acknowledgement.
const maxPending = 60

// Closed is a window whose counts don't change any more.
type Closed struct {
	Counts map[string]int64 `json:"counts"`
	Window int64            `json:"window"`
}

// Ledger tells which windows are closed and which of these the platform hasn't acknowledged.
// It is kept in the store and does no I/O.
type Ledger struct {
	// Next is the first window that isn't closed.
	Next int64 `json:"next"`
	// Pending are the closed windows that may not have been acknowledged, in order.
	Pending []Closed `json:"pending"`
}

// ParseLedger decodes a ledger.
func ParseLedger(value []byte) (Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return Ledger{}, kind.Wrap(kind.Internal, err)
	}
	return l, nil
}

// Encode encodes the ledger.
func (l Ledger) Encode() ([]byte, error) {
	value, err := json.Marshal(l)
	return value, kind.Wrap(kind.Internal, err)
}

// Due returns the ledger with the windows closed that ended at least delay before now, or
// false if there are none. sum returns the counts of a window. lost are the windows that are
// too old for hosts to have their counts, and those that the platform didn't acknowledge
// while too many others waited.
func (l Ledger) Due(now time.Time, windows Windows, delay time.Duration, sum func(window int64) map[string]int64) (closed Ledger, lost []int64, ok bool) {
	until := windows.At(now.Add(-delay)) // The first window that stays open.
	closed = Ledger{Next: l.Next, Pending: append([]Closed(nil), l.Pending...)}
	for ; closed.Next < until-maxWindows; closed.Next++ {
		lost = append(lost, closed.Next)
	}
	for ; closed.Next < until; closed.Next++ {
		closed.Pending = append(closed.Pending, Closed{Counts: sum(closed.Next), Window: closed.Next})
	}
	for len(closed.Pending) > maxPending {
		lost = append(lost, closed.Pending[0].Window)
		closed.Pending = closed.Pending[1:]
	}
	return closed, lost, closed.Next > l.Next
}
