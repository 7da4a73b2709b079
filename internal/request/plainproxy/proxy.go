// Package plainproxy carries callers' requests to the backend servers of plain
// services. The document of a service says what may be repeated.
package plainproxy

import (
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/idempotency"
	"github.com/nutmegway/nutmegway/internal/request/retry"
)

// Prefix is the path below which a service's own paths begin.
const Prefix = "/v1/plain/"

const (
	// HeaderIdempotencyKey carries a caller's key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks an answer that an earlier attempt received.
	HeaderReplayed = "Idempotent-Replayed"

	defaultRetryAfter = time.Second
)

// Proxy serves the requests to plain services. The fields are set before the
// first request.
type Proxy struct {
	Client    *plain.Client
	Documents document.View
	// Guard runs requests with an idempotency key.
	Guard  *idempotency.Guard
	Logger *slog.Logger
	// Policy chooses servers; nil is two random choices by Cost. The others
	// are baselines for measures.
	Policy  balance.Policy[Candidate]
	Servers server.View
	// Unbudgeted lifts the budget of repeats. It is a baseline for measures.
	Unbudgeted bool
	// Zone is the availability zone of this node.
	Zone string

	attempts  metric.Int64Counter
	budgets   retry.Budgets[string]
	once      sync.Once
	mu        sync.Mutex
	fleets    map[string]*fleet
	latencies map[string]*retry.Latency
}

var _ http.Handler = (*Proxy)(nil)

// ServeHTTP sends the request to a backend server of the service that the path
// names and streams the answer back.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.setUp)
	x, err := p.newExchange(w, r)
	if err != nil {
		refusal.Write(w, err)
		return
	}
	defer x.close()
	if err := x.serve(); err != nil {
		p.Logger.LogAttrs(r.Context(), slog.LevelInfo, "plain request refused",
			slog.String("request-id", x.id), slog.String("service", x.service), slog.Any("error", err))
		x.endRefused()
		refusal.Write(w, final(err, x.repeat))
	}
}

func (p *Proxy) setUp() {
	p.fleets = make(map[string]*fleet)
	p.latencies = make(map[string]*retry.Latency)
	if p.Policy == nil {
		p.Policy = balance.TwoChoices[Candidate]{Cost: Cost}
	}
	counter, err := otel.Meter("nutmegway/plainproxy").Int64Counter("nutmegway.plain.attempts",
		metric.WithDescription("Attempts to send a request to a plain server."))
	if err != nil {
		p.Logger.Error("metric not made", slog.Any("error", err))
	}
	p.attempts = counter
}

// newExchange reads from a request what its service's document says of it.
func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	service := r.PathValue("service")
	accepted, ok := p.Documents.Document(service)
	if !ok || accepted.Document.Service.Kind != document.KindPlain {
		return nil, kind.New(kind.NotFound, "no plain service %q", service)
	}
	d := accepted.Document
	path := strings.TrimPrefix(r.URL.Path, Prefix+service)
	x := &exchange{
		document: d,
		fleet:    p.fleet(service),
		id:       r.Header.Get(refusal.HeaderRequestID),
		in:       newIncoming(r),
		latency:  p.latency(service),
		proxy:    p,
		r:        r,
		repeat:   d.Retry.RepeatFor(r.Method, path),
		service:  service,
		target:   target(r.URL, service),
		tried:    make(map[string]struct{}),
		w:        w,
	}
	r.Body = x.in
	return x, x.limit(time.Now())
}

// target returns the path and query as the caller wrote them, without the
// prefix.
func target(u *url.URL, service string) string {
	path := strings.TrimPrefix(u.EscapedPath(), Prefix+url.PathEscape(service))
	if path == "" {
		path = "/"
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

func (p *Proxy) fleet(service string) *fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.fleets[service]
	if !ok {
		f = &fleet{}
		p.fleets[service] = f
	}
	return f
}

func (p *Proxy) latency(service string) *retry.Latency {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.latencies[service]
	if !ok {
		l = &retry.Latency{}
		p.latencies[service] = l
	}
	return l
}
