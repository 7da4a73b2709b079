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

// TestServerThatLeavesBetweenChoiceAndSending has the first server leave while the request
// waits for its connection, as it also does while its host stands still.
func TestServerThatLeavesBetweenChoiceAndSending(t *testing.T) {
	for name, repeat := range map[string]config.Repeat{"repeatable": config.RepeatIdempotent, "not repeatable": config.RepeatNever} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := newServer(t, sound), newServer(t, sound)
			f := newForwarder(first, second)
			waits, goOn := make(chan struct{}), make(chan struct{})
			var once sync.Once
			f.Client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				once.Do(func() {
					close(waits)
					<-goOn
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
			<-waits
			f.Inventory.Leaves("0", 0)
			close(goOn)
			is.NoErr(group.Wait())
			is.Equal(w.Body.String(), "whole")
			is.Equal(first.count(), 0)
			is.Equal(second.count(), 1)
		})
	}
}
