package follow

import (
	"sync"
	"time"
)

// recentFailures holds the incarnations of hosts to which a call failed less than
// ejectionTime ago.
type recentFailures struct {
	mu       sync.Mutex
	failedAt map[string]time.Time
}

func (f *recentFailures) record(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedAt == nil {
		f.failedAt = make(map[string]time.Time)
	}
	f.failedAt[incarnation] = time.Now()
}

func (f *recentFailures) contains(incarnation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, ok := f.failedAt[incarnation]
	if ok && time.Since(last) >= ejectionTime {
		delete(f.failedAt, incarnation)
		return false
	}
	return ok
}
