package inventory

import "time"

// RequestLimit is the number of requests per second that a server accepts from all hosts
// together. The zero value means that the server has named no limit.
type RequestLimit struct {
	Named     bool
	PerSecond float64
}

// observedLimit is the limit that the latest answer of a server named.
type observedLimit struct {
	RequestLimit

	// receivedAt is when the answer was received.
	receivedAt time.Time
}

// RecordRequestLimit records the limit that an answer of a server named. It returns the one
// that was in force before and whether it has changed. An answer without a limit ends the
// limit, unless its request was sent before the answer that named it was received: answers
// on different connections may overtake each other.
func (v *Inventory) RecordRequestLimit(id string, limit RequestLimit, sent time.Time) (before RequestLimit, changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, known := v.servers[id]
	if v.observedByID[id] == nil && (!known || !limit.Named) {
		return RequestLimit{}, false
	}
	seen := v.observed(id)
	before = seen.limit.RequestLimit
	if !limit.Named && sent.Before(seen.limit.receivedAt) {
		return before, false
	}
	seen.limit = observedLimit{RequestLimit: limit, receivedAt: v.now()}
	return before, before != limit
}

// RequestLimitOf returns the limit in force at a server and when its latest answer named it.
func (v *Inventory) RequestLimitOf(id string) (limit RequestLimit, observedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if seen := v.observedByID[id]; seen != nil {
		return seen.limit.RequestLimit, seen.limit.receivedAt
	}
	return RequestLimit{}, time.Time{}
}
