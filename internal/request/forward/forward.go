// Package forward forwards single requests of callers to the backend servers of a
// route's service: it chooses the server, retries and hedges requests that may be
// repeated, and returns one complete answer.
package forward

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/account"
	"github.com/nutmegway/nutmegway/internal/request/intake"
	"github.com/nutmegway/nutmegway/internal/request/origin"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

const (
	// maxBufferBytes is how much of an answer's body is read before any of it is sent to
	// the caller. If a shorter answer is interrupted, nothing has been sent, and the
	// caller can still get the answer of another server. The requests in flight share
	// bufferMemory, but each has minBufferBytes.
	maxBufferBytes = 256 << 10
	minBufferBytes = 16 << 10
	bufferMemory   = 6 << 20
	// defaultBudget is the time budget of a request whose caller sets none. The
	// route's timeout shortens it.
	defaultBudget = 30 * time.Second
)

// Request is one request of a caller.
type Request struct {
	// Arrived is the time at which the request was read.
	Arrived time.Time
	Body    []byte
	// Budget is how long the caller waits, counted from Arrived; zero means defaultBudget.
	Budget time.Duration
	// Grant is the permission to serve the request of a client account; nil if it needs none.
	Grant  *account.Grant
	Header http.Header
	Host   string
	ID     string
	// Leaving maps the servers that have announced to the host that handed the request on that
	// they leave to their start times in Unix milliseconds.
	Leaving map[string]int64
	// MaxAttempts, if not zero, bounds the servers that may run the request, in addition to
	// the route.
	MaxAttempts int
	Method      string
	// Relayed is set if another host handed the request on to this one.
	Relayed bool
	// Target is the path and the query, exactly as the caller sent them.
	Target string
}

// Quarantine keeps requests whose content has crashed servers from being sent to further
// servers. A content is the fingerprint that [poison.RequestFingerprint] returns for a
// request.
type Quarantine interface {
	// Admit returns the permission to send content to servers, or an error that states
	// that the request has not run.
	Admit(ctx context.Context, content uint64) (poison.Admission, error)
	// RecordResponse records that a server has answered a request with the content.
	RecordResponse(content uint64)
	// Refuses reports whether the content is refused now.
	Refuses(content uint64) bool
}

// Stop tells when a host that leaves stops serving requests.
type Stop interface {
	// At returns when that is. It returns false while the host isn't leaving.
	At() (time.Time, bool)
	// Reached is closed at that time. Requests without an answer must be answered then.
	Reached() <-chan struct{}
}

// Forwarder forwards requests to backend servers. Its fields must be set before the first
// call and not change afterwards.
type Forwarder struct {
	Client *plain.Client
	// Quarantine admits the contents of requests; nil admits all.
	Quarantine Quarantine
	Dialect    dialect.Dialect
	// CrashDetector gets an incident for each server that left a request without an
	// answer, and checks whether the server's process has ended; nil disables the check.
	CrashDetector *crashdetect.Detector
	Inventory     *inventory.Inventory
	// KVTokens returns the memory in tokens that the configuration gives a server of the service,
	// or zero if it isn't known; nil means that it never is.
	KVTokens func(service string) int
	Logger   *slog.Logger
	// Origins holds where the streams of callers began; nil resumes them at any server.
	Origins *origin.Origins
	// Relay hands requests on while this host reaches no server; nil hands none on.
	Relay Relay
	// Self is the id of this host.
	Self string
	// Stop tells when this host stops; nil means never.
	Stop Stop
	// Usage counts the requests of accounts that servers began; nil counts none.
	Usage UsageRecorder
	// Zone is the availability zone of this host.
	Zone string

	// inFlight counts the requests of callers that are being served.
	inFlight atomic.Int64
	metrics  instruments
	once     sync.Once
	// spillovers bounds the log lines about requests that leave the zone.
	spillovers spilloverLog
}

// answer is the outcome of one attempt at one server.
type answer struct {
	server inventory.Server
	// response is nil if no valid answer was received.
	response *http.Response
	// head is the start of the body, and all of it unless hasMore is set.
	head    []byte
	hasMore bool
	err     error
	ran     kind.Ran
	// sent is when the request was sent. It is zero if it wasn't.
	sent time.Time
	// relayed is set if the answer came over another host. server is empty then.
	relayed bool
}

func (a answer) close() {
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

// refused reports whether the server answered that it did not run the request.
func (a answer) refused() bool { return a.response != nil && a.ran == kind.RanNo && !a.relayed }

// Serve writes the answer of a server of the route to w. It returns an error, which
// carries a kind, only if it has written nothing to w. If the answer fails after that,
// Serve panics with [http.ErrAbortHandler] to close the caller's connection.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, request Request, route config.Route) error {
	f.once.Do(func() { f.metrics = newInstruments(f.Logger) })
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	budget := defaultBudget
	if request.Budget > 0 {
		budget = request.Budget
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	deadline := request.Arrived.Add(budget)
	if err := f.checkStop(request, deadline, request.Budget > 0 || route.Timeout > 0); err != nil {
		f.metrics.count(ctx, string(kind.Of(err).Kind), time.Since(request.Arrived))
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for id, started := range request.Leaving {
		f.Inventory.MarkLeaving(id, started)
	}
	if request.MaxAttempts > 0 {
		route.MaxAttempts = min(max(route.MaxAttempts, 1), request.MaxAttempts)
	}
	x := &exchange{
		Forwarder: f, request: request, deadline: deadline, service: route.PickService(rand.Float64()),
		attempts:   attempts{chooser: f.Chooser(), route: route, tried: make(map[string]struct{})},
		answers:    make(chan answer),
		content:    poison.RequestFingerprint(request.Method, request.Host, request.Target, request.Body),
		unanswered: make(map[string]crashdetect.Incident),
	}
	group, groupCtx := errgroup.WithContext(ctx)
	x.group = group
	final, err := x.serve(groupCtx)
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	if err != nil {
		f.metrics.count(ctx, string(kind.Of(err).Kind), time.Since(request.Arrived))
		x.investigateUnanswered(ctx, err)
		f.Logger.LogAttrs(ctx, slog.LevelInfo, "request not served", slog.String("request-id", request.ID),
			slog.Uint64("content", x.content), slog.String("route", route.Name), slog.String("service", x.service),
			slog.Int("may-have-run", x.attempts.mayHaveRun), slog.Int("not-run", x.attempts.notRun),
			slog.Int("at-servers", x.attempts.pending), slog.Any("servers", x.attempts.triedServers()),
			slog.Duration("after", time.Since(request.Arrived)), slog.Any("error", err))
		return err
	}
	defer final.close()
	x.deliver(ctx, w, final)
	return nil
}

// deliver writes the final answer to w. If it can't be written in full, deliver panics with
// [http.ErrAbortHandler].
func (x *exchange) deliver(ctx context.Context, w http.ResponseWriter, final answer) {
	intake.FromContext(ctx).Charge(int64(len(final.head)))
	x.recordOrigin(final)
	if recorder, ok := w.(ServerRecorder); ok {
		recorder.RecordServer(final.server.ID)
	}
	headAfter := time.Since(x.request.Arrived)
	err := writeAnswer(w, final)
	endedByServer := errors.Is(err, errAnswerInterrupted) && ctx.Err() == nil
	outcome := requestAnswered
	if endedByServer {
		outcome = requestInterrupted
	}
	x.metrics.count(ctx, outcome, headAfter)
	if err == nil {
		x.recordWhole(final)
		x.reportAnswered()
		return
	}
	x.Logger.LogAttrs(ctx, slog.LevelInfo, "answer not passed on in full", slog.String("request-id", x.request.ID),
		slog.String("server", final.server.ID), slog.Bool("relayed", final.relayed), slog.Int("status", final.response.StatusCode),
		slog.Bool("ended-by-server", endedByServer), slog.Duration("after", time.Since(x.request.Arrived)), slog.Any("error", err))
	if endedByServer && !final.relayed {
		x.logFailedAttempt(ctx, answer{server: final.server, err: err, ran: kind.RanYes})
		x.unanswered[final.server.ID] = x.newIncident(final.server, true)
		x.investigateUnanswered(ctx, err)
	}
	panic(http.ErrAbortHandler)
}

// recordWhole records that a server has answered, if that wasn't known when its answer was buffered.
func (x *exchange) recordWhole(final answer) {
	if final.hasMore && !final.relayed && !isEventStream(final.response) {
		x.Inventory.RecordAnswer(final.server.ID, -1)
	}
}

// checkStop returns an error if this host may stop before the request has its answer. stated
// is false if neither the caller nor the route sets a time budget.
func (f *Forwarder) checkStop(request Request, deadline time.Time, stated bool) error {
	if f.Stop == nil || !stated {
		return nil
	}
	at, leaving := f.Stop.At()
	if !leaving || deadline.Before(at) {
		return nil
	}
	f.Logger.Info("request not taken: the host stops before its deadline", slog.String("request-id", request.ID),
		slog.Duration("left", time.Until(deadline)), slog.Duration("stops-in", time.Until(at)))
	return kind.New(kind.Leaving, "the host stops before the deadline of the request").WithRetryAfter(minRetryAfter)
}

// checkSize returns an error if the request needs more memory than any server of the route has:
// servers would refuse it as if they were full, however often it came. If only the chosen service
// is too small, checkSize chooses another one of the route.
func (x *exchange) checkSize() error {
	needed := x.Dialect.ParseSize(x.request.Header)
	if x.KVTokens == nil || needed == 0 || x.isServedBy(x.service, needed) {
		return nil
	}
	for _, target := range x.attempts.route.Targets {
		if target.Weight > 0 && x.isServedBy(target.Service, needed) {
			x.service = target.Service
			return nil
		}
	}
	return kind.New(kind.TooLarge, "the request needs %d tokens of memory, more than any server of service %q has", needed, x.service)
}

// isServedBy reports whether a server of the service may have the memory for a request that needs
// that many tokens.
func (x *exchange) isServedBy(service string, tokens int) bool {
	memory := x.Inventory.LargestMemory(service, x.KVTokens(service))
	return memory == 0 || tokens <= memory
}

// Chooser returns the Chooser that this host uses for single requests.
func (f *Forwarder) Chooser() Chooser { return Chooser{Self: f.Self, Zone: f.Zone} }
