package intake

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	// connectionBytes is what a connection takes: a goroutine and the buffers of net/http.
	connectionBytes = 24 << 10
	// requestBytes is what a request takes beside its head and body while it is served.
	requestBytes = 32 << 10
	// maxWait is how long a request waits for memory before it is refused.
	maxWait = 5 * time.Second
	// waitInterval is how often a waiting request looks for holders that have stalled.
	waitInterval = 50 * time.Millisecond
	// refusedRetryAfter is the retry delay sent to callers whose request was refused.
	refusedRetryAfter = time.Second
	// logInterval is the shortest time between two log lines.
	logInterval = time.Second
)

// The reasons for which a connection or a request is ended, as values of a metric label.
const (
	reasonConnections = "connections"
	reasonHead        = "head"
	reasonMemory      = "memory"
)

// Budget is the memory that all callers of a process share. The exported fields are set before
// the first use.
type Budget struct {
	// Bytes is the memory; zero leaves it unbounded.
	Bytes int64
	// HeadBytes returns how long the head of a request may be; zero leaves it unbounded.
	HeadBytes func() int
	Logger    *slog.Logger
	// Work, if not nil, returns the memory of work that goes on after its request. It leaves
	// at least half of the budget to requests.
	Work func() int64

	mu sync.Mutex
	// changed is closed and reset when memory was given back.
	changed chan struct{}
	conns   map[*holder]*Conn
	ledger  ledger
	// ended counts what was ended since lastLogged by reason.
	ended      map[string]int
	lastLogged time.Time
	// waiting is the number of requests that wait for memory.
	waiting int

	once    sync.Once
	counter metric.Int64Counter
}

// setUp must be called with b.mu held.
func (b *Budget) setUp() {
	b.once.Do(func() {
		b.changed = make(chan struct{})
		b.conns = make(map[*holder]*Conn)
		b.ended = make(map[string]int)
		b.ledger.total = b.Bytes
		counter, err := otel.Meter("nutmegway/intake").Int64Counter("nutmegway.intake.ended",
			metric.WithDescription("Connections and requests of callers that were ended by reason: connections, head or memory."))
		if err != nil {
			b.Logger.Error("cannot create metric", slog.Any("error", err))
		}
		b.counter = counter
	})
}

// Configure lets a server measure its connections, which come from a [Listener].
func (b *Budget) Configure(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).serve()
		next.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			return context.WithValue(ctx, contextKey{}, c)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.reset()
		}
	}
}

type contextKey struct{}

// FromContext returns the connection of a request, or nil if it isn't measured. The methods of a
// nil connection do nothing.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// admit returns a measured connection, or false if there is no place for it.
func (b *Budget) admit(conn net.Conn, l *Listener) (*Conn, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setUp()
	c := &Conn{Conn: conn, budget: b, measured: !l.Unmeasured}
	c.holder.group = l
	held := int64(connectionBytes)
	if l.Unmeasured {
		held = 0
	}
	end, ok := b.ledger.admit(&c.holder, time.Now(), held, l.MaxConnections)
	if !ok {
		b.record(reasonConnections)
		return nil, false
	}
	b.conns[&c.holder] = c
	if end != nil {
		b.end(end, reasonConnections)
	}
	return c, true
}

// end ends a holder. It must be called with b.mu held.
func (b *Budget) end(h *holder, reason string) {
	h.ended = true
	b.conns[h].interrupt()
	b.record(reason)
}

// record counts what was ended and logs it, at most once in logInterval. It must be called with
// b.mu held.
func (b *Budget) record(reason string) {
	b.ended[reason]++
	if b.counter != nil {
		b.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
	if now := time.Now(); now.Sub(b.lastLogged) >= logInterval {
		b.lastLogged = now
		b.Logger.Warn("callers refused or cut off", slog.Int("connections", b.ended[reasonConnections]),
			slog.Int("head", b.ended[reasonHead]), slog.Int("memory", b.ended[reasonMemory]),
			slog.Int("open", len(b.conns)), slog.Int64("held-bytes", b.ledger.used), slog.Int64("total-bytes", b.ledger.total))
		clear(b.ended)
	}
}

// tryTake takes n bytes for a connection if they are free. If not, and if too little is about to
// be given back, it ends a connection that has stalled. changed is closed when memory was given
// back.
func (b *Budget) tryTake(c *Conn, n int64) (taken bool, changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.holder.ended {
		return false, nil, errEnded
	}
	if n > b.ledger.room(&c.holder) {
		b.record(reasonMemory)
		return false, nil, errEnded
	}
	if b.Work != nil {
		b.ledger.work = min(b.Work(), b.Bytes/2)
	}
	if b.ledger.take(&c.holder, n) {
		return true, nil, nil
	}
	now := time.Now()
	if ending := b.ledger.ending(); ending < n && b.ledger.free(&c.holder, n)+ending+b.ledger.endable(now) >= n {
		if worst := b.ledger.stalled(now, nil); worst != nil {
			b.end(worst, reasonMemory)
		}
	}
	if c.holder.ended {
		return false, nil, errEnded
	}
	return false, b.changed, nil
}

// take takes n bytes for a connection, or waits for them.
func (b *Budget) take(c *Conn, n int64) error {
	taken, changed, err := b.tryTake(c, n)
	if taken || err != nil {
		return err
	}
	b.setWaiting(c, true)
	defer b.setWaiting(c, false)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-changed:
		case <-ticker.C:
		case <-timeout.C:
			b.mu.Lock()
			defer b.mu.Unlock()
			b.record(reasonMemory)
			return errEnded
		}
		if taken, changed, err = b.tryTake(c, n); taken || err != nil {
			return err
		}
	}
}

// CheckWork returns an error if the memory for work that goes on after its request has no room
// for n bytes more. A single piece of work always has.
func (b *Budget) CheckWork(n int64) error {
	if b.Bytes == 0 || b.Work == nil {
		return nil
	}
	held := b.Work()
	if held == 0 || held+n <= b.Bytes/2 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setUp()
	b.record(reasonMemory)
	return errEnded
}

func (b *Budget) setWaiting(c *Conn, waiting bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.holder.waiting = waiting
	if waiting {
		b.waiting++
	} else {
		b.waiting--
	}
}

// notify must be called with b.mu held, after memory was given back.
func (b *Budget) notify() {
	if b.waiting == 0 {
		return
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

var errEnded = kind.New(kind.Unavailable, "the host has too little memory for the request").WithRan(kind.RanNo).WithRetryAfter(refusedRetryAfter)
