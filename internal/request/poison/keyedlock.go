package poison

import (
	"context"
	"sync"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// maxLockRequests bounds the requests that hold or await the lock of one content.
const maxLockRequests = 64

// lockTable holds a mutual exclusion lock for each content that is in use.
type lockTable struct {
	mu    sync.Mutex
	locks map[uint64]*contentLock
}

// contentLock is the lock of one content.
type contentLock struct {
	// token holds a value while the lock is free.
	token chan struct{}
	// requests counts the holder and the requests that wait.
	requests int
}

// acquire waits for the lock of the content and returns the function that releases it.
func (t *lockTable) acquire(ctx context.Context, fingerprint uint64) (unlock func(), err error) {
	l, err := t.addRequest(fingerprint)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.token:
		return func() {
			l.token <- struct{}{}
			t.removeRequest(fingerprint)
		}, nil
	case <-ctx.Done():
		t.removeRequest(fingerprint)
		return nil, kind.Of(ctx.Err()).WithRan(kind.RanNo)
	}
}

// addRequest adds a request to the lock of the content and returns the lock, which it
// creates if needed.
func (t *lockTable) addRequest(fingerprint uint64) (*contentLock, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.locks[fingerprint]
	if !ok {
		if t.locks == nil {
			t.locks = make(map[uint64]*contentLock)
		}
		l = &contentLock{token: make(chan struct{}, 1)}
		l.token <- struct{}{}
		t.locks[fingerprint] = l
	}
	if l.requests >= maxLockRequests {
		return nil, kind.New(kind.Overloaded, "%d requests with the same doubtful content already run or wait, which is the limit", l.requests).WithRan(kind.RanNo)
	}
	l.requests++
	return l, nil
}

// removeRequest removes a request from the lock of the content. When the last request has
// been removed, it deletes the lock.
func (t *lockTable) removeRequest(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.locks[fingerprint]; l != nil {
		if l.requests--; l.requests == 0 {
			delete(t.locks, fingerprint)
		}
	}
}
