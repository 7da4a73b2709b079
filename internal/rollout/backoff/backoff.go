// Package backoff decides how long the items of one batch stay away from an engine that refused
// one of them or on which one failed. It does no I/O.
//
// A refusal or a failure may be due to the item as well as to the engine, and a batch may hold
// thousands of items that fail everywhere. Therefore it counts for the batch of the item only.
package backoff

import "time"

const (
	// refusalWait is how long a batch stays away from an engine that refused an item. An
	// engine that is full or loads weights takes items again within a few such times.
	refusalWait = 150 * time.Millisecond
	// patience is the number of refusals in a row after which the wait doubles with each
	// further one, up to maxRefusalWait. It covers the usual time of a load.
	patience       = 20
	maxRefusalWait = 2 * time.Second
	// failureWait is the wait after a failed run. It doubles with each further failure in a
	// row, up to maxFailureWait.
	failureWait    = 500 * time.Millisecond
	maxFailureWait = 4 * time.Second
)

// Engines holds the engines that get no items of one batch for some time. The zero value is
// ready. It is not safe for concurrent use.
type Engines struct {
	byID map[string]*state
}

// state is the back-off of one engine.
type state struct {
	failures, refusals int
	// since is when the back-off was last extended. Its part after refusals lasts until
	// refusedUntil, that after failures until failedUntil.
	since, failedUntil, refusedUntil time.Time
}

// Refused records that the engine refused a run that began at began.
func (e *Engines) Refused(engine string, began, now time.Time) {
	s, first := e.extend(engine, began)
	if !first {
		return
	}
	s.refusals++
	doubled := refusalWait << min(max(s.refusals-patience, 0), 8)
	s.since, s.refusedUntil = now, latest(s.refusedUntil, now.Add(min(doubled, maxRefusalWait)))
}

// Failed records that a run that began at began failed on the engine.
func (e *Engines) Failed(engine string, began, now time.Time) {
	s, first := e.extend(engine, began)
	if !first {
		return
	}
	wait := failureWait << min(s.failures, 8)
	s.failures++
	s.since, s.failedUntil = now, latest(s.failedUntil, now.Add(min(wait, maxFailureWait)))
}

// extend returns the state of the engine. It returns false for a run that began before the
// back-off was last extended: runs that fail together count as one.
func (e *Engines) extend(engine string, began time.Time) (*state, bool) {
	if e.byID == nil {
		e.byID = make(map[string]*state)
	}
	s, ok := e.byID[engine]
	if !ok {
		s = &state{}
		e.byID[engine] = s
	}
	return s, s.since.IsZero() || began.After(s.since)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Answered records that the engine answered an item of the batch with an event, which ends the
// back-off.
func (e *Engines) Answered(engine string) { delete(e.byID, engine) }

// Active returns the engines that back off at now.
func (e *Engines) Active(now time.Time) map[string]bool {
	return e.until(now, func(s *state) time.Time { return latest(s.failedUntil, s.refusedUntil) })
}

// Refusing returns the engines that back off at now because they refused items.
func (e *Engines) Refusing(now time.Time) map[string]bool {
	return e.until(now, func(s *state) time.Time { return s.refusedUntil })
}

// until returns the engines for which end returns a time after now.
func (e *Engines) until(now time.Time, end func(*state) time.Time) map[string]bool {
	active := make(map[string]bool)
	for id, s := range e.byID {
		if now.Before(end(s)) {
			active[id] = true
		}
	}
	return active
}
