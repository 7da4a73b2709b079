package batchrun_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchlink"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// TestDemandOfOtherHosts has host b run a batch of four items, of which the engine answers one.
// Host a asks for the demand while three are unfinished, and again when b is gone.
func TestDemandOfOtherHosts(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	release := make(chan struct{})
	engine.handle = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("X-Request-Id") != "x-i0" {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		return false
	}
	withLink := func(s *batchrun.Service) {
		s.Link = &batchlink.Client{Pool: &peer.Pool{Options: peer.LocalDialOptions()}}
	}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	b := newHostWith(t, "b", store, func(s *batchrun.Service) {
		withLink(s)
		s.Roster.Self.PeerAddress = listener.Addr().String()
	}, engine)
	a := newHostWith(t, "a", store, withLink, engine)
	server := grpc.NewServer()
	batchlink.Register(server, b.service)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		server.Stop()
		is.NoErr(group.Wait())
	})
	head, _, err := (&batch.Store{KV: store}).Accept(t.Context(), sampleBatch(4), batch.Owner{Host: "b", Incarnation: "1"})
	is.NoErr(err)
	is.True(b.service.Adopt(t.Context(), head, sampleBatch(4)))
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
		demand := a.service.Demand(t.Context())
		if len(demand.Batches) == 1 && demand.Batches[0].Unfinished == 3 && demand.Complete {
			is.Equal(demand.Batches[0].Items, 4)
			is.Equal(demand.Batches[0].Model, "m")
			is.Equal(demand.Batches[0].Service, "s")
			is.True(demand.RunTime("s") > 0)
			break
		}
	}
	server.Stop()
	is.True(!a.service.Demand(t.Context()).Complete) // What the batch needs isn't known.
	close(release)
}
