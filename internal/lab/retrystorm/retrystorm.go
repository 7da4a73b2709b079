// Package retrystorm measures retry amplification: the number of requests that
// reach failing backend servers for each request of a caller.
package retrystorm

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	backend "github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/request/plainproxy"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
)

const (
	headerTimeout = 5 * time.Second
	service       = "records"
	// maxAmplification is the largest allowed amplification with a retry budget.
	maxAmplification = 1.1
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	// Failing is the share of requests that fail at the servers during the storm.
	Failing float64
	// Nodes is the number of nodes, each with one proxy.
	Nodes int
	// Phase is the length of each of the three phases of a run.
	Phase time.Duration
	// Rate is the number of requests a second of all callers together.
	Rate    float64
	Seed    uint64
	Servers int
}

// staticView gives the proxies one document and a fixed list of servers.
type staticView struct {
	document document.Document
	servers  []server.Server
}

var (
	_ document.View = staticView{}
	_ server.View   = staticView{}
)

// Document returns the document of the service.
func (v staticView) Document(name string) (document.Accepted, bool) {
	return document.Accepted{Document: v.document}, name == service
}

// Documents returns the one document.
func (v staticView) Documents() []document.Accepted {
	return []document.Accepted{{Document: v.document}}
}

// Server returns the server with the id.
func (v staticView) Server(id string) (server.Server, bool) {
	for _, s := range v.servers {
		if s.ID == id {
			return s, true
		}
	}
	return server.Server{}, false
}

// Servers returns all servers.
func (v staticView) Servers(string) []server.Server { return v.servers }

// phase counts, for one phase, the requests that the callers sent, those that arrived
// at the servers, retries included, and those that were answered with status 200.
type phase struct {
	answered int
	arrived  int
	name     string
	sent     int
}

func (p phase) amplification() float64 { return float64(p.arrived) / float64(max(p.sent, 1)) }

// Run sends idempotent look-ups through all proxies before, during and after a storm
// in which the servers fail a share of the requests, once with a retry budget and
// once without.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "retry-storm", XLabel: "phase", YLabel: "requests at the servers for each of the callers"}
	var storms [2]phase
	for i, disableRetryBudget := range []bool{false, true} {
		phases, err := m.run(ctx, disableRetryBudget)
		if err != nil {
			return nil, err
		}
		curve := report.Curve{Name: fmt.Sprintf("unbudgeted=%t", disableRetryBudget)}
		for j, p := range phases {
			r.AddRow(
				report.Value{Key: "budget", Value: !disableRetryBudget},
				report.Value{Key: "phase", Value: p.name},
				report.Value{Key: "sent", Value: p.sent},
				report.Value{Key: "arrived", Value: p.arrived},
				report.Value{Key: "answered", Value: p.answered},
				report.Value{Key: "amplification", Value: p.amplification()},
			)
			curve.Points = append(curve.Points, report.Point{X: float64(j), Y: p.amplification()})
		}
		r.Curves = append(r.Curves, curve)
		storms[i] = phases[1]
	}
	r.Add("amplification", storms[0].amplification())
	r.Add("baseline-amplification", storms[1].amplification())
	r.Requiref(storms[0].amplification() <= maxAmplification, "the servers received %.3f requests for each request of a caller, want at most %.2f", storms[0].amplification(), maxAmplification)
	return r, nil
}

func (m Measure) run(ctx context.Context, disableRetryBudget bool) (phases []phase, err error) {
	d, mistakes := document.Parse([]byte("[service]\nkind = plain\nname = " + service + "\nteam = lab\n[retry]\ndefault = always\n"))
	if len(mistakes) > 0 {
		return nil, document.InvalidError(mistakes)
	}
	v := staticView{document: d}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	var servers []*plain.Server
	for i := range m.Servers {
		s := &plain.Server{ID: fmt.Sprintf("server-%02d", i)}
		if err := s.Listen(); err != nil {
			return nil, err
		}
		servers = append(servers, s)
		v.servers = append(v.servers, server.Server{Address: s.Address, ID: s.ID, Service: service})
		group.Go(func() error { return s.Run(ctx) })
	}
	var urls []string
	for range m.Nodes {
		url, err := m.addProxy(ctx, group, v, disableRetryBudget)
		if err != nil {
			return nil, err
		}
		urls = append(urls, url)
	}
	for _, p := range []struct {
		failing float64
		name    string
	}{{name: "before"}, {failing: m.Failing, name: "storm"}, {name: "after"}} {
		phases = append(phases, m.runPhase(ctx, p.name, p.failing, urls, servers))
	}
	stop()
	return phases, group.Wait()
}

// addProxy starts one node's proxy and returns its base URL.
func (m Measure) addProxy(ctx context.Context, group *errgroup.Group, v staticView, disableRetryBudget bool) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.Handle(plainproxy.Prefix+"{service}/", &plainproxy.Proxy{
		Client:             &backend.Client{},
		Documents:          v,
		Logger:             slog.New(slog.DiscardHandler),
		Servers:            v,
		DisableRetryBudget: disableRetryBudget,
	})
	front := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	group.Go(func() error {
		if err := front.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return front.Close()
	})
	return "http://" + listener.Addr().String() + plainproxy.Prefix + service, nil
}

// runPhase sends requests at Rate for one phase. The callers do not retry.
func (m Measure) runPhase(ctx context.Context, name string, failing float64, urls []string, servers []*plain.Server) phase {
	p := phase{name: name, sent: int(m.Rate * m.Phase.Seconds())}
	before := totalRequests(servers)
	random := rand.New(rand.NewPCG(m.Seed, m.Seed))
	limiter := rate.NewLimiter(rate.Limit(m.Rate), 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	answers := make(chan bool, p.sent)
	var group errgroup.Group
	for i := range p.sent {
		if limiter.Wait(ctx) != nil {
			break
		}
		var fault plain.FaultKind
		if random.Float64() < failing {
			fault = plain.FaultReset
		}
		group.Go(func() error {
			answers <- lookUp(ctx, client, fmt.Sprintf("%s/files/%d", urls[i%len(urls)], i), fault)
			return nil
		})
	}
	_ = group.Wait()
	close(answers)
	for answered := range answers {
		if answered {
			p.answered++
		}
	}
	p.arrived = totalRequests(servers) - before
	return p
}

func totalRequests(servers []*plain.Server) int {
	total := 0
	for _, s := range servers {
		total += s.GroundTruth().Requests
	}
	return total
}

func lookUp(ctx context.Context, client *http.Client, url string, fault plain.FaultKind) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	if fault != "" {
		request.Header.Set(plain.HeaderFault, string(fault))
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
