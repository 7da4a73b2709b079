package permit_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/permit"
)

const limitHeader = "Limit"

var errDown = errors.New("host is down")

// gates is a [permit.Link] between the gates of a fleet, by address.
type gates struct {
	byAddress map[string]*permit.Gate
	down      map[string]bool
	hosts     []roster.Host
}

func newGates(n int) *gates {
	g := &gates{byAddress: make(map[string]*permit.Gate), down: make(map[string]bool)}
	for i := range n {
		id := fmt.Sprint("h", i)
		g.hosts = append(g.hosts, roster.Host{ID: id, PeerAddress: id})
		v := &inventory.Inventory{}
		v.Set(inventory.Server{ID: "s", Service: "app"})
		g.byAddress[id] = &permit.Gate{
			Dialect: dialect.Dialect{RequestLimit: limitHeader}, Hosts: func() []roster.Host { return g.hosts },
			Inventory: v, Link: g, Logger: slog.New(slog.DiscardHandler), Self: id,
		}
	}
	return g
}

func (g *gates) Claim(_ context.Context, address string, claim permit.Claim) (permit.Grant, bool, error) {
	if g.down[address] {
		return permit.Grant{}, false, errDown
	}
	grant, ok := g.byAddress[address].Allot(claim)
	return grant, ok, nil
}

// name has the server name a limit, or none if it is empty, to a host.
func (g *gates) name(host, limit string, sent time.Time) {
	header := http.Header{}
	if limit != "" {
		header.Set(limitHeader, limit)
	}
	g.byAddress[host].Observe("s", header, sent)
}

// admitted returns how many of the requests that each of the hosts sends in 100 ms steps
// are admitted.
func (g *gates) admitted(t *testing.T, length time.Duration) int {
	t.Helper()
	n := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(100 * time.Millisecond) {
		for id, gate := range g.byAddress {
			if g.down[id] {
				continue
			}
			if _, err := gate.Admit(t.Context(), "s", plain.PurposeSingle); err == nil {
				n++
			}
		}
	}
	return n
}

func TestHostsShareOneLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGates(20)
		is.True(g.admitted(t, time.Second) >= 200) // no limit has been named
		for _, h := range g.hosts {
			g.name(h.ID, "2.0", time.Now())
		}
		n := g.admitted(t, 4*time.Second)
		is.True(n >= 7 && n <= 11)
	})
}

func TestHostsUseTheirSharesWhileAllotterIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGates(4)
		for _, h := range g.hosts {
			g.name(h.ID, "2.0", time.Now())
		}
		allotter := ""
		for id, gate := range g.byAddress {
			if _, ok := gate.Allot(permit.Claim{Server: "s", PerSecond: 2}); ok {
				allotter = id
			}
		}
		g.down[allotter] = true
		n := g.admitted(t, 10*time.Second)
		is.True(n >= 10 && n <= 20) // three of four shares
	})
}

func TestExpiredPermitIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGates(1)
		g.name("h0", "2.0", time.Now())
		issued, err := g.byAddress["h0"].Admit(t.Context(), "s", plain.PurposeItem)
		is.NoErr(err)
		is.NoErr(issued.Check())
		time.Sleep(2 * time.Second) // the host was paused
		is.True(errors.Is(issued.Check(), plain.ErrNotAdmitted))
	})
}

func TestRefusedRequestHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGates(1)
		g.name("h0", "0.5", time.Now())
		_, err := g.byAddress["h0"].Admit(t.Context(), "s", plain.PurposeSingle)
		is.NoErr(err)
		_, err = g.byAddress["h0"].Admit(t.Context(), "s", plain.PurposeSingle)
		is.True(errors.Is(err, plain.ErrNotAdmitted))
		is.Equal(kind.Of(err).Ran, kind.RanNo)
		is.Equal(kind.Of(err).RetryAfter, 2*time.Second)
	})
}

func TestOvertakenAnswerDoesNotEndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGates(1)
		sent := time.Now()
		time.Sleep(time.Millisecond)
		g.name("h0", "0.5", sent)
		g.name("h0", "", sent)         // sent before the limit was known
		g.name("h0", "nonsense", sent) // malformed
		is.True(g.admitted(t, time.Second) <= 1)
		g.name("h0", "", time.Now())
		is.Equal(g.admitted(t, time.Second), 10)
	})
}
