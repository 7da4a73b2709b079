package plain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	// concurrentRequests is the number of connections that one service takes from all hosts.
	concurrentRequests = 180
	// hostMemory is what a host may use in all; half of the memory of the smallest machine.
	hostMemory = 64 << 20
)

// TestBytesWithoutEndAreBounded guards against hosts that run out of memory because faulty
// servers send bytes that are no answer, without end, to many requests at once. The caller
// learns that the request may have run.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	const chunked = status + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct{ first, repeated string }{
		"short header fields":       {status, "a:b\r\n"},
		"distinct header fields":    {status, ""},
		"one long header field":     {status + "a: ", strings.Repeat("b", 4096)},
		"no answer at all":          {"", strings.Repeat("\x00\xffgarbage", 512)},
		"empty lines":               {"", "\r\n"},
		"informational answers":     {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"length of a chunk":         {chunked, "0"},
		"extension of a chunk":      {chunked + "5;", strings.Repeat("e", 4096)},
		"trailers":                  {chunked + "0\r\n", "t: v\r\n"},
		"body with many tiny parts": {chunked, "1\r\nx\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			piece := c.repeated
			if piece == "" {
				piece = distinctFields()
			}
			for len(piece) < 4096 {
				piece += piece
			}
			var received sync.Map
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				received.Store(request.Header.Get("X-Request-Id"), true)
				_, err = io.WriteString(conn, c.first)
				for err == nil {
					_, err = io.WriteString(conn, piece)
				}
			})
			client := &plain.Client{}
			var errors [concurrentRequests]error
			peak := peakOfHeap(t, func() {
				var group errgroup.Group
				for n := range concurrentRequests {
					group.Go(func() error {
						ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
						defer cancel()
						errors[n] = send(ctx, client, address, strconv.Itoa(n))
						return nil
					})
				}
				_ = group.Wait()
			})
			for n, err := range errors {
				_, mayHaveRun := received.Load(strconv.Itoa(n))
				is.True(err == nil || !mayHaveRun || kind.Of(err).Ran == kind.RanUnknown)
			}
			t.Logf("peak of the heap: %d MB", peak>>20)
			is.True(peak < hostMemory)
		})
	}
}

// send sends a request and reads what comes of a body, up to 256 KiB.
func send(ctx context.Context, client *plain.Client, address, id string) error {
	request := newBooking()
	request.RequestID = id
	response, err := client.Do(ctx, address, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.CopyN(io.Discard, response.Body, 256<<10)
	return nil
}

// distinctFields returns header fields with names that differ.
func distinctFields() string {
	var fields strings.Builder
	for a := 'a'; a <= 'z'; a++ {
		for b := 'a'; b <= 'z'; b++ {
			fields.WriteString(string(a) + string(b) + ":\r\n")
		}
	}
	return fields.String()
}

// peakOfHeap returns the highest number of bytes that work added to the heap.
func peakOfHeap(t *testing.T, work func()) uint64 {
	t.Helper()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, peak := stats.HeapAlloc, uint64(0)
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc-min(before, stats.HeapAlloc))
			select {
			case <-done:
				return nil
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	work()
	close(done)
	_ = group.Wait()
	return peak
}
