package forward_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// TestServerLeavesBetweenChoiceAndSending has the first server leave while the request waits
// for a connection to it. A pause of the entry host's process can have the same effect.
func TestServerLeavesBetweenChoiceAndSending(t *testing.T) {
	for name, repeat := range map[string]config.RepeatPolicy{"repeatable": config.RepeatIdempotent, "not repeatable": config.RepeatNever} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := newServer(t, answerComplete), newServer(t, answerComplete)
			f := newForwarder(first, second)
			dialing, proceed := make(chan struct{}), make(chan struct{})
			var once sync.Once
			f.Client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				once.Do(func() {
					close(dialing)
					<-proceed
				})
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			var group errgroup.Group
			w := httptest.NewRecorder()
			group.Go(func() error {
				return f.Serve(t.Context(), w, request(), config.Route{
					MaxAttempts: 2, Repeat: repeat, Targets: []config.Target{{Service: "s", Weight: 1}},
				})
			})
			<-dialing
			f.Inventory.MarkLeaving("0", 0)
			close(proceed)
			is.NoErr(group.Wait())
			is.Equal(w.Body.String(), "complete")
			is.Equal(first.count(), 0)
			is.Equal(second.count(), 1)
		})
	}
}
