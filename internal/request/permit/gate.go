// Package permit keeps the request limits that backend servers name. A limit counts the
// requests of all hosts together: for each limited server, one host, its allotter, grants
// the permits for all requests.
package permit

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/elapsed"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
)

const (
	// burstTime lets a server get as many requests at once as it accepts in that time.
	burstTime = time.Second
	// maxRequestWait is how long a single request or an item waits for a permit. After
	// that, it goes to another server or the caller is told when to come back.
	maxRequestWait = 50 * time.Millisecond
	// maxControlWait is how long a load order or a status query waits for a permit. These
	// have no other server to go to, and without new weights an engine runs no items. The
	// wait counts towards the time that an order may be in transit.
	maxControlWait = 500 * time.Millisecond
	// permitTTL is how long a permit may be used, so that a host that was paused doesn't
	// send requests that count against a later time.
	permitTTL = time.Second
	// allotterTimeout bounds the call to another host.
	allotterTimeout = 150 * time.Millisecond
	// allotterRetryDelay is how long an allotter that did not answer isn't called again.
	allotterRetryDelay = 500 * time.Millisecond
)

// Link claims permits from other hosts.
type Link interface {
	// Claim claims a permit from the host at address. It returns false if that host is not
	// the allotter of the server.
	Claim(ctx context.Context, address string, claim Claim) (grant Grant, isAllotter bool, err error)
}

// Gate lets a request to a server with a request limit pass once it has a permit. While the
// server's allotter can't be reached, this host uses its own share of the limit. The
// exported fields are set before the first call.
type Gate struct {
	Dialect dialect.Dialect
	// Hosts returns the hosts that share the limits. All of them may be allotters.
	Hosts     func() []roster.Host
	Inventory *inventory.Inventory
	// Link is nil if this host is the only one.
	Link   Link
	Logger *slog.Logger
	// Self is the id of this host.
	Self string

	once     sync.Once
	requests metric.Int64Counter
	// allotter grants the permits of the servers that this host is the allotter of, and
	// shares those of the share that this host has while an allotter can't be reached.
	allotter, shares Allotter

	mu sync.Mutex
	// sent counts the requests to each limited server, by purpose.
	sent map[string]map[plain.Purpose]int
	// silentUntil holds the times until which hosts that did not answer aren't called.
	silentUntil map[string]time.Time
}

var _ plain.Gate = (*Gate)(nil)

func (g *Gate) init() {
	g.once.Do(func() {
		requests, err := otel.Meter("nutmegway/permit").Int64Counter("nutmegway.limited.requests",
			metric.WithDescription("Requests for backend servers with a request limit, by purpose, by outcome (admitted or refused) and by source of the decision (allotter or share)."))
		if err != nil {
			g.Logger.Error("cannot create metric", slog.Any("error", err))
		}
		g.requests = requests
		g.allotter.BurstTime, g.allotter.InitialPermits = burstTime, 1
		g.sent = make(map[string]map[plain.Purpose]int)
		g.silentUntil = make(map[string]time.Time)
	})
}

// Admit implements plain.Gate.
func (g *Gate) Admit(ctx context.Context, server string, purpose plain.Purpose) (plain.Permit, error) {
	limit, observedAt := g.Inventory.RequestLimitOf(server)
	if !limit.Named {
		return plain.Permit{}, nil
	}
	g.init()
	grant, source := g.claim(ctx, Claim{MaxWait: maxWait(purpose), ObservedAt: observedAt, PerSecond: limit.PerSecond, Server: server})
	admitted := grant.Granted && wait.Within(ctx, grant.Wait)
	g.count(ctx, server, purpose, source, admitted)
	if !admitted {
		return plain.Permit{}, plain.NewNotAdmitted(grant.Wait,
			"backend server %q accepts %.1f requests per second; the next permit of the %s is free in %s", server, limit.PerSecond, source, grant.Wait)
	}
	issued := elapsed.Now(nil)
	return plain.Permit{Check: func() error {
		if age := issued.Since(nil); age > permitTTL {
			return plain.NewNotAdmitted(0, "the permit for backend server %q expired: it is %s old", server, age)
		}
		return nil
	}}, nil
}

func maxWait(purpose plain.Purpose) time.Duration {
	if purpose == plain.PurposeOrder || purpose == plain.PurposeStatus {
		return maxControlWait
	}
	return maxRequestWait
}

// The sources of a decision, as values of a metric label.
const (
	sourceAllotter = "allotter"
	sourceShare    = "share"
)

// claim claims a permit from the allotter of the server or, if that host doesn't answer,
// from the share of this host.
func (g *Gate) claim(ctx context.Context, claim Claim) (Grant, string) {
	hosts := g.Hosts()
	allotter := allotterOf(claim.Server, hosts)
	if allotter.ID == g.Self {
		return g.allotter.Claim(claim, time.Now()), sourceAllotter
	}
	if grant, ok := g.claimFrom(ctx, allotter, claim); ok {
		g.shares.Forget(claim.Server)
		return grant, sourceAllotter
	}
	claim.PerSecond /= float64(max(len(hosts), 1))
	return g.shares.Claim(claim, time.Now()), sourceShare
}

// claimFrom claims a permit from another host. It returns false if there is no such host, or
// if it doesn't answer or isn't the allotter.
func (g *Gate) claimFrom(ctx context.Context, allotter roster.Host, claim Claim) (Grant, bool) {
	if g.Link == nil || allotter.PeerAddress == "" || g.isSilent(allotter.ID) {
		return Grant{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, allotterTimeout)
	defer cancel()
	grant, isAllotter, err := g.Link.Claim(callCtx, allotter.PeerAddress, claim)
	if err == nil {
		return grant, isAllotter
	}
	if ctx.Err() == nil {
		g.Logger.LogAttrs(ctx, slog.LevelInfo, "allotter of a request limit did not answer", slog.String("server", claim.Server),
			slog.String("host", allotter.ID), slog.Any("error", err))
		g.setSilent(allotter.ID)
	}
	return Grant{}, false
}

// Allot handles the claim of another host. It returns false if this host is not the allotter
// of the server.
func (g *Gate) Allot(claim Claim) (Grant, bool) {
	if allotterOf(claim.Server, g.Hosts()).ID != g.Self {
		return Grant{}, false
	}
	g.init()
	return g.allotter.Claim(claim, time.Now()), true
}

// allotterOf returns the host that grants the permits of a server; the zero value if there
// are no hosts.
func allotterOf(server string, hosts []roster.Host) roster.Host {
	owner := rendezvous.Owner("request-limit/"+server, roster.IDs(hosts))
	for _, h := range hosts {
		if h.ID == owner {
			return h
		}
	}
	return roster.Host{}
}

func (g *Gate) isSilent(host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.silentUntil[host])
}

func (g *Gate) setSilent(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for id, until := range g.silentUntil {
		if now.After(until) {
			delete(g.silentUntil, id)
		}
	}
	g.silentUntil[host] = now.Add(allotterRetryDelay)
}

func (g *Gate) count(ctx context.Context, server string, purpose plain.Purpose, source string, admitted bool) {
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	if g.requests != nil {
		g.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("purpose", string(purpose)),
			attribute.String("outcome", outcome), attribute.String("source", source)))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if counts, ok := g.sent[server]; ok && admitted {
		counts[purpose]++
	}
}

// Observe implements plain.Gate.
func (g *Gate) Observe(server string, header http.Header, sent time.Time) {
	perSecond, named := g.Dialect.ParseRequestLimit(header)
	limit := inventory.RequestLimit{Named: named, PerSecond: perSecond}
	before, changed := g.Inventory.RecordRequestLimit(server, limit, sent)
	if !changed {
		return
	}
	g.init()
	g.mu.Lock()
	counts := g.sent[server]
	delete(g.sent, server)
	if named {
		g.sent[server] = make(map[plain.Purpose]int)
	}
	g.mu.Unlock()
	known, _ := g.Inventory.Get(server)
	g.Logger.Info("request limit of server changed", slog.String("server", server), slog.String("service", known.Service),
		slog.Bool("named", named), slog.Float64("per-second", perSecond), slog.Bool("named-before", before.Named),
		slog.Float64("per-second-before", before.PerSecond), slog.Any("sent-under-it", counts))
}
