package ending_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/ending"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/probe"
	"github.com/nutmegway/nutmegway/internal/base/wait"
)

// machine answers probes: one after the other as listed, and then as the last.
type machine struct {
	findings []probe.Result
	probes   int
}

func (m *machine) Probe(context.Context, string) probe.Result {
	m.probes++
	return m.findings[min(m.probes, len(m.findings))-1]
}

var server = inventory.Server{Address: "127.0.0.1:1", ID: "a", Service: "s", Started: 1}

func lapses(v *inventory.Inventory) { v.Remove("a") }

func restarts(v *inventory.Inventory) {
	s := server
	s.Started = 2
	v.Set(s)
}

func leaves(v *inventory.Inventory) {
	s := server
	s.Draining = true
	v.Set(s)
	time.AfterFunc(time.Second, func() { v.Remove("a") })
}

func TestEvidenceOfAnEnd(t *testing.T) {
	cases := map[string]struct {
		silent bool
		// probe lists what probes find.
		probe []probe.Result
		// soon is what becomes of the server's entry half a second later, and later two
		// seconds later; nil nothing.
		soon   func(*inventory.Inventory)
		later  func(*inventory.Inventory)
		ended  bool
		probes int
	}{
		"nobody listens":                {probe: []probe.Result{probe.NotListening}, ended: true, probes: 1},
		"listener outlives connections": {probe: []probe.Result{probe.Listening, probe.NotListening}, ended: true, probes: 2},
		"it lives, and ends later":      {probe: []probe.Result{probe.Listening}, later: lapses, probes: 2},
		"back at once":                  {probe: []probe.Result{probe.Listening}, soon: restarts, ended: true, probes: 2},
		"dark":                          {probe: []probe.Result{probe.NoAnswer}, probes: 2},
		"dark, and its entry lapses":    {probe: []probe.Result{probe.NoAnswer}, later: lapses, ended: true, probes: 2},
		"dark, and back under its id":   {probe: []probe.Result{probe.NoAnswer}, later: restarts, ended: true, probes: 2},
		"leaves as planned":             {probe: []probe.Result{probe.NoAnswer}, later: leaves, probes: 2},
		"silent":                        {silent: true},
		"silent, and its entry lapses":  {silent: true, later: lapses, ended: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				servers := &inventory.Inventory{}
				servers.Set(server)
				m := &machine{findings: c.probe}
				ended := 0
				w := &ending.Watch{
					Logger: slog.New(slog.DiscardHandler), OnEnded: func(ending.Case) { ended++ }, Prober: m, Servers: servers,
				}
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return w.Run(ctx) })
				for range 3 {
					w.Ask(ending.Case{Broken: !c.silent, Content: 7, Server: server})
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
				is.True(ended <= 1) // one start of a server ends once
				is.Equal(m.probes, c.probes)
			})
		})
	}
}

// TestCasesAreBounded asks for more cases than are looked into; Ask doesn't wait.
func TestCasesAreBounded(*testing.T) {
	w := &ending.Watch{Logger: slog.New(slog.DiscardHandler)}
	for n := range 1000 {
		w.Ask(ending.Case{Content: uint64(n), Server: server})
	}
}
