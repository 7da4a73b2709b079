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
	"github.com/nutmegway/nutmegway/internal/base/wait"
)

// machine answers probes: it refuses connections from one on.
type machine struct {
	probes, refusesFrom int
}

func (m *machine) Refuses(context.Context, string) bool {
	m.probes++
	return m.refusesFrom > 0 && m.probes >= m.refusesFrom
}

var server = inventory.Server{Address: "127.0.0.1:1", ID: "a", Service: "s", Started: 1}

func TestEvidenceOfAnEnd(t *testing.T) {
	cases := map[string]struct {
		silent bool
		// refusesFrom is the first probe that finds nobody; zero none.
		refusesFrom int
		// later is what becomes of the server's entry two seconds later; nil nothing.
		later  func(*inventory.Inventory)
		ended  bool
		probes int
	}{
		"nobody listens":                {refusesFrom: 1, ended: true, probes: 1},
		"listener outlives connections": {refusesFrom: 2, ended: true, probes: 2},
		"it lives":                      {probes: 2},
		"silent":                        {silent: true, refusesFrom: 1},
		"silent, then its entry lapses": {silent: true, later: func(v *inventory.Inventory) { v.Remove("a") }, ended: true},
		"entry lapses":                  {later: func(v *inventory.Inventory) { v.Remove("a") }, ended: true, probes: 2},
		"back under the same id": {
			later: func(v *inventory.Inventory) {
				s := server
				s.Started = 2
				v.Set(s)
			}, ended: true, probes: 2,
		},
		"leaves as planned": {
			later: func(v *inventory.Inventory) {
				s := server
				s.Draining = true
				v.Set(s)
				time.AfterFunc(time.Second, func() { v.Remove("a") })
			}, probes: 2,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				servers := &inventory.Inventory{}
				servers.Set(server)
				m := &machine{refusesFrom: c.refusesFrom}
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
