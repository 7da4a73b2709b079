package generation_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
)

// TestEventsWithoutEndAreBounded guards against hosts that run out of memory because faulty
// engines send an event without end to many items at once. Each run ends as broken, long
// before its time is over, so that the item goes on at another engine.
func TestEventsWithoutEndAreBounded(t *testing.T) {
	const (
		runs = 180
		// hostMemory is half of the memory of the smallest machine.
		hostMemory = 64 << 20
	)
	cases := map[string]string{
		"one long line":    "x",
		"short data lines": "data:x\n",
		"comments":         ":\n",
		"empty lines":      "\n",
	}
	for name, repeated := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			piece := []byte(strings.Repeat(repeated, 4096))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				for r.Context().Err() == nil {
					if _, err := w.Write(piece); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			client := &generation.Client{
				Dialect: testDialect, Logger: slog.New(slog.DiscardHandler),
				// Beside other load, it takes long to open so many connections.
				Plain: &plain.Client{ConnectTimeout: time.Minute},
			}
			runtime.GC()
			var group errgroup.Group
			done := make(chan struct{})
			peak := uint64(0)
			var observer errgroup.Group
			observer.Go(func() error {
				for {
					var stats runtime.MemStats
					runtime.ReadMemStats(&stats)
					peak = max(peak, stats.HeapAlloc)
					select {
					case <-done:
						return nil
					case <-time.After(2 * time.Millisecond):
					}
				}
			})
			outcomes := make([]generation.Outcome, runs)
			for n := range runs {
				group.Go(func() error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					outcomes[n], _ = client.Run(ctx, generation.Request{
						Address: strings.TrimPrefix(server.URL, "http://"), EventTimeout: time.Minute, FirstEventTimeout: time.Minute,
						ID: "i1", Target: "/r/x",
					}, func(string) {}, func(generation.Event) error { return nil })
					return nil
				})
			}
			_ = group.Wait()
			close(done)
			_ = observer.Wait()
			for _, outcome := range outcomes {
				is.Equal(outcome, generation.OutcomeBroken)
			}
			t.Logf("peak of the heap: %d MB", peak>>20)
			is.True(peak < hostMemory)
		})
	}
}
