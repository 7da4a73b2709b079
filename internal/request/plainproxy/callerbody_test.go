package plainproxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestBodyIsNotReadAfterStop stops a body while a transport waits in Read. This happens
// when a backend server closes its connection before it has read the request.
func TestBodyIsNotReadAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe()
		body := newCallerBody(&http.Request{Body: reader, ContentLength: -1})
		errInterrupted := errors.New("interrupted")
		var group errgroup.Group
		group.Go(func() error {
			_, err := body.Read(make([]byte, 1))
			return err
		})
		synctest.Wait()
		body.stop(func() { _ = writer.CloseWithError(errInterrupted) })
		is.Equal(group.Wait(), errInterrupted) // the read in progress was interrupted
		_, err := body.Read(make([]byte, 1))
		is.Equal(err, errBodyStopped) // no read follows
	})
}

func TestDrainReadsOnlyShortBodies(t *testing.T) {
	for _, tt := range []struct {
		complete bool
		length   int64
		name     string
		size     int
	}{
		{name: "known length", length: 100, size: 100, complete: true},
		{name: "body above the limit", length: 2 * maxDrainBytes, size: 2 * maxDrainBytes},
		{name: "unknown length", length: -1, size: 100, complete: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			body := newCallerBody(&http.Request{Body: io.NopCloser(strings.NewReader(strings.Repeat("a", tt.size))), ContentLength: tt.length})
			body.stop(func() {})
			is.Equal(body.drain(), tt.complete)
			is.Equal(body.consumed(), tt.complete)
		})
	}
}
