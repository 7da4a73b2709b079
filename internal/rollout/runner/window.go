package runner

import "time"

const (
	// initialPerEngine is the initial limit on attempts per backend server.
	initialPerEngine = 8
	// maxPerEngine is the upper bound of the limit on attempts per backend server.
	maxPerEngine = 256
	// overloadHeadroom determines the limit after an overload error: that
	// factor times the number of producing attempts, plus one per engine.
	overloadHeadroom = 1.1
	// maxOverloadPause bounds the pause of starts after an overload error.
	maxOverloadPause = 250 * time.Millisecond
)

// window adapts the limit on attempts in flight to the capacity of the service.
// A success while the window is full raises the limit by one. An overload error
// lowers the limit to slightly more than the number of attempts that have
// received tokens.
type window struct {
	engines int
	limit   float64
	// resumeAt is the end of the current pause of starts.
	resumeAt time.Time
}

// setEngines sets the number of engines and brings the limit within its bounds,
// which are 1 and maxPerEngine attempts per engine.
func (w *window) setEngines(engines int) {
	engines = max(engines, 1)
	if w.limit == 0 {
		w.limit = float64(engines * initialPerEngine)
	}
	w.engines = engines
	w.limit = min(max(w.limit, float64(engines)), float64(engines*maxPerEngine))
}

func (w *window) size() int { return int(w.limit) }

func (w *window) paused(now time.Time) bool { return now.Before(w.resumeAt) }

// onSuccess raises the limit by one if the window was full or one attempt short
// of it. inFlight includes the attempt that succeeded.
func (w *window) onSuccess(inFlight int) {
	if float64(inFlight) >= w.limit-1 {
		w.limit++
	}
}

// onOverload lowers the limit to the number of producing attempts, plus some room
// for capacity that other trainers release. It pauses starts for wait, at most
// maxOverloadPause.
func (w *window) onOverload(now time.Time, producing int, wait time.Duration) {
	w.limit = min(w.limit, float64(producing)*overloadHeadroom+float64(w.engines))
	w.pauseUntil(now.Add(min(wait, maxOverloadPause)))
}

// pauseUntil pauses starts until the given time, or until the end of a longer pause
// that is already set.
func (w *window) pauseUntil(until time.Time) {
	if until.After(w.resumeAt) {
		w.resumeAt = until
	}
}
