package batchrun_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// TestItemThatCrashesEnginesIsQuarantined submits two items to six engines, each of which ends
// when it receives the first item. After three ends the item waits, at most as many runs as
// were under way by then follow, and the other item completes.
func TestItemThatCrashesEnginesIsQuarantined(t *testing.T) {
	is := is.New(t)
	logger := slog.New(slog.DiscardHandler)
	var mu sync.Mutex
	var crashes int
	engines := make([]*engineServer, 6)
	for n := range engines {
		e := newEngine(t)
		e.handle = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("X-Request-Id") != "x-i0" {
				return false
			}
			mu.Lock()
			crashes++
			mu.Unlock()
			_ = e.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		engines[n] = e
	}
	store := &kvmemory.Store{}
	registry := &poison.KVRegistry{
		MayRemove: func(string) bool { return true }, HostCount: func() int { return 1 }, Logger: logger, Store: store,
	}
	var detector *crashdetect.Detector
	h := newHostWith(t, "a", store, func(s *batchrun.Service) {
		detector = &crashdetect.Detector{Logger: logger, Prober: &plain.Client{}, Servers: s.Runner.Inventory, OnEnded: func(i crashdetect.Incident) {
			registry.RecordCrash(i.Content, poison.CrashID(i.Server.ID, time.UnixMilli(i.Server.Started)))
		}}
		s.Runner.CrashDetector, s.Runner.Quarantine = detector, registry
	}, engines...)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return detector.Run(ctx) })
	defer func() {
		cancel()
		is.NoErr(group.Wait())
	}()
	b := sampleBatch(2)
	b.Items[0].Body = []byte("crashes")
	is.NoErr(h.service.Submit(t.Context(), b))
	content := poison.RequestFingerprint(http.MethodPost, b.Host, b.Items[0].Target, b.Items[0].Body)
	for !registry.Refuses(content) {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	atQuarantine := crashes
	mu.Unlock()
	is.True(atQuarantine >= poison.DefaultCrashLimit)
	page, err := h.service.Read(t.Context(), b.ID, 0)
	for err == nil && len(page.Results) == 0 {
		page, err = h.service.Read(t.Context(), b.ID, 0)
	}
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
	is.Equal(page.Results[0].Item, b.Items[1].ID)
	is.Equal(page.Results[0].State, batch.StateCompleted)
	mu.Lock()
	defer mu.Unlock()
	is.True(crashes <= atQuarantine+1) // One run may have been under way.
}

// TestRewardCallThatCrashesServersIsQuarantined submits an item whose reward call ends each of six
// servers that receives it. After three ends the call waits, and the other items are scored.
func TestRewardCallThatCrashesServersIsQuarantined(t *testing.T) {
	is := is.New(t)
	logger := slog.New(slog.DiscardHandler)
	var crashes atomic.Int32
	store := &kvmemory.Store{}
	registry := &poison.KVRegistry{
		MayRemove: func(string) bool { return true }, HostCount: func() int { return 1 }, Logger: logger, Store: store,
	}
	var detector *crashdetect.Detector
	h := newHostWith(t, "a", store, func(s *batchrun.Service) {
		detector = &crashdetect.Detector{Logger: logger, Prober: &plain.Client{}, Servers: s.Runner.Inventory, OnEnded: func(i crashdetect.Incident) {
			registry.RecordCrash(i.Content, poison.CrashID(i.Server.ID, time.UnixMilli(i.Server.Started)))
		}}
		s.Runner.CrashDetector, s.Runner.Quarantine = detector, registry
	}, newEngine(t))
	for n := range 6 {
		server := httptest.NewUnstartedServer(nil)
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if string(body) == "crashes" {
				crashes.Add(1)
				_ = server.Listener.Close()
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Stamp", "score")
		})
		server.Start()
		t.Cleanup(server.Close)
		addScorer(h, fmt.Sprintf("s%d", n), strings.TrimPrefix(server.URL, "http://"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return detector.Run(ctx) })
	defer func() {
		cancel()
		is.NoErr(group.Wait())
	}()
	b := scoredBatch(3)
	b.Items[0].Reward.Body = []byte("crashes")
	is.NoErr(h.service.Submit(t.Context(), b))
	request := b.Items[0].Reward
	content := poison.RequestFingerprint(http.MethodPost, request.Host, request.Target, request.Body)
	for deadline := time.Now().Add(10 * time.Second); !registry.Refuses(content) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(registry.Refuses(content))
	awaitCompleted(t, h.service, 2)
	is.True(crashes.Load() <= poison.DefaultCrashLimit+1) // one attempt may have been under way
}

// TestItemsThatReachedNoEngineAreNotSuspected guards against items that are suspected of having
// ended engines that were gone before any byte of the item was sent.
func TestItemsThatReachedNoEngineAreNotSuspected(t *testing.T) {
	is := is.New(t)
	logger := slog.New(slog.DiscardHandler)
	engines := []*engineServer{newEngine(t), newEngine(t), newEngine(t), newEngine(t)}
	for _, e := range engines[1:] {
		e.Close()
	}
	reported := make(chan crashdetect.Incident, 16)
	var detector *crashdetect.Detector
	h := newHostWith(t, "a", &kvmemory.Store{}, func(s *batchrun.Service) {
		detector = &crashdetect.Detector{
			Logger: logger, Prober: &plain.Client{}, Servers: s.Runner.Inventory, OnEnded: func(i crashdetect.Incident) { reported <- i },
		}
		s.Runner.CrashDetector = detector
	}, engines...)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return detector.Run(ctx) })
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(8)))
	checkComplete(t, readAll(t, h.service), 8)
	// Each investigation of a refused connection ends within a few probes.
	time.Sleep(500 * time.Millisecond)
	cancel()
	is.NoErr(group.Wait())
	is.Equal(len(reported), 0)
}
