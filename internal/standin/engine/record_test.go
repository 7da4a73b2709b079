package engine

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestRunThatLosesItsConnectionInACrashIsRecordedAsCrashed cancels the context of a request as
// net/http does when its connection closes, before the crash reaches it.
func TestRunThatLosesItsConnectionInACrashIsRecordedAsCrashed(t *testing.T) {
	for name, crashes := range map[string]bool{"crash": true, "caller left": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &Engine{}
			processCtx, crash := context.WithCancelCause(t.Context())
			defer crash(nil)
			g := &generation{processCtx: processCtx, run: &Run{}}
			if crashes {
				crash(errCrashed)
			}
			e.recordEnd(g, false)
			is.Equal(g.run.Crashed, crashes)
			is.Equal(g.run.Cancelled, !crashes)
		})
	}
}
