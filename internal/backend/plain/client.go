// Package plain sends requests to the backend servers of plain services over
// HTTP and tells of each failure whether the request can have run.
package plain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/probe"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
)

var classError = errs.Class("plain")

const (
	// DefaultConnectTimeout bounds the time to connect to a server.
	DefaultConnectTimeout = time.Second
	// maxHeaderBytes is the longest header of an answer in bytes.
	maxHeaderBytes = 256 << 10
	idleTimeout    = 30 * time.Second
	idlePerServer  = 256
)

// Request is one request to a server.
type Request struct {
	// Body is nil when there is none. It is not closed.
	Body io.Reader
	// Check is asked when the connection is there, before anything is sent. Its error
	// keeps the request from being sent; nil sends it.
	Check func() error
	// Header holds the caller's headers. It is not changed.
	Header http.Header
	// Host is the host that the caller named; empty means the server's address.
	Host string
	// Length is the length of Body in bytes, or -1 when it is not known.
	Length int64
	Method string
	// Once marks a request that must not be sent twice. It goes over a
	// connection of its own, so that a server which closes idle connections
	// leaves no doubt about it.
	Once bool
	// RequestID is sent along; an answer that carries another one belongs to
	// another request.
	RequestID string
	// Server is the id of the server that is meant; empty if it isn't known.
	Server string
	// Target is the path with the query.
	Target string
}

// Client sends requests. The fields are set before the first call.
type Client struct {
	// ConnectTimeout bounds the time to connect. Zero means
	// DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// Dial opens a connection; nil means a plain net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IsLeaving reports whether the header of an answer says that its server leaves. Its
	// connections are then closed once they are idle. Nil keeps them.
	IsLeaving func(header http.Header) bool
	// OnLeaving is told the id of a server that says so; nil isn't.
	OnLeaving func(server string)

	conns  connections
	once   sync.Once
	kept   *http.Transport
	single *http.Transport
}

// Do sends the request to the server at address, an IP address and port, and
// returns its answer. The caller closes the answer's body; an answer that is
// not read to its end closes its connection. Each error has a kind and says
// whether the request can have run: "no" only when not one byte of it was
// handed to a connection.
func (c *Client) Do(ctx context.Context, address string, request Request) (*http.Response, error) {
	c.once.Do(c.setUp)
	ctx, span := otel.Tracer("nutmegway/plain").Start(ctx, "plain "+request.Method,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server.address", address)))
	defer span.End()
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		// A paused process may get here before its timers have fired.
		return nil, kind.New(kind.DeadlineUnmet, "the deadline passed before the request was sent")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	sent := &sentWatch{cancel: cancel, check: request.Check}
	outgoing, err := newRequest(ctx, address, request, sent)
	if err != nil {
		cancel(err)
		return nil, kind.Wrap(kind.BadRequest, classError.Wrap(err))
	}
	transport := c.kept
	if request.Once {
		transport = c.single
	}
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		span.RecordError(err)
		return nil, failure(ctx, err, sent.seal())
	}
	if id := response.Header.Get(refusal.HeaderRequestID); id != "" && id != request.RequestID {
		sent.seal()
		_ = response.Body.Close()
		return nil, kind.New(kind.OutcomeUnknown, "the server answered another request")
	}
	if c.IsLeaving != nil && c.IsLeaving(response.Header) {
		c.conns.retire(address)
		if c.OnLeaving != nil && request.Server != "" {
			c.OnLeaving(request.Server)
		}
	}
	removeHopByHop(response.Header)
	return response, nil
}

// Probe finds out whether a process listens at address, an IP address and port.
func (c *Client) Probe(ctx context.Context, address string) probe.Result {
	c.once.Do(c.setUp)
	return probe.Address(ctx, c.kept.DialContext, address)
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() {
	c.once.Do(c.setUp)
	c.kept.CloseIdleConnections()
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
		conn, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.conns.add(conn, address), nil
	}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			IdleConnTimeout:        idleTimeout,
			MaxIdleConnsPerHost:    idlePerServer,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}
	}
	c.kept, c.single = transport(), transport()
	c.single.DisableKeepAlives = true
}

func newRequest(ctx context.Context, address string, request Request, sent *sentWatch) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn, PutIdleConn: sent.putIdle})
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Target, http.NoBody)
	if err != nil {
		return nil, err
	}
	outgoing.Header = request.Header.Clone()
	if outgoing.Header == nil {
		outgoing.Header = make(http.Header)
	}
	removeHopByHop(outgoing.Header)
	outgoing.Host = request.Host
	// The body is sent at once; there is nothing to wait for.
	outgoing.Header.Del("Expect")
	if _, ok := outgoing.Header["User-Agent"]; !ok {
		outgoing.Header["User-Agent"] = nil
	}
	outgoing.Header.Set(refusal.HeaderRequestID, request.RequestID)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(outgoing.Header))
	if request.Body != nil && request.Length != 0 {
		outgoing.Body = io.NopCloser(request.Body)
		outgoing.ContentLength = request.Length
	}
	return outgoing, nil
}

// failure gives the error of a round trip its kind. A context that ended for a
// cause of its caller's counts as a broken connection. sent is true when a byte of
// the request was handed to a connection.
func failure(ctx context.Context, err error, sent bool) error {
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
