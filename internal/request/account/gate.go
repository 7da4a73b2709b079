package account

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// logInterval is the shortest time between two log lines about refused requests.
const logInterval = time.Second

// Gate grants requests with a key. The exported fields are set before the first call.
type Gate struct {
	// Age returns the age of the configuration in force. It is called before Config.
	Age    func() Age
	Bounds Bounds
	// Config returns the configuration in force, or nil.
	Config func() *config.Config
	Logger *slog.Logger
	// Now is the clock; nil means boottime.Now.
	Now func() boottime.Instant

	once    sync.Once
	refused metric.Int64Counter

	mu sync.Mutex
	// lastLogged is when a refusal was last logged, and unlogged counts those since.
	lastLogged time.Time
	unlogged   int
}

// Authenticate returns the grant of a request with the key. The empty key means that the
// request has none.
func (g *Gate) Authenticate(key string) (*Grant, error) {
	grant, err := g.authenticate(key)
	if err != nil {
		g.recordRefusal("arrival", err)
	}
	return grant, err
}

func (g *Gate) authenticate(key string) (*Grant, error) {
	age := g.Age()
	if key == "" {
		return nil, g.Bounds.refuse(age, "the request has no API key")
	}
	digest := config.DigestOf(key)
	a, err := g.Bounds.Find(g.Config(), age, digest)
	if err != nil {
		return nil, err
	}
	return &Grant{Account: a.Name, Key: digest, gate: g}, nil
}

// Adopt returns the grant of a request that another host handed on. It also ends when that
// host's copy is too old.
func (g *Gate) Adopt(grant Grant) *Grant {
	grant.gate = g
	return &grant
}

// Serves reports whether the copy is young enough for requests with a key.
func (g *Gate) Serves() bool { return g.Bounds.CheckAge(g.Age()) == nil }

func (g *Gate) check(grant *Grant) error {
	err := g.decide(grant)
	if err != nil {
		g.recordRefusal("send", err)
	}
	return err
}

func (g *Gate) decide(grant *Grant) error {
	age := g.Age()
	if grant.Expires != 0 && g.now() > grant.Expires {
		return kind.New(kind.Unavailable, "the host that handed the request on can't tell any more which API keys are in force").WithRetryAfter(retryAfter)
	}
	a, err := g.Bounds.Find(g.Config(), age, grant.Key)
	if err != nil {
		return err
	}
	if a.Name != grant.Account {
		return kind.New(kind.Unavailable, "the API key has passed to another account").WithRetryAfter(retryAfter)
	}
	return nil
}

func (g *Gate) now() boottime.Instant {
	if g.Now != nil {
		return g.Now()
	}
	return boottime.Now()
}

// recordRefusal counts a refused request and logs at most one in logInterval.
func (g *Gate) recordRefusal(phase string, err error) {
	g.once.Do(g.setUpMetrics)
	e := kind.Of(err)
	if g.refused != nil {
		g.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(e.Kind)), attribute.String("phase", phase)))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.lastLogged) < logInterval {
		g.unlogged++
		return
	}
	age := g.Age()
	g.Logger.Info("request with API key refused", slog.String("phase", phase), slog.String("reason", e.Message),
		slog.Bool("age-known", age.Known), slog.Duration("age", age.Value), slog.Int("not-logged", g.unlogged))
	g.lastLogged, g.unlogged = now, 0
}

// ObserveAge exports the age of the configuration as a metric.
func (g *Gate) ObserveAge() {
	_, err := otel.Meter("nutmegway/account").Float64ObservableGauge("nutmegway.account.configuration-age",
		metric.WithDescription("Age of the configuration that API keys are compared with; missing until the store has confirmed it."), metric.WithUnit("s"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if age := g.Age(); age.Known {
				o.Observe(age.Value.Seconds())
			}
			return nil
		}))
	if err != nil {
		g.Logger.Error("cannot create metric", slog.Any("error", err))
	}
}

func (g *Gate) setUpMetrics() {
	var err error
	g.refused, err = otel.Meter("nutmegway/account").Int64Counter("nutmegway.account.refused",
		metric.WithDescription("Requests refused for their API key by reason (unauthorized, unavailable) and phase (arrival, send)."))
	if err != nil {
		g.Logger.Error("cannot create metric", slog.Any("error", err))
	}
}
