// Package forward carries single requests of callers to the backend servers of
// a route's service: it chooses the server, repeats what may be repeated, and
// passes one whole answer back.
package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/ending"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

const (
	// bufferBytes is how much of an answer is read before any of it is passed
	// on. An answer within it is whole before the caller sees it, so a broken
	// one can still be replaced by that of another server.
	bufferBytes = 256 << 10
	// defaultBudget bounds a request whose caller and route name no time.
	defaultBudget = 30 * time.Second
	contentEvents = "text/event-stream"
)

// Request is one request of a caller.
type Request struct {
	// Arrived is when the request was read.
	Arrived time.Time
	Body    []byte
	// Budget is how long the caller waits from Arrived on; zero if unknown.
	Budget time.Duration
	Header http.Header
	Host   string
	ID     string
	Method string
	// Target is the path with the query as the caller wrote them.
	Target string
}

// Contents decides whether what a request asks for may be sent to servers.
type Contents interface {
	// Admit returns the permission to send content, or an error that says that the
	// request has not run.
	Admit(ctx context.Context, content uint64) (poison.Admission, error)
	// Answered takes in that a server has answered.
	Answered(content uint64)
	// Refuses reports whether the content is refused now.
	Refuses(content uint64) bool
}

// Forwarder sends requests on. The fields are set before the first call.
type Forwarder struct {
	Client *plain.Client
	// Contents admits what callers ask for; nil admits everything.
	Contents Contents
	Dialect  dialect.Dialect
	// Endings looks into servers that left a request without an answer; nil doesn't.
	Endings   *ending.Watch
	Inventory *inventory.Inventory
	Logger    *slog.Logger
	// Self is the id of this host.
	Self string
	// Zone is the availability zone of this host.
	Zone string

	metrics instruments
	once    sync.Once
}

// answer is the outcome of one try at one server.
type answer struct {
	server inventory.Server
	// response is nil when there was no sound answer.
	response *http.Response
	// head is the start of the body, whole if rest is false.
	head []byte
	rest bool
	err  error
	ran  kind.Ran
}

func (a answer) close() {
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

// Serve answers the request by a server of the route, or returns an error with
// a kind when nothing was written to w.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, request Request, route config.Route) error {
	f.once.Do(func() { f.metrics = newInstruments(f.Logger) })
	budget := defaultBudget
	if request.Budget > 0 {
		budget = request.Budget
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	deadline := request.Arrived.Add(budget)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	x := &exchange{
		Forwarder: f, request: request, deadline: deadline, service: route.PickService(rand.Float64()),
		attempts:   attempts{chooser: f.Chooser(), route: route, tried: make(map[string]struct{})},
		answers:    make(chan answer),
		content:    poison.RequestFingerprint(request.Method, request.Host, request.Target, request.Body),
		unanswered: make(map[string]ending.Case),
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
		x.inquire(ctx, err)
		f.Logger.LogAttrs(ctx, slog.LevelInfo, "request not served", slog.String("request-id", request.ID),
			slog.Uint64("content", x.content), slog.String("route", route.Name), slog.String("service", x.service),
			slog.Int("may-have-run", x.attempts.mayHaveRun), slog.Int("not-run", x.attempts.notRun),
			slog.Int("at-servers", x.attempts.pending), slog.Any("servers", x.attempts.asked()),
			slog.Duration("after", time.Since(request.Arrived)), slog.Any("error", err))
		return err
	}
	defer final.close()
	f.metrics.count(ctx, "answered", time.Since(request.Arrived))
	switch err := pass(w, final); {
	case err == nil:
		x.answered()
		return nil
	case errors.Is(err, errServerBroke) && ctx.Err() == nil:
		x.logTry(ctx, answer{server: final.server, err: err, ran: kind.RanYes})
		x.unanswered[final.server.ID] = x.newCase(final.server, true)
		x.inquire(ctx, err)
	}
	panic(http.ErrAbortHandler)
}

// Chooser returns how this host chooses servers for single requests.
func (f *Forwarder) Chooser() Chooser { return Chooser{Self: f.Self, Zone: f.Zone} }

// Outcome is what one try at one server gave.
type Outcome struct {
	// Err is set if no whole answer came.
	Err    error
	Header http.Header
	Ran    kind.Ran
	Status int
}

// Try sends a request that may be repeated to one server and reads its whole answer,
// whose body is dropped. once asks for a connection of its own.
func (f *Forwarder) Try(
	ctx context.Context, candidate inventory.Candidate, request Request, deadline time.Time, once bool,
) Outcome {
	a := f.try(ctx, candidate, request, deadline, once)
	defer a.close()
	if a.response == nil {
		return Outcome{Err: a.err, Ran: a.ran}
	}
	outcome := Outcome{Header: a.response.Header, Ran: a.ran, Status: a.response.StatusCode}
	if a.rest {
		outcome.Err = kind.New(kind.BackendFailed, "the answer has %d bytes or more", bufferBytes)
	}
	return outcome
}

// try sends the request to one server and reads the start of its answer. once asks
// for a connection of its own.
func (f *Forwarder) try(
	ctx context.Context, candidate inventory.Candidate, request Request, deadline time.Time, once bool,
) answer {
	f.Inventory.Started(candidate.ID)
	defer f.Inventory.Finished(candidate.ID)
	header := request.Header.Clone()
	header.Set(f.Dialect.BudgetMillis, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	header.Set(f.Dialect.ExpectServer, candidate.ID)
	response, err := f.Client.Do(ctx, candidate.Address, plain.Request{
		Body: bytes.NewReader(request.Body), Header: header, Host: request.Host, Length: int64(len(request.Body)),
		Check:  func() error { return f.Inventory.Check(candidate.ID) },
		Method: request.Method, Once: once, RequestID: request.ID, Server: candidate.ID, Target: request.Target,
	})
	if err != nil {
		if ctx.Err() == nil {
			f.Inventory.Failed(candidate.ID)
		}
		return answer{server: candidate.Server, err: err, ran: kind.Of(err).Ran}
	}
	a := answer{server: candidate.Server, response: response, ran: kind.RanYes}
	if response.Header.Get(f.Dialect.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		a.ran = kind.RanNo
		f.Inventory.Full(candidate.ID, shortestReturn)
		return a
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), contentEvents) {
		a.rest = true
		return a
	}
	a.head, err = io.ReadAll(io.LimitReader(response.Body, bufferBytes))
	if err != nil {
		_ = response.Body.Close()
		return answer{server: candidate.Server, err: err, ran: kind.RanUnknown}
	}
	a.rest = len(a.head) == bufferBytes
	f.Inventory.Answered(candidate.ID, LoadTold(response.Header.Get(f.Dialect.Load)))
	return a
}

// LoadTold returns the running and waiting requests of a server's load header,
// or -1 when the header is absent or malformed.
func LoadTold(header string) int {
	running, rest, ok := strings.Cut(header, ",")
	waiting, _, more := strings.Cut(rest, ",")
	if !ok || !more {
		return -1
	}
	r, errRunning := strconv.Atoi(strings.TrimSpace(running))
	w, errWaiting := strconv.Atoi(strings.TrimSpace(waiting))
	if errRunning != nil || errWaiting != nil || r < 0 || w < 0 {
		return -1
	}
	return r + w
}

// errServerBroke is the failure of an answer that its server broke off.
var errServerBroke = errors.New("the server broke its answer off")

// pass writes an answer as the server gave it. After an error the caller's connection
// must be broken too, so that the part can't be taken for a whole answer.
func pass(w http.ResponseWriter, a answer) error {
	header := w.Header()
	for name, values := range a.response.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps the library from guessing one.
		header["Content-Type"] = nil
	}
	if !a.rest && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	w.WriteHeader(a.response.StatusCode)
	if _, err := w.Write(a.head); err != nil || !a.rest {
		return err
	}
	return copyFlushing(w, a.response.Body)
}

// copyFlushing passes bytes on as they arrive.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Join(errServerBroke, err)
		}
	}
}
