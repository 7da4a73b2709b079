package forward_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// TestOneRequestBacksOffFewServers guards against a request that no server can serve and for which
// all of them get no more work of others. BackingOff keeps items of batches away.
func TestOneRequestBacksOffFewServers(t *testing.T) {
	cases := map[string]struct {
		handle handler
		// backingOff is the number of servers that back off for all work, and refusing the number
		// of those that back off for requests.
		backingOff, refusing int
	}{
		"refused":             {handle: answerNotRun, refusing: 1},
		"connection reset":    {handle: resetConnection, refusing: 3},
		"answered with a 500": {handle: answerInternalError},
		"not reached":         {backingOff: 3, refusing: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := []*testServer{newServer(t, c.handle), newServer(t, c.handle), newServer(t, c.handle)}
			f := newForwarder(servers...)
			if c.handle == nil {
				for _, s := range servers {
					s.Close()
				}
			}
			// The error or the answer doesn't matter here.
			_ = f.Serve(t.Context(), httptest.NewRecorder(), request(), config.Route{
				MaxAttempts: 3, Repeat: config.RepeatIdempotent, Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: time.Minute,
			})
			backingOff, refusing := 0, 0
			for _, candidate := range f.Inventory.Candidates("s") {
				backingOff += count(candidate, func(c inventory.Candidate) bool { return c.BackingOff })
				refusing += count(candidate, func(c inventory.Candidate) bool { return c.IsAvoidedByRequests() })
			}
			is.Equal(backingOff, c.backingOff)
			is.Equal(refusing, c.refusing)
		})
	}
}

func count(c inventory.Candidate, has func(inventory.Candidate) bool) int {
	if has(c) {
		return 1
	}
	return 0
}
