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

// hostEntry returns the transaction that lists host.
func hostEntry(t *testing.T, host roster.Host) kv.Txn {
	t.Helper()
	entry, err := json.Marshal(host)
	if err != nil {
		t.Fatal(err)
	}
	return kv.Txn{Writes: []kv.Write{{Key: roster.Prefix + host.ID, Value: entry}}}
}

// TestBatchOfAnEarlierIncarnationIsClaimed guards against cancelled runs after a restart of
// the whole fleet. The accepting host still had the roster entry of the owner's earlier
// incarnation and stored the batch with it. The owner ran the batch, then saw a head with
// that other incarnation as the owner, and cancelled all runs.
func TestBatchOfAnEarlierIncarnationIsClaimed(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	batches := &batch.Store{KV: store}
	head, _, err := batches.Accept(t.Context(), sampleBatch(4), batch.Owner{Host: "a", Incarnation: "0"})
	is.NoErr(err)
	a := newHost(t, "a", store, engine)
	is.True(a.service.Adopt(t.Context(), head, sampleBatch(4)))
	stored, err := batches.Head(t.Context(), "x")
	is.NoErr(err)
	is.Equal(stored.Owner, batch.Owner{Host: "a", Incarnation: "1"}) // claimed before any item runs
	checkComplete(t, readAll(t, a.service), 4)
	is.Equal(len(engine.requests()), 4) // no run was cancelled and repeated
}

// TestBatchOfEndedProcessIsTakenOverAtOnce has a batch whose owner was killed while its
// roster entry is still listed. The owner's machine refuses connections, which proves that
// the process has ended. The next owner therefore waits neither for the entry to expire nor
// for missed pings, and resumes the saved partial text.
func TestBatchOfEndedProcessIsTakenOverAtOnce(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	batches := &batch.Store{KV: store}
	_, _, err := batches.Accept(t.Context(), sampleBatch(1), batch.Owner{Host: "b", Incarnation: "1"})
	is.NoErr(err)
	is.NoErr(batches.SavePartials(t.Context(), "x", []batch.Partial{
		{Events: []string{"x-i0-1", "x-i0-2"}, Item: "x-i0", LastEvent: "2", Versions: []int64{1}},
	}))
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	addressOfB := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = store.Commit(t.Context(), hostEntry(t, roster.Host{Address: "b", ID: "b", Incarnation: "1", PeerAddress: addressOfB}))
	is.NoErr(err)
	a := newHostWith(t, "a", store, func(s *batchrun.Service) {
		s.Link = &batchlink.Client{Pool: &peer.Pool{Options: peer.LocalDialOptions()}}
	}, engine)
	checkComplete(t, readAll(t, a.service), 1)
	is.Equal(engine.requests(), []string{"x-i0@2"})
}

// offerLink forwards offers to the target's service and answers pings. It supports no other
// calls.
type offerLink struct {
	batchrun.Link

	target *batchrun.Service
}

func (o offerLink) Offer(ctx context.Context, _ string, head batch.Head) error {
	o.target.HandleOffer(ctx, head)
	return nil
}

func (offerLink) Ping(context.Context, string) error { return nil }

// TestLeavingOwnerOffersItsBatches stops the owner of a batch whose successor gets no heads
// from the store, where a change takes up to a second to arrive. The offer alone has to
// make the successor take the batch over.
func TestLeavingOwnerOffersItsBatches(t *testing.T) {
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
	a := newHostWith(t, "a", store, func(s *batchrun.Service) {
		s.Link = offerLink{target: b.service}
		s.Runner.OnReleased = s.Offer
	}, engine)
	head, _, err := (&batch.Store{KV: store}).Accept(t.Context(), sampleBatch(1), batch.Owner{Host: "a", Incarnation: "1"})
	is.NoErr(err)
	is.True(a.service.Adopt(t.Context(), head, sampleBatch(1)))
	<-started
	_, err = store.Commit(t.Context(), hostEntry(t, roster.Host{Address: "b", ID: "b", Incarnation: "1", PeerAddress: "b"}))
	is.NoErr(err)
	for {
		if host, ok := a.service.Roster.Get("b"); ok && host.PeerAddress != "" {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for a.inventory.Candidates("s")[0].EventInterval == 0 {
		time.Sleep(time.Millisecond) // until the host has received both events
	}
	a.stop()
	close(release)
	checkComplete(t, readAll(t, b.service), 1)
	is.Equal(engine.requests(), []string{"x-i0@", "x-i0@2"})
}
