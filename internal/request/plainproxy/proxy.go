// Package plainproxy forwards callers' HTTP requests to the backend servers of plain
// services. The document of a service says which requests may be repeated.
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
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/idempotency"
	"github.com/nutmegway/nutmegway/internal/request/retry"
)

// Prefix is the path prefix of requests to plain services. The name of the service and the
// path at the service follow.
const Prefix = "/v1/plain/"

const (
	// HeaderIdempotencyKey is the request header with the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is the response header that marks the recorded response to an
	// earlier request with the same idempotency key.
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
	// Policy chooses servers; nil means two random choices by Cost. Other policies are
	// baselines for measurements.
	Policy  balance.Policy[Candidate]
	Servers server.View
	// DisableRetryBudget makes the proxy retry without a budget, as a baseline for
	// measurements.
	DisableRetryBudget bool
	// Zone is the availability zone of this node.
	Zone string

	attempts  metric.Int64Counter
	budgets   retry.Budgets[string]
	once      sync.Once
	mu        sync.Mutex
	pools     map[string]*serverPool
	latencies map[string]*retry.Latency
}

var _ http.Handler = (*Proxy)(nil)

// ServeHTTP sends the request to a backend server of the service that the path
// names and streams the response back.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.setUp)
	x, err := p.newExchange(w, r)
	if err != nil {
		httperror.Write(w, err)
		return
	}
	defer x.close()
	if err := x.serve(); err != nil {
		p.Logger.LogAttrs(r.Context(), slog.LevelInfo, "request to a plain service refused",
			slog.String("request-id", x.id), slog.String("service", x.service), slog.Any("error", err))
		x.discardBody()
		httperror.Write(w, callerError(err, x.repeat))
	}
}

// setUp initializes the unexported fields and the default Policy.
func (p *Proxy) setUp() {
	p.pools = make(map[string]*serverPool)
	p.latencies = make(map[string]*retry.Latency)
	if p.Policy == nil {
		p.Policy = balance.TwoChoices[Candidate]{Cost: Cost}
	}
	counter, err := otel.Meter("nutmegway/plainproxy").Int64Counter("nutmegway.plain.attempts",
		metric.WithDescription("Attempts to send a request to a plain server."))
	if err != nil {
		p.Logger.Error("cannot create metric", slog.Any("error", err))
	}
	p.attempts = counter
}

// newExchange returns the exchange for a request, with the settings of the service's
// document.
func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	service := r.PathValue("service")
	accepted, ok := p.Documents.Document(service)
	if !ok || accepted.Document.Service.Kind != document.KindPlain {
		return nil, kind.New(kind.NotFound, "no plain service %q", service)
	}
	d := accepted.Document
	path := strings.TrimPrefix(r.URL.Path, Prefix+service)
	x := &exchange{
		document:   d,
		pool:       p.pool(service),
		id:         r.Header.Get(httperror.HeaderRequestID),
		callerBody: newCallerBody(r),
		latency:    p.latency(service),
		proxy:      p,
		r:          r,
		repeat:     d.Retry.RepeatFor(r.Method, path),
		service:    service,
		target:     target(r.URL, service),
		tried:      make(map[string]struct{}),
		w:          w,
	}
	r.Body = x.callerBody
	return x, x.setDeadline(time.Now())
}

// target returns the path and query as the caller wrote them, without Prefix and the
// name of the service.
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

// pool returns the server pool of a service, which it creates if needed.
func (p *Proxy) pool(service string) *serverPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[service]
	if !ok {
		pool = &serverPool{}
		p.pools[service] = pool
	}
	return pool
}

// latency returns the response times of a service, which it creates if needed.
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
