package follow

import (
	"sync"
	"time"
)

// failures remembers which hosts failed a moment ago.
type failures struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (f *failures) note(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == nil {
		f.at = make(map[string]time.Time)
	}
	f.at[incarnation] = time.Now()
}

func (f *failures) recently(incarnation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.at[incarnation]
	if ok && time.Since(at) >= avoidFor {
		delete(f.at, incarnation)
		return false
	}
	return ok
}
