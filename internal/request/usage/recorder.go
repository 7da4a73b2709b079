package usage

import (
	"sync"
	"time"
)

const (
	// maxUnassigned bounds the requests whose window isn't determined yet.
	maxUnassigned = 20000
	// maxAssignDelay is how long a request waits for the time of the fleet. After that its
	// window is that of the local clock.
	maxAssignDelay = 2 * time.Second
)

// Recorder counts the requests of this host. It does no I/O. The exported fields are set
// before the first call.
type Recorder struct {
	Clock   *Clock
	Windows Windows

	mu sync.Mutex
	// began holds the requests whose window isn't determined yet, since the time of the fleet
	// may not be known when a request begins.
	began  []begun
	counts Counts
	// next is the first window that isn't closed.
	next int64
	// revision rises with each request.
	revision int64
	late     int64
}

// begun is one request that a server began to run.
type begun struct {
	account string
	at      time.Time
}

// Began counts a request of an account that a server began to run at the local time at.
func (r *Recorder) Began(account string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.began = append(r.began, begun{account: account, at: at})
	if len(r.began) >= maxUnassigned {
		r.assign()
	}
}

// Snapshot returns what was counted in the windows that aren't closed. The revision rises
// with each request. waiting is set if requests wait for the time of the fleet.
func (r *Recorder) Snapshot(now time.Time) (counts Counts, revision int64, waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.began) > 0 && (r.Clock.Agreed() || now.Sub(r.began[0].at) > maxAssignDelay) {
		r.assign()
	}
	return r.counts.Clone(), r.revision, len(r.began) > 0
}

// Revision returns the revision that Snapshot would return.
func (r *Recorder) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Close drops the windows before next, which are closed, and returns how many requests since
// the last call came too late for their window.
func (r *Recorder) Close(next int64) (late int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = max(r.next, next)
	r.counts.DropBefore(r.next)
	late, r.late = r.late, 0
	return late
}

// assign adds the requests to their windows. r.mu is held.
func (r *Recorder) assign() {
	if r.counts == nil {
		r.counts = make(Counts)
	}
	var newest int64
	for _, request := range r.began {
		window := r.Windows.At(r.Clock.Time(request.at))
		if window < r.next {
			r.late++
			continue
		}
		r.counts.Add(window, request.account, 1)
		newest = max(newest, window)
	}
	r.counts.DropBefore(newest - maxWindows)
	r.began = r.began[:0]
}
