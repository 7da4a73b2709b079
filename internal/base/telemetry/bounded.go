package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxQueuedLines bounds how many lines wait to be written.
const maxQueuedLines = 1024

// BoundedWriter writes lines without blocking its caller. It drops the lines that exceed
// its rate or its queue and reports their number in a log line. The exported fields are
// set before Start.
type BoundedWriter struct {
	LinesPerSecond int
	Writer         io.Writer

	dropped atomic.Int64
	lines   chan []byte
}

var _ io.Writer = (*BoundedWriter)(nil)

// Start starts a goroutine that writes the queued lines. stop writes the lines that are
// still queued, regardless of the rate, and ends the goroutine.
func (w *BoundedWriter) Start() (stop func()) {
	w.lines = make(chan []byte, maxQueuedLines)
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

// Write implements io.Writer. It queues a copy of line and never fails.
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
	remaining := w.LinesPerSecond
	for {
		select {
		case line := <-w.lines:
			if remaining <= 0 {
				w.dropped.Add(1)
				continue
			}
			remaining--
			w.writeLine(line)
		case <-ticker.C:
			remaining = w.LinesPerSecond
			w.reportDropped()
		case <-done:
			for len(w.lines) > 0 {
				w.writeLine(<-w.lines)
			}
			w.reportDropped()
			return
		}
	}
}

// writeLine writes a line. A failed write is ignored, since the log itself is where it
// would be reported.
func (w *BoundedWriter) writeLine(line []byte) { _, _ = w.Writer.Write(line) }

func (w *BoundedWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeLine(fmt.Appendf(nil, "time=%s level=WARN msg=\"log lines dropped\" lines=%d\n",
			time.Now().Format(time.RFC3339Nano), n))
	}
}
