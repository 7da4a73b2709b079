package batchrun_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchlink"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// TestBatchOfAnEarlierIncarnationIsClaimed is what a recorded day showed after the
// power had come back everywhere: the accepting host still knew the owner's entry from
// before. The owner ran the batch, heard that it belonged to that earlier incarnation,
// and cut all its runs.
func TestBatchOfAnEarlierIncarnationIsClaimed(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	batches := &batch.Store{KV: store}
	head, _, err := batches.Accept(t.Context(), sample(4), batch.Owner{Host: "a", Incarnation: "0"})
	is.NoErr(err)
	a := newHost(t, "a", store, engine)
	is.True(a.service.Adopt(t.Context(), head, sample(4)))
	stored, err := batches.Head(t.Context(), "x")
	is.NoErr(err)
	is.Equal(stored.Owner, batch.Owner{Host: "a", Incarnation: "1"}) // before anything runs
	checkWhole(t, readAll(t, a.service), 4)
	is.Equal(len(engine.requests()), 4) // no run was cut and made again
}

// TestBatchesOfAnEndedProcessGoOnAtOnce kills the owner of a batch while its entry is
// still listed: its machine says that nobody listens, so the next owner needs neither
// the lapse of the entry nor silence, and goes on with the text that was kept.
func TestBatchesOfAnEndedProcessGoOnAtOnce(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	batches := &batch.Store{KV: store}
	_, _, err := batches.Accept(t.Context(), sample(1), batch.Owner{Host: "b", Incarnation: "1"})
	is.NoErr(err)
	is.NoErr(batches.SavePartials(t.Context(), "x", []batch.Partial{
		{Events: []string{"x-i0-1", "x-i0-2"}, Item: "x-i0", LastEvent: "2", Versions: []int64{1}},
	}))
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	peerOfB := listener.Addr().String()
	is.NoErr(listener.Close())
	entry, err := json.Marshal(roster.Host{Address: "b", ID: "b", Incarnation: "1", Peer: peerOfB})
	is.NoErr(err)
	_, err = store.Commit(t.Context(), kv.Txn{Writes: []kv.Write{{Key: roster.Prefix + "b", Value: entry}}})
	is.NoErr(err)
	a := newHostWith(t, "a", store, func(s *batchrun.Service) {
		s.Link = &batchlink.Client{Pool: &peer.Pool{Options: peer.LocalDialOptions()}}
	}, engine)
	checkWhole(t, readAll(t, a.service), 1)
	is.Equal(engine.requests(), []string{"x-i0@2"})
}

// offers passes offers on to the other host's service and reaches nobody otherwise.
type offers struct {
	batchrun.Link

	to *batchrun.Service
}

func (o offers) Offer(ctx context.Context, _ string, head batch.Head) error {
	o.to.Offered(ctx, head)
	return nil
}

func (offers) Ping(context.Context, string) error { return nil }

// TestALeavingOwnerOffersItsBatches stops the owner of a batch whose successor hears
// nothing of heads from the store, where news takes up to a second.
func TestALeavingOwnerOffersItsBatches(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	started, release := make(chan struct{}, 10), make(chan struct{})
	engine.handle = func(w http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Resume-After") != "" {
			return false
		}
		engine.stream(w, r, 2)
		started <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
		return true
	}
	b := newHostWith(t, "b", store, func(s *batchrun.Service) { s.Index = &batch.Index{Logger: s.Logger} }, engine)
	entry, err := json.Marshal(roster.Host{Address: "b", ID: "b", Incarnation: "1", Peer: "b"})
	is.NoErr(err)
	a := newHostWith(t, "a", store, func(s *batchrun.Service) {
		s.Link = offers{to: b.service}
		s.Runner.OnReleased = s.Offer
	}, engine)
	head, _, err := (&batch.Store{KV: store}).Accept(t.Context(), sample(1), batch.Owner{Host: "a", Incarnation: "1"})
	is.NoErr(err)
	is.True(a.service.Adopt(t.Context(), head, sample(1)))
	<-started
	_, err = store.Commit(t.Context(), kv.Txn{Writes: []kv.Write{{Key: roster.Prefix + "b", Value: entry}}})
	is.NoErr(err)
	for {
		if host, ok := a.service.Roster.Get("b"); ok && host.Peer != "" {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for a.inventory.Candidates("s")[0].Pace == 0 {
		time.Sleep(time.Millisecond) // until the host has read both events
	}
	a.stop()
	close(release)
	checkWhole(t, readAll(t, b.service), 1)
	is.Equal(engine.requests(), []string{"x-i0@", "x-i0@2"})
}
