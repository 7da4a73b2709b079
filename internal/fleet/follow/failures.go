package follow

import (
	"sync"
	"time"
)

// recentFailures holds until when the readers that failed are not called. A key is the
// incarnation of a reader, or that of a reader and a prefix.
type recentFailures struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (f *recentFailures) record(key string, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = make(map[string]time.Time)
	}
	f.until[key] = time.Now().Add(duration)
}

func (f *recentFailures) contains(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, ok := f.until[key]
	if ok && !time.Now().Before(until) {
		delete(f.until, key)
		return false
	}
	return ok
}
