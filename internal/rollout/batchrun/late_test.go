package batchrun_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// TestLateMessagesLeaveClosedBatchesAlone guards against results that vanish after they were
// read (LOST). A host that accepted a batch stood still before it handed the batch over. The
// owner took the batch up from the store, ran and closed it. Each message that hosts and
// trainers send about a batch then arrives late, with the head of its time.
func TestLateMessagesLeaveClosedBatchesAlone(t *testing.T) {
	messages := map[string]func(ctx context.Context, s *batchrun.Service, first batch.Head) error{
		"handover": func(ctx context.Context, s *batchrun.Service, first batch.Head) error {
			if s.Adopt(ctx, first, sampleBatch(4)) {
				return errors.New("the owner says that it runs a closed batch")
			}
			return nil
		},
		"handover to an earlier incarnation": func(ctx context.Context, s *batchrun.Service, first batch.Head) error {
			first.Owner.Incarnation = "0"
			if s.Adopt(ctx, first, sampleBatch(4)) {
				return errors.New("the owner says that it runs a closed batch")
			}
			return nil
		},
		"offer": func(ctx context.Context, s *batchrun.Service, first batch.Head) error {
			first.Owner = batch.Owner{}
			s.HandleOffer(ctx, first)
			return nil
		},
		"head": func(_ context.Context, s *batchrun.Service, first batch.Head) error {
			s.Runner.HandleHead(first)
			s.Index.Put(first)
			return nil
		},
		"submission": func(ctx context.Context, s *batchrun.Service, _ batch.Head) error {
			return s.Submit(ctx, sampleBatch(4))
		},
		"end": func(ctx context.Context, s *batchrun.Service, _ batch.Head) error { return s.End(ctx, "x") },
	}
	closings := map[string]int{"all results stored": 1, "ended by its trainer": 5}
	for closing, items := range closings {
		for message, send := range messages {
			t.Run(message+" after "+closing, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				store := &kvmemory.Store{}
				engine := newEngine(t)
				engine.handle = func(w http.ResponseWriter, r *http.Request) bool {
					if r.Header.Get("X-Request-Id") != "x-i4" {
						return false
					}
					engine.stream(w, r, 2)
					<-r.Context().Done()
					return true
				}
				batches := &batch.Store{KV: store}
				first, _, err := batches.Accept(t.Context(), sampleBatch(max(items, 4)), batch.Owner{Host: "b", Incarnation: "1"})
				is.NoErr(err)
				b := newHost(t, "b", store, engine)
				for position := 0; position < 4; {
					page := readPage(t, b.service, position)
					position = page.Next
				}
				if items > 4 {
					is.NoErr(b.service.End(t.Context(), "x"))
				}
				before := readPage(t, b.service, 0)
				is.Equal(len(before.Results), 4)
				requests := len(engine.requests())
				is.NoErr(send(t.Context(), b.service, first))
				for range 5 {
					is.Equal(readPage(t, b.service, 0), before) // the results that were read come again
					time.Sleep(20 * time.Millisecond)
				}
				is.Equal(len(engine.requests()), requests) // no item runs again
			})
		}
	}
}

func readPage(t *testing.T, s *batchrun.Service, after int) batch.Page {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	page, err := s.Read(ctx, "x", after)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

// adoptLink hands batches over to target, and loses the reply once target has stored results.
type adoptLink struct {
	batchrun.Link

	stored func()
	target *batchrun.Service
}

func (l adoptLink) Adopt(ctx context.Context, _ string, head batch.Head, b batch.Batch) (bool, error) {
	l.target.Adopt(ctx, head, b)
	l.stored()
	return false, errors.New("reply lost")
}

func (adoptLink) Ping(context.Context, string) error { return nil }

func (adoptLink) Read(context.Context, string, string, int, time.Duration) (batch.Page, bool, error) {
	return batch.Page{}, false, errors.New("owner not reached")
}

// TestHandoverWithoutReplyKeepsStoredResults guards against results that vanish after they
// were read (LOST): the reply to a handover was lost, and the host that took the batch back
// ran it from the start, without the results that the owner had stored meanwhile.
func TestHandoverWithoutReplyKeepsStoredResults(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	engine := newEngine(t)
	release := make(chan struct{})
	var firstRun sync.Once
	engine.handle = func(_ http.ResponseWriter, r *http.Request) bool {
		done := false
		if r.Header.Get("X-Request-Id") == "x-i0" {
			firstRun.Do(func() { done = true })
		}
		if done {
			return false
		}
		select {
		case <-release:
			return false
		case <-r.Context().Done():
			return true
		}
	}
	twoGroups := sampleBatch(2)
	twoGroups.Items[1].Group = "h"
	batches := &batch.Store{KV: store}
	hosts := []roster.Host{{Address: "a", ID: "a", Incarnation: "1"}, {Address: "b", ID: "b", Incarnation: "1", PeerAddress: "b"}}
	for batchrun.Owners([]string{twoGroups.Model}, hosts)[twoGroups.Model] != "b" {
		twoGroups.Model += "m"
	}
	serve := func(s *batchrun.Service) {
		server, _ := s.Runner.Inventory.Get("e0")
		server.Versions = map[string]int64{twoGroups.Model: 1}
		s.Runner.Inventory.Set(server)
	}
	b := newHostWith(t, "b", store, func(s *batchrun.Service) {
		serve(s)
		s.Roster.Self.PeerAddress = "b"
	}, engine)
	a := newHostWith(t, "a", store, func(s *batchrun.Service) {
		serve(s)
		s.Link = adoptLink{target: b.service, stored: func() {
			for {
				results, _, err := batches.Results(context.Background(), "x", 0)
				if err != nil || len(results) > 0 {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}}
	}, engine)
	for len(a.service.Roster.Hosts()) < 2 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(a.service.Submit(t.Context(), twoGroups))
	for !a.service.Runner.Runs("x") {
		time.Sleep(time.Millisecond)
	}
	page := readPage(t, a.service, 0)
	is.Equal(len(page.Results), 1) // the result that the first owner stored
	close(release)
	checkComplete(t, readAll(t, a.service), 2)
}

// TestHandoverToEarlierIncarnationKeepsStoredResults is the same for an owner that has
// restarted: its earlier incarnation had stored results before the handover arrived.
func TestHandoverToEarlierIncarnationKeepsStoredResults(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	batches := &batch.Store{KV: store}
	first, _, err := batches.Accept(t.Context(), sampleBatch(2), batch.Owner{Host: "a", Incarnation: "0"})
	is.NoErr(err)
	stored := []batch.Result{{Item: "x-i1", State: batch.StateCompleted, Text: expectedText("x-i1")}}
	_, err = batches.Append(t.Context(), first, 0, stored, false)
	is.NoErr(err)
	engine := newEngine(t)
	engine.handle = func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	}
	a := newHost(t, "a", store, engine)
	is.True(a.service.Adopt(t.Context(), first, sampleBatch(2)))
	page := readPage(t, a.service, 0)
	is.Equal(len(page.Results), 1)
}

// TestPausedHostLeavesItsHandover guards against handovers of a host that stood still after
// it had accepted a batch. Whether other hosts have run the batch by then isn't known to it.
func TestPausedHostLeavesItsHandover(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	now := time.Now()
	reads := 0
	sent := make(chan struct{}, 1)
	accepting := newHostWith(t, "a", store, func(s *batchrun.Service) {
		s.Batches = &batch.Store{KV: store, Now: func() time.Time {
			reads++
			return now.Round(0).Add(time.Duration(max(reads-2, 0)) * 5 * time.Second)
		}}
		s.Link = countingLink{sent: sent}
	})
	b := roster.Host{Address: "b", ID: "b", Incarnation: "1", PeerAddress: "b"}
	_, err := store.Commit(t.Context(), hostEntry(t, b))
	is.NoErr(err)
	for len(accepting.service.Roster.Hosts()) < 2 {
		time.Sleep(time.Millisecond)
	}
	paused := sampleBatch(1)
	for batchrun.Owners([]string{paused.Model}, accepting.service.Roster.Hosts())[paused.Model] != "b" {
		paused.Model += "m"
	}
	is.NoErr(accepting.service.Submit(t.Context(), paused))
	accepting.stop() // waits for handovers
	is.Equal(len(sent), 0)
}

// countingLink records handovers.
type countingLink struct {
	batchrun.Link

	sent chan struct{}
}

func (l countingLink) Adopt(context.Context, string, batch.Head, batch.Batch) (bool, error) {
	l.sent <- struct{}{}
	return true, nil
}

func (countingLink) Ping(context.Context, string) error { return nil }
