package generation

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

// FuzzEvents reads arbitrary bytes as a stream of events. Reading must end, and the events
// must not hold more bytes than the input.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a", ": comment\n\ndata:\n\n", "weight-version: 4\ndata: x\n\n",
		"weight-version: new\n\n", "\r\n\r\ndata: a\r\n\r\n", "data\n\n", "\x00\xff\n\n", strings.Repeat("\n", 70_000),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := eventReader{versionField: "weight-version", scanner: bufio.NewScanner(strings.NewReader(text))}
		reader.scanner.Buffer(nil, maxEventBytes)
		size := 0
		for {
			event, err := reader.next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return
			}
			size += len(event.Data) + len(event.ID)
		}
		if size > len(text) {
			t.Errorf("events hold %d bytes, want at most the %d bytes of the input", size, len(text))
		}
	})
}
