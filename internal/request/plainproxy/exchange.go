package plainproxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/retry"
)

const (
	// An attempt that is much slower than most is given up for another one, if
	// the request may be repeated.
	slowFactor  = 8
	slowMinimum = time.Second
)

var errSlow = errors.New("the attempt took too long")

// exchange is one request of a caller.
type exchange struct {
	body     *body
	cancel   context.CancelCauseFunc
	ctx      context.Context //nolint:containedctx // The exchange lives as long as the request.
	deadline time.Time
	document document.Document
	// explicit is true when the caller named the deadline, which then bounds
	// the answer's body too.
	explicit bool
	fleet    *fleet
	id       string
	in       *incoming
	latency  *retry.Latency
	// mayHaveRun is set once an attempt can have run the request.
	mayHaveRun atomic.Bool
	proxy      *Proxy
	r          *http.Request
	repeat     document.Repeat
	// servers are those of the last pick.
	servers []server.Server
	service string
	target  string
	timer   *time.Timer
	tried   map[string]struct{}
	w       http.ResponseWriter
}

// limit sets the deadline of the exchange.
func (x *exchange) limit(now time.Time) error {
	x.deadline = now.Add(x.document.Admission.CheckDeadline)
	if text := x.r.Header.Get(refusal.HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return kind.New(kind.BadRequest, "%s is no RFC 3339 time: %q", refusal.HeaderDeadline, text)
		}
		x.deadline, x.explicit = deadline, true
	}
	if !now.Before(x.deadline) {
		return kind.New(kind.DeadlineUnmet, "the deadline has passed")
	}
	x.ctx, x.cancel = context.WithCancelCause(x.r.Context())
	x.timer = time.AfterFunc(x.deadline.Sub(now), func() { x.cancel(context.DeadlineExceeded) })
	return nil
}

func (x *exchange) close() {
	x.timer.Stop()
	x.cancel(nil)
	x.in.end(x.interruptRead)
}

func (x *exchange) serve() error {
	controller := http.NewResponseController(x.w)
	if x.r.ContentLength != 0 {
		// Neither is available under each protocol, and the exchange works
		// without.
		_ = controller.SetReadDeadline(x.deadline)
		_ = controller.EnableFullDuplex()
	}
	x.proxy.budgets.Deposit(time.Now(), x.service, x.document.Retry.Budget)
	if x.repeat == document.RepeatNever && x.r.Header.Get(HeaderIdempotencyKey) != "" {
		return x.serveKeyed()
	}
	var err error
	if x.repeat == document.RepeatAlways && x.r.ContentLength > 0 && x.r.ContentLength <= replayBytes {
		x.body, err = hold(x.r, replayBytes)
	} else {
		x.body = pass(x.r)
	}
	if err != nil {
		return err
	}
	answered, err := x.send(x.ctx)
	if err != nil {
		return err
	}
	if !x.explicit {
		x.timer.Stop()
		_ = controller.SetReadDeadline(time.Time{})
	}
	defer answered.end()
	if !x.in.consumed() {
		x.closeConnection()
	}
	write(x.w, answered.response)
	return nil
}

// answered is a server's answer whose body is still to be read.
type answered struct {
	end      func()
	response *http.Response
}

// send makes attempts until one is answered or no other may follow.
func (x *exchange) send(ctx context.Context) (answered, error) {
	var last answered
	for attempts := 1; ; attempts++ {
		next, err := x.race(ctx)
		if last.response != nil && err != nil {
			// The answer of the last attempt is still the best one.
			next, last, err = last, answered{}, nil
		}
		if last.response != nil {
			last.end()
		}
		situation := Situation{
			Attempts:    attempts,
			BodyIntact:  x.body.intact(),
			Deadline:    x.deadline,
			Now:         time.Now(),
			Repeat:      x.repeat,
			ServersLeft: x.serversLeft(),
		}
		if err != nil {
			e := kind.Of(err)
			situation.Kind, situation.Ran = e.Kind, e.Ran
		} else {
			situation.Status = next.response.StatusCode
		}
		step := Decide(situation)
		if step == StepRetryPaid && !x.withdraw() {
			step = StepAnswer
		}
		if step == StepAnswer || step == StepRefuse {
			return next, x.truthful(err)
		}
		last = next
	}
}

// truthful keeps the error of a last attempt that did not run from hiding an
// earlier one that can have run.
func (x *exchange) truthful(err error) error {
	if err == nil || kind.Of(err).Ran != kind.RanNo || !x.mayHaveRun.Load() {
		return err
	}
	return &kind.Error{Cause: err, Kind: kind.OutcomeUnknown, Message: err.Error()}
}

func (x *exchange) withdraw() bool {
	return x.proxy.Unbudgeted || x.proxy.budgets.Withdraw(time.Now(), x.service, x.document.Retry.Budget)
}

func (x *exchange) serversLeft() bool {
	for _, s := range x.servers {
		if _, tried := x.tried[s.ID]; !tried && !s.Leaving {
			return true
		}
	}
	return false
}

// chosen is the server of an attempt.
type chosen struct {
	address string
	id      string
	// known is the number of servers of the service.
	known int
	// last is true when no other server is left.
	last bool
}

// pick chooses a server that was not tried.
func (x *exchange) pick() (chosen, error) {
	servers := x.proxy.Servers.Servers(x.service)
	x.servers = servers
	narrowed := choice{exclude: x.tried, limit: x.document.Admission.SlotLimit, zone: x.proxy.Zone}
	s, busy, ok := x.fleet.pick(time.Now(), servers, narrowed, x.proxy.Policy)
	switch {
	case busy:
		return chosen{}, kind.New(kind.Overloaded, "every backend server of %s is at its limit", x.service)
	case !ok:
		return chosen{}, kind.New(kind.Unavailable, "no backend server of %s is left", x.service)
	}
	x.tried[s.ID] = struct{}{}
	return chosen{address: s.Address, id: s.ID, known: len(servers), last: !x.serversLeft()}, nil
}

// attempt sends the request to one server. The answer's end releases it.
func (x *exchange) attempt(ctx context.Context, to chosen) (answered, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	start := time.Now()
	timer := x.attemptTimer(start, to, cancel)
	response, err := x.proxy.Client.Do(ctx, to.address, plain.Request{ //nolint:bodyclose // The answer's end closes it.
		Body:      x.body.open(),
		Header:    x.r.Header,
		Length:    x.body.length,
		Method:    x.r.Method,
		Once:      x.repeat == document.RepeatNever,
		RequestID: x.id,
		Target:    x.target,
	})
	timer.Stop()
	x.count(ctx, err)
	if err == nil || kind.Of(err).Ran != kind.RanNo {
		x.mayHaveRun.Store(true)
	}
	if err != nil {
		cancel(nil)
		x.fleet.release(time.Now(), to.id, !kind.Is(err, kind.Cancelled), true, to.known)
		return answered{}, err
	}
	x.latency.Observe(time.Since(start))
	failed := response.StatusCode >= http.StatusInternalServerError
	end := func() {
		_ = response.Body.Close()
		cancel(nil)
		x.fleet.release(time.Now(), to.id, true, failed, to.known)
	}
	return answered{end: end, response: response}, nil
}

// attemptTimer gives up an attempt that hangs when another may follow.
func (x *exchange) attemptTimer(now time.Time, to chosen, cancel context.CancelCauseFunc) *time.Timer {
	left := x.deadline.Sub(now)
	wait := left
	if x.repeat == document.RepeatAlways && x.body.stream == nil && !to.last {
		wait = left / 2
		if usual, ok := x.latency.HedgeDelay(); ok {
			wait = min(wait, max(slowMinimum, slowFactor*usual))
		}
	}
	return time.AfterFunc(wait, func() { cancel(errSlow) })
}

func (x *exchange) count(ctx context.Context, err error) {
	if x.proxy.attempts == nil {
		return
	}
	outcome := "answered"
	if err != nil {
		outcome = string(kind.Of(err).Kind)
	}
	x.proxy.attempts.Add(ctx, 1, metric.WithAttributes(
		attribute.String("outcome", outcome), attribute.String("service", x.service)))
}
