package runner

import "time"

const (
	// initialPerEngine is the number of attempts per backend server at first.
	initialPerEngine = 8
	// maxPerEngine bounds the attempts per backend server.
	maxPerEngine = 256
	// overloadHeadroom is the factor over the running attempts that a refusal leaves.
	overloadHeadroom = 1.1
	// maxOverloadPause bounds the time without starts after a refusal for load.
	maxOverloadPause = 250 * time.Millisecond
)

// window adapts the number of attempts in flight to what the service takes:
// it grows with each success in full use, and a refusal for load brings it down
// to a little over what runs.
type window struct {
	engines  int
	limit    float64
	resumeAt time.Time
}

// setEngines sets the bounds for a number of engines.
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

// onSuccess grows the window when it was in full use.
func (w *window) onSuccess(inFlight int) {
	if float64(inFlight) >= w.limit-1 {
		w.limit++
	}
}

// onOverload brings the window down to the attempts that run, with some room for
// the share that the other trainers give back, and holds starts back.
func (w *window) onOverload(now time.Time, running int, wait time.Duration) {
	w.limit = min(w.limit, float64(running)*overloadHeadroom+float64(w.engines))
	w.pauseUntil(now.Add(min(wait, maxOverloadPause)))
}

// pauseUntil holds starts back until a time.
func (w *window) pauseUntil(until time.Time) {
	if until.After(w.resumeAt) {
		w.resumeAt = until
	}
}
