package crashdetect_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/probe"
	"github.com/nutmegway/nutmegway/internal/base/wait"
)

// fakeProber returns the results in order and repeats the last one.
type fakeProber struct {
	results []probe.Result
	probes  int
}

func (p *fakeProber) Probe(context.Context, string) probe.Result {
	p.probes++
	return p.results[min(p.probes, len(p.results))-1]
}

var server = inventory.Server{Address: "127.0.0.1:1", ID: "a", Service: "s", Started: 1}

func removeEntry(v *inventory.Inventory) { v.Remove("a") }

func restartServer(v *inventory.Inventory) {
	s := server
	s.Started = 2
	v.Set(s)
}

func drainServer(v *inventory.Inventory) {
	s := server
	s.Draining = true
	v.Set(s)
	time.AfterFunc(time.Second, func() { v.Remove("a") })
}

func TestDetectorFindsEndedServers(t *testing.T) {
	cases := map[string]struct {
		// silent is set if the request timed out and its connection did not break.
		silent bool
		// results are those of successive probes.
		results []probe.Result
		// soon changes the server's entry after half a second, later after two seconds;
		// nil leaves it.
		soon   func(*inventory.Inventory)
		later  func(*inventory.Inventory)
		ended  bool
		probes int
	}{
		"connection refused":                                      {results: []probe.Result{probe.NotListening}, ended: true, probes: 1},
		"listener outlives connections":                           {results: []probe.Result{probe.Listening, probe.NotListening}, ended: true, probes: 2},
		"listens, and its entry expires after the restart window": {results: []probe.Result{probe.Listening}, later: removeEntry, probes: 2},
		"restarts at once":                                        {results: []probe.Result{probe.Listening}, soon: restartServer, ended: true, probes: 2},
		"no answer to probes":                                     {results: []probe.Result{probe.NoAnswer}, probes: 2},
		"no answer to probes, and its entry expires":              {results: []probe.Result{probe.NoAnswer}, later: removeEntry, ended: true, probes: 2},
		"no answer to probes, and it restarts under the same id":  {results: []probe.Result{probe.NoAnswer}, later: restartServer, ended: true, probes: 2},
		"no answer to probes, and it drains":                      {results: []probe.Result{probe.NoAnswer}, later: drainServer, probes: 2},
		"request timed out":                                       {silent: true},
		"request timed out, and its entry expires":                {silent: true, later: removeEntry, ended: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				servers := &inventory.Inventory{}
				servers.Set(server)
				prober := &fakeProber{results: c.results}
				ended := 0
				detector := &crashdetect.Detector{
					Logger: slog.New(slog.DiscardHandler), OnEnded: func(crashdetect.Incident) { ended++ }, Prober: prober, Servers: servers,
				}
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return detector.Run(ctx) })
				for range 3 {
					detector.Submit(crashdetect.Incident{Broken: !c.silent, Content: 7, Server: server})
				}
				if c.soon != nil {
					time.AfterFunc(time.Second/2, func() { c.soon(servers) })
				}
				if c.later != nil {
					time.AfterFunc(2*time.Second, func() { c.later(servers) })
				}
				wait.For(ctx, time.Minute)
				cancel()
				is.NoErr(group.Wait())
				is.Equal(ended > 0, c.ended)
				is.True(ended <= 1) // one start of a server is reported once
				is.Equal(prober.probes, c.probes)
			})
		})
	}
}

// TestOpenIncidentsAreBounded submits more incidents than may be open. Submit must not
// block.
func TestOpenIncidentsAreBounded(*testing.T) {
	detector := &crashdetect.Detector{Logger: slog.New(slog.DiscardHandler)}
	for n := range 1000 {
		detector.Submit(crashdetect.Incident{Content: uint64(n), Server: server})
	}
}

// TestSilentRequestsKeepNoBrokenOnesOut guards against requests that time out at sound servers, as
// a whole batch may, and that keep an ended server from being noticed.
func TestSilentRequestsKeepNoBrokenOnesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		servers := &inventory.Inventory{}
		servers.Set(server)
		var ended atomic.Int32
		detector := &crashdetect.Detector{
			Logger: slog.New(slog.DiscardHandler), OnEnded: func(crashdetect.Incident) { ended.Add(1) },
			Prober: &fakeProber{results: []probe.Result{probe.NotListening}}, Servers: servers,
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return detector.Run(ctx) })
		for n := range 1000 {
			detector.Submit(crashdetect.Incident{Content: uint64(n), Server: server})
		}
		detector.Submit(crashdetect.Incident{Broken: true, Content: 1000, Server: server})
		wait.For(ctx, time.Second)
		is.Equal(ended.Load(), int32(1))
		cancel()
		is.NoErr(group.Wait())
	})
}

// fakeLinks is true if this host reaches other servers.
type fakeLinks bool

func (l fakeLinks) ReachesAny(context.Context, string) bool { return bool(l) }

// TestRefusedConnectionOfHostWithoutLinksIsNoCrash has the network refuse all connections of this
// host. The server's entry tells whether its process has ended.
func TestRefusedConnectionOfHostWithoutLinksIsNoCrash(t *testing.T) {
	for reached, cases := range map[fakeLinks]map[bool]bool{false: {false: false, true: true}, true: {false: true}} {
		for entryExpires, want := range cases {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				servers := &inventory.Inventory{}
				servers.Set(server)
				ended := 0
				detector := &crashdetect.Detector{
					Links: reached, Logger: slog.New(slog.DiscardHandler), OnEnded: func(crashdetect.Incident) { ended++ },
					Prober: &fakeProber{results: []probe.Result{probe.NotListening}}, Servers: servers,
				}
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return detector.Run(ctx) })
				detector.Submit(crashdetect.Incident{Broken: true, Content: 7, Server: server})
				if entryExpires {
					time.AfterFunc(2*time.Second, func() { servers.Remove("a") })
				}
				wait.For(ctx, time.Minute)
				cancel()
				is.NoErr(group.Wait())
				is.Equal(ended == 1, want)
			})
		}
	}
}
