package telemetry_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/telemetry"
)

func TestBoundedWriterReportsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := &telemetry.BoundedWriter{LinesPerSecond: 10, Writer: &out}
		stop := w.Start()
		for n := range 100 {
			fmt.Fprintf(w, "line %d\n", n)
			synctest.Wait()
		}
		time.Sleep(1500 * time.Millisecond)
		fmt.Fprintln(w, "later")
		stop()
		text := out.String()
		is.Equal(strings.Count(text, "line "), 10)
		is.True(strings.Contains(text, "lines=90"))
		is.True(strings.Contains(text, "later"))
	})
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBoundedWriterNeverBlocks(*testing.T) {
	blocked := blockedWriter{release: make(chan struct{})}
	w := &telemetry.BoundedWriter{LinesPerSecond: 1 << 30, Writer: blocked}
	stop := w.Start()
	for range 10_000 {
		_, _ = io.WriteString(w, "line\n") // A Write that waited for the writer would never return.
	}
	close(blocked.release)
	stop()
}
