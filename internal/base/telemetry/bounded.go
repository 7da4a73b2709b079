package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// boundedQueue is the number of lines that wait to be written.
const boundedQueue = 1024

// BoundedWriter passes lines on without ever blocking its caller. Lines beyond
// its rate or its queue are dropped and counted in a line of their own. The
// exported fields are set before Start.
type BoundedWriter struct {
	LinesPerSecond int
	Writer         io.Writer

	dropped atomic.Int64
	lines   chan []byte
}

var _ io.Writer = (*BoundedWriter)(nil)

// Start begins to write. The returned function writes what waits and stops.
func (w *BoundedWriter) Start() (stop func()) {
	w.lines = make(chan []byte, boundedQueue)
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		w.run(done)
		return nil
	})
	return func() {
		close(done)
		_ = group.Wait()
	}
}

// Write implements io.Writer. It keeps a copy of the line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *BoundedWriter) run(done <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	left := w.LinesPerSecond
	for {
		select {
		case line := <-w.lines:
			if left <= 0 {
				w.dropped.Add(1)
				continue
			}
			left--
			w.pass(line)
		case <-ticker.C:
			left = w.LinesPerSecond
			w.report()
		case <-done:
			for len(w.lines) > 0 {
				w.pass(<-w.lines)
			}
			w.report()
			return
		}
	}
}

// pass writes a line. Nobody is left to be told of a log that can't be written.
func (w *BoundedWriter) pass(line []byte) { _, _ = w.Writer.Write(line) }

func (w *BoundedWriter) report() {
	if n := w.dropped.Swap(0); n > 0 {
		w.pass(fmt.Appendf(nil, "time=%s level=WARN msg=\"log lines dropped\" lines=%d\n",
			time.Now().Format(time.RFC3339Nano), n))
	}
}
