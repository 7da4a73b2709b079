package host

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegway/nutmegway/internal/request/forward"
)

// stopTime is when the host stops serving requests. It is unknown until the host leaves.
type stopTime struct {
	at      atomic.Pointer[time.Time]
	reached chan struct{}
}

var _ forward.Stop = (*stopTime)(nil)

// set sets the time, once. The returned function ends the wait for it.
func (s *stopTime) set(at time.Time) (cancel func()) {
	s.at.Store(&at)
	reach := sync.OnceFunc(func() { close(s.reached) })
	timer := time.AfterFunc(time.Until(at), reach)
	return func() {
		timer.Stop()
		reach()
	}
}

// At implements forward.Stop.
func (s *stopTime) At() (time.Time, bool) {
	if at := s.at.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// Reached implements forward.Stop.
func (s *stopTime) Reached() <-chan struct{} { return s.reached }
