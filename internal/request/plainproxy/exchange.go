package plainproxy

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/retry"
)

const (
	// If the request may be repeated, an attempt is cancelled in favour of another one
	// after attemptTimeoutFactor times the 95th percentile of recent response times, but
	// not before minAttemptTimeout.
	attemptTimeoutFactor = 8
	minAttemptTimeout    = time.Second
)

var errAttemptTimeout = errors.New("attempt timed out before the backend server responded")

// exchange is the processing of one request of a caller.
type exchange struct {
	body     *requestBody
	cancel   context.CancelCauseFunc
	ctx      context.Context //nolint:containedctx // The exchange lives as long as the request.
	deadline time.Time
	document document.Document
	// hasCallerDeadline is true if the caller set the deadline, which then also bounds
	// the transfer of the response body.
	hasCallerDeadline bool
	pool              *serverPool
	id                string
	callerBody        *callerBody
	latency           *retry.Latency
	// mayHaveRun is set once the request may have run in an attempt.
	mayHaveRun atomic.Bool
	proxy      *Proxy
	r          *http.Request
	repeat     document.RepeatPolicy
	// servers are the servers that the last call of pick chose from.
	servers []server.Server
	service string
	target  string
	timer   *time.Timer
	tried   map[string]struct{}
	w       http.ResponseWriter
}

// setDeadline sets the deadline of the exchange from the request's header or the
// service's document, and the context that ends at the deadline.
func (x *exchange) setDeadline(now time.Time) error {
	x.deadline = now.Add(x.document.Admission.CheckDeadline)
	if text := x.r.Header.Get(httperror.HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return kind.New(kind.BadRequest, "header %s must be an RFC 3339 time, got %q", httperror.HeaderDeadline, text)
		}
		x.deadline, x.hasCallerDeadline = deadline, true
	}
	if !now.Before(x.deadline) {
		return kind.New(kind.DeadlineUnmet, "the deadline passed %s before the request was processed", now.Sub(x.deadline))
	}
	x.ctx, x.cancel = context.WithCancelCause(x.r.Context())
	x.timer = time.AfterFunc(x.deadline.Sub(now), func() { x.cancel(context.DeadlineExceeded) })
	return nil
}

// close releases the resources of the exchange and stops the caller's body.
func (x *exchange) close() {
	x.timer.Stop()
	x.cancel(nil)
	x.callerBody.stop(x.interruptRead)
}

// serve sends the request to a server and writes the response to the caller.
func (x *exchange) serve() error {
	controller := http.NewResponseController(x.w)
	if x.r.ContentLength != 0 {
		// Not every HTTP version supports these two, and the exchange works without
		// them.
		_ = controller.SetReadDeadline(x.deadline)
		_ = controller.EnableFullDuplex()
	}
	x.proxy.budgets.Deposit(time.Now(), x.service, x.document.Retry.Budget)
	if x.repeat == document.RepeatNever && x.r.Header.Get(HeaderIdempotencyKey) != "" {
		return x.serveKeyed()
	}
	var err error
	if x.repeat == document.RepeatAlways && x.r.ContentLength > 0 && x.r.ContentLength <= maxReplayBodyBytes {
		x.body, err = bufferBody(x.r, maxReplayBodyBytes)
	} else {
		x.body = streamBody(x.r)
	}
	if err != nil {
		return err
	}
	result, err := x.send(x.ctx)
	if err != nil {
		return err
	}
	if !x.hasCallerDeadline {
		x.timer.Stop()
		_ = controller.SetReadDeadline(time.Time{})
	}
	defer result.close()
	if !x.callerBody.consumed() {
		x.closeConnection()
	}
	if err := writeResponse(x.w, result.response); err != nil {
		x.abort(result, err)
	}
	return nil
}

// abort closes the caller's connection, so that the caller doesn't take a part of a response for the
// whole one.
func (x *exchange) abort(result serverResponse, err error) {
	x.proxy.Logger.LogAttrs(x.ctx, slog.LevelInfo, "response of a plain server not passed on in full", slog.String("request-id", x.id),
		slog.String("service", x.service), slog.String("server", result.server), slog.Int("status", result.response.StatusCode), slog.Any("error", err))
	panic(http.ErrAbortHandler)
}

// serverResponse is a server's response whose body is still to be read.
type serverResponse struct {
	// close closes the body and ends the attempt.
	close    func()
	response *http.Response
	// server is the id of the server.
	server string
}

// watchedBody is a body that remembers whether it broke off.
type watchedBody struct {
	io.ReadCloser

	broken bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.broken = b.broken || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// send makes attempts until Decide allows no other one. It returns the response or error
// of the last attempt, or the response before it if the last attempt failed.
func (x *exchange) send(ctx context.Context) (serverResponse, error) {
	var last serverResponse
	for attempts := 1; ; attempts++ {
		next, err := x.attemptHedged(ctx)
		if last.response != nil && err != nil {
			// The previous attempt has a response, which is better than an error.
			next, last, err = last, serverResponse{}, nil
		}
		if last.response != nil {
			last.close()
		}
		state := AttemptState{
			Attempts:       attempts,
			BodyReplayable: x.body.replayable(),
			Deadline:       x.deadline,
			Now:            time.Now(),
			Repeat:         x.repeat,
			ServersLeft:    x.serversLeft(),
		}
		if err != nil {
			e := kind.Of(err)
			state.Kind, state.Ran = e.Kind, e.Ran
		} else {
			state.Status = next.response.StatusCode
		}
		step := Decide(state)
		if step == StepRetryBudgeted && !x.withdrawRetry() {
			step = StepAnswer
		}
		if step == StepAnswer || step == StepRefuse {
			return next, x.withEarlierOutcome(err)
		}
		last = next
	}
}

// withEarlierOutcome returns an error of kind outcome-unknown if the last attempt certainly
// hasn't run the request but an earlier one may have. Otherwise it returns err.
func (x *exchange) withEarlierOutcome(err error) error {
	if err == nil || kind.Of(err).Ran != kind.RanNo || !x.mayHaveRun.Load() {
		return err
	}
	return &kind.Error{Cause: err, Kind: kind.OutcomeUnknown, Message: err.Error()}
}

// withdrawRetry takes a retry out of the budget and reports whether there was one.
func (x *exchange) withdrawRetry() bool {
	return x.proxy.DisableRetryBudget || x.proxy.budgets.Withdraw(time.Now(), x.service, x.document.Retry.Budget)
}

// serversLeft reports whether the last pick had a server that hasn't been tried.
func (x *exchange) serversLeft() bool {
	for _, s := range x.servers {
		if _, tried := x.tried[s.ID]; !tried && !s.Leaving {
			return true
		}
	}
	return false
}

// pickedServer is the server of an attempt.
type pickedServer struct {
	address string
	id      string
	// serverCount is the number of servers of the service.
	serverCount int
	// lastUntried is true if no other server is left to try.
	lastUntried bool
}

// pick chooses a server that hasn't been tried yet.
func (x *exchange) pick() (pickedServer, error) {
	servers := x.proxy.Servers.Servers(x.service)
	x.servers = servers
	allowed := constraints{exclude: x.tried, limit: x.document.Admission.SlotLimit, zone: x.proxy.Zone}
	s, busy, ok := x.pool.pick(time.Now(), servers, allowed, x.proxy.Policy)
	switch {
	case busy:
		return pickedServer{}, kind.New(kind.Overloaded, "the backend servers of service %q have reached the limit of %d requests in flight each", x.service, allowed.limit)
	case !ok:
		return pickedServer{}, kind.New(kind.Unavailable, "no backend server of service %q is left to try: %d listed, %d tried", x.service, len(servers), len(x.tried))
	}
	x.tried[s.ID] = struct{}{}
	return pickedServer{address: s.Address, id: s.ID, serverCount: len(servers), lastUntried: !x.serversLeft()}, nil
}

// attempt sends the request to one server. The caller must close the response, which
// counts the request as ended.
func (x *exchange) attempt(ctx context.Context, to pickedServer) (serverResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	start := time.Now()
	timer := x.attemptTimer(start, to, cancel)
	response, err := x.proxy.Client.Do(ctx, to.address, plain.Request{ //nolint:bodyclose // serverResponse.close closes it.
		Body:       x.body.reader(),
		Header:     x.r.Header,
		Length:     x.body.length,
		Method:     x.r.Method,
		AtMostOnce: x.repeat == document.RepeatNever,
		RequestID:  x.id,
		Target:     x.target,
	})
	timer.Stop()
	x.countAttempt(ctx, err)
	if err == nil || kind.Of(err).Ran != kind.RanNo {
		x.mayHaveRun.Store(true)
	}
	if err != nil {
		cancel(nil)
		x.proxy.Logger.LogAttrs(ctx, slog.LevelInfo, "attempt at a plain server failed", slog.String("request-id", x.id),
			slog.String("service", x.service), slog.String("server", to.id), slog.String("ran", string(kind.Of(err).Ran)), slog.Any("error", err))
		x.pool.release(time.Now(), to.id, !kind.Is(err, kind.Cancelled), true, to.serverCount)
		return serverResponse{}, err
	}
	x.latency.Observe(time.Since(start))
	body := &watchedBody{ReadCloser: response.Body}
	response.Body = body
	closeResponse := func() {
		failed := response.StatusCode >= http.StatusInternalServerError || body.broken && ctx.Err() == nil
		_ = body.Close()
		cancel(nil)
		x.pool.release(time.Now(), to.id, true, failed, to.serverCount)
	}
	return serverResponse{close: closeResponse, response: response, server: to.id}, nil
}

// attemptTimer cancels an attempt at the deadline, or earlier if another attempt may
// follow: after half of the time left, or when the attempt is much slower than usual.
func (x *exchange) attemptTimer(now time.Time, to pickedServer, cancel context.CancelCauseFunc) *time.Timer {
	remaining := x.deadline.Sub(now)
	timeout := remaining
	if x.repeat == document.RepeatAlways && x.body.stream == nil && !to.lastUntried {
		timeout = remaining / 2
		if usual, ok := x.latency.HedgeDelay(); ok {
			timeout = min(timeout, max(minAttemptTimeout, attemptTimeoutFactor*usual))
		}
	}
	return time.AfterFunc(timeout, func() { cancel(errAttemptTimeout) })
}

// countAttempt counts an attempt by its outcome in the metric of attempts.
func (x *exchange) countAttempt(ctx context.Context, err error) {
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
