// Package plain sends requests to the backend servers of plain services over HTTP. Each of
// its errors says whether the request may have run.
package plain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/net/http/httpguts"

	"github.com/nutmegway/nutmegway/internal/backend/reach"
	"github.com/nutmegway/nutmegway/internal/base/httpconn"
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/httpstatus"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/probe"
)

var classError = errs.Class("plain")

const (
	// DefaultConnectTimeout is the default of Client.ConnectTimeout.
	DefaultConnectTimeout = time.Second
	// maxHeaderBytes bounds the header of an answer. Headers with many short fields take
	// several times as much memory, and many answers may be read at once.
	maxHeaderBytes   = 32 << 10
	idleTimeout      = 30 * time.Second
	maxIdlePerServer = 256
)

// Request is one request to a server.
type Request struct {
	// Body is nil if there is none. Do doesn't close it.
	Body io.Reader
	// BeforeSend, if not nil, is called once the request has a connection and before
	// anything is sent. If it returns an error, the request is not sent.
	BeforeSend func() error
	// Header holds the caller's headers. Do doesn't modify it.
	Header http.Header
	// Host is the Host header; empty means the server's address.
	Host string
	// Length is the length of Body in bytes, or -1 if unknown.
	Length int64
	Method string
	// AtMostOnce marks a request that must not be sent twice. It gets a new connection,
	// because the server may close a reused one as idle while the request is being sent.
	// It would then be unknown whether the request ran.
	AtMostOnce bool
	// Purpose is what the request is for. It appears in metrics and logs.
	Purpose Purpose
	// RequestID is sent in a header. An answer that carries a different one belongs to
	// another request and is an error.
	RequestID string
	// Server is the id of the server at the address; empty if unknown.
	Server string
	// Target is the path and query.
	Target string
}

// Purpose is what a request to a server is for.
type Purpose string

// The purposes of requests.
const (
	PurposeItem   Purpose = "item"
	PurposeOrder  Purpose = "order"
	PurposeSingle Purpose = "single"
	PurposeStatus Purpose = "status"
)

// Gate controls which requests are sent to a server.
type Gate interface {
	// Admit returns a permit for a request, or an error from [NewNotAdmitted] if it must
	// not be sent now.
	Admit(ctx context.Context, server string, purpose Purpose) (Permit, error)
	// Observe handles the header of an answer of the server. sent is when its request was
	// admitted.
	Observe(server string, header http.Header, sent time.Time)
}

// Permit allows a request to be sent.
type Permit struct {
	// Check, if not nil, is called right before the request is sent. It returns an error if
	// the permit has expired.
	Check func() error
}

// ErrNotAdmitted is in the chain of the error of a request that its gate did not admit.
var ErrNotAdmitted = classError.New("request not admitted")

// NewNotAdmitted returns the error of a request that its gate did not admit. retryAfter is
// when it may be admitted.
func NewNotAdmitted(retryAfter time.Duration, format string, args ...any) error {
	return &kind.Error{
		Cause: ErrNotAdmitted, Kind: kind.Unavailable, Message: fmt.Sprintf(format, args...), Ran: kind.RanNo, RetryAfter: retryAfter,
	}
}

// Client sends requests. The fields are set before the first call.
type Client struct {
	// ConnectTimeout bounds the time to connect to a server; zero means
	// DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// Dial opens a connection; nil means DialContext of a zero net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Gate, if not nil, admits each request whose Request.Server is set.
	Gate Gate
	// IsLeaving, if not nil, reports whether the header of an answer announces that its
	// server is leaving. Connections to that server are then closed once they are idle.
	IsLeaving func(header http.Header) bool
	// OnLeaving, if not nil, is called with the id of the server for each answer for which
	// IsLeaving returns true. It isn't called if Request.Server is empty.
	OnLeaving func(server string)
	// Reach observes the connections; it may be nil.
	Reach *reach.Monitor

	conns    connTracker
	once     sync.Once
	pooled   *http.Transport
	unpooled *http.Transport
}

// Do sends the request to the server at address, an IP address and port, and returns its
// answer, whose status is one from 200 to 599 and whose lines are those of an answer (see
// [httpconn.Conn]). The caller must close the answer's body. Closing it before it is read to its end
// closes the connection too. Reading the body of an answer that breaks off ends with an error. Each error has a kind and says
// whether the request may have run. It says RanNo only if no byte of the request was written to a
// connection.
func (c *Client) Do(ctx context.Context, address string, request Request) (*http.Response, error) {
	c.once.Do(c.setUp)
	ctx, span := otel.Tracer("nutmegway/plain").Start(ctx, "plain "+request.Method,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server.address", address)))
	defer span.End()
	permit, err := c.admit(ctx, request)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		// After a pause of the process, this may run before the context's timer has fired.
		return nil, kind.New(kind.DeadlineUnmet, "the deadline passed before the request was sent")
	}
	admitted := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	tracker := &sendTracker{
		cancel: cancel, beforeSend: func() error { return firstError(permit.Check, request.BeforeSend) },
		method: request.Method,
		// An order must not arrive after the next one.
		resetOnClose: request.Purpose == PurposeOrder,
	}
	outgoing, err := newRequest(ctx, address, request, tracker)
	if err != nil {
		cancel(err)
		return nil, kind.Wrap(kind.BadRequest, classError.Wrap(err))
	}
	transport := c.pooled
	if request.AtMostOnce {
		transport = c.unpooled
	}
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		span.RecordError(err)
		return nil, transportError(ctx, err, tracker.seal())
	}
	if err := checkAnswer(response, request.RequestID); err != nil {
		span.RecordError(err)
		tracker.seal()
		_ = response.Body.Close()
		return nil, err
	}
	c.Observe(address, request.Server, response, admitted)
	RemoveHopByHop(response.Header)
	return response, nil
}

// checkAnswer returns an error if the response is not an answer to the request with the id.
func checkAnswer(response *http.Response, requestID string) error {
	if !httpstatus.IsFinal(response.StatusCode) {
		return kind.New(kind.OutcomeUnknown, "server answered request %q with status %03d, want one from 200 to 599", requestID, response.StatusCode)
	}
	if id := response.Header.Get(httperror.HeaderRequestID); id != "" && id != requestID {
		return kind.New(kind.OutcomeUnknown, "server answered request %q with the id of another request", requestID)
	}
	return nil
}

func (c *Client) admit(ctx context.Context, request Request) (Permit, error) {
	if c.Gate == nil || request.Server == "" {
		return Permit{}, nil
	}
	return c.Gate.Admit(ctx, request.Server, request.Purpose)
}

// Observe handles what the header of an answer says of its server. admitted is when the
// request was admitted. Do calls it for each answer.
func (c *Client) Observe(address, server string, response *http.Response, admitted time.Time) {
	// A misdirected request was answered by another server.
	if c.Gate != nil && server != "" && response.StatusCode != http.StatusMisdirectedRequest {
		c.Gate.Observe(server, response.Header, admitted)
	}
	if c.IsLeaving != nil && c.IsLeaving(response.Header) {
		c.conns.closeWhenIdle(address)
		if c.OnLeaving != nil && server != "" {
			c.OnLeaving(server)
		}
	}
}

// firstError calls the checks in order and returns the first error. A nil check passes.
func firstError(checks ...func() error) error {
	for _, check := range checks {
		if check == nil {
			continue
		}
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// Probe checks whether a process listens at address, an IP address and port.
func (c *Client) Probe(ctx context.Context, address string) probe.Result {
	c.once.Do(c.setUp)
	return probe.Address(ctx, c.pooled.DialContext, address)
}

// HasIdle reports whether a connection to the server at address is open and idle.
func (c *Client) HasIdle(address string) bool { return c.conns.hasIdle(address) }

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.once.Do(c.setUp)
	c.pooled.CloseIdleConnections()
}

func (c *Client) setUp() {
	timeout := c.ConnectTimeout
	if timeout == 0 {
		timeout = DefaultConnectTimeout
	}
	connect := c.Dial
	if connect == nil {
		connect = (&net.Dialer{}).DialContext
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		connectCtx, connected := c.Reach.Connecting(ctx, address)
		conn, err := connect(connectCtx, network, address)
		connected(err)
		if err != nil {
			return nil, err
		}
		return c.conns.add(&httpconn.Conn{Conn: conn}, address, c.Reach), nil
	}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			IdleConnTimeout:        idleTimeout,
			MaxIdleConnsPerHost:    maxIdlePerServer,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}
	}
	c.pooled, c.unpooled = transport(), transport()
	c.unpooled.DisableKeepAlives = true
}

// CheckSendable returns an error if no request with the target and the header can be sent.
func CheckSendable(target string, header http.Header) error {
	if !strings.HasPrefix(target, "/") {
		return classError.New("path %q, want one that begins with a slash", target)
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return classError.New("path: %w", err)
	}
	if strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == '\x7f' }) {
		return classError.New("path %q has a space or a control character", target)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return classError.New("header %q, want a name of letters, digits and hyphens", name)
		}
		if slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) }) {
			return classError.New("header %q has a value with control characters", name)
		}
	}
	return nil
}

// setTarget sets the path and the query that the HTTP library writes. It escapes a parsed path
// anew and leaves out what follows a number sign, but writes an opaque one as it is.
func setTarget(u *url.URL, target string) {
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return
	}
	// The library writes the scheme before an opaque part that begins with two slashes.
	path, query, hasQuery := strings.Cut(target, "?")
	u.Path, u.RawPath = path, path
	if unescaped, err := url.PathUnescape(path); err == nil {
		u.Path = unescaped
	}
	u.RawQuery, u.ForceQuery = query, hasQuery && query == ""
}

func newRequest(ctx context.Context, address string, request Request, tracker *sendTracker) (*http.Request, error) {
	if err := CheckSendable(request.Target, request.Header); err != nil {
		return nil, err
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn, PutIdleConn: tracker.putIdle})
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address, http.NoBody)
	if err != nil {
		return nil, err
	}
	setTarget(outgoing.URL, request.Target)
	if sent := outgoing.URL.RequestURI(); sent != request.Target {
		return nil, classError.New("path %q would be sent as %q", request.Target, sent)
	}
	outgoing.Header = request.Header.Clone()
	if outgoing.Header == nil {
		outgoing.Header = make(http.Header)
	}
	RemoveHopByHop(outgoing.Header)
	outgoing.Host = request.Host
	// The body is sent at once, without waiting for a 100 Continue response.
	outgoing.Header.Del("Expect")
	if _, ok := outgoing.Header["User-Agent"]; !ok {
		outgoing.Header["User-Agent"] = nil
	}
	outgoing.Header.Set(httperror.HeaderRequestID, request.RequestID)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(outgoing.Header))
	if request.Body != nil && request.Length != 0 {
		outgoing.Body = io.NopCloser(request.Body)
		outgoing.ContentLength = request.Length
	}
	return outgoing, nil
}

// transportError returns the error of a round trip with its kind. A context that ended with
// a cause other than cancellation or deadline counts as a broken connection. sent is set
// if a byte of the request was written to a connection.
func transportError(ctx context.Context, err error, sent bool) error {
	ran := kind.RanNo
	if sent {
		ran = kind.RanUnknown
	}
	k := kind.Unavailable
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.Canceled):
		k = kind.Cancelled
	case errors.Is(cause, context.DeadlineExceeded):
		k = kind.DeadlineExceeded
	case sent:
		k = kind.OutcomeUnknown
	}
	return (&kind.Error{Cause: classError.Wrap(err), Kind: k, Message: err.Error()}).WithRan(ran)
}
