package forwardlink

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/nutmegway/nutmegway/internal/base/httpstatus"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/forwardlink/forwardlinkpb"
)

// Client hands requests on to other hosts. The exported fields are set before the first call.
type Client struct {
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion func() int64
	// Hosts returns the hosts that may take requests, without this one.
	Hosts  func() []roster.Host
	Links  *peer.Links
	Logger *slog.Logger

	mu sync.Mutex
	// refusedUntil holds the times until which hosts are tried last, by id.
	refusedUntil map[string]time.Time
}

var _ forward.Relay = (*Client)(nil)

var errOfferTimeout = classError.New("the offer was not answered within %s", offerTimeout)

// Forward implements forward.Relay.
func (c *Client) Forward(
	ctx context.Context, request forward.Request, deadline time.Time, maxAttempts int,
) (response *http.Response, server string, err error) {
	var refusals []error
	for _, host := range c.choose() {
		call, err := c.offer(ctx, host, request)
		if err != nil {
			refusals = append(refusals, err)
			c.Logger.LogAttrs(ctx, slog.LevelInfo, "request not accepted by another host", slog.String("request-id", request.ID),
				slog.String("host", host.ID), slog.Any("error", err))
			if ctx.Err() != nil {
				break
			}
			continue
		}
		response, server, err := call.send(request, deadline, maxAttempts)
		if err != nil {
			call.end()
		}
		c.Logger.LogAttrs(ctx, slog.LevelInfo, "request handed on", slog.String("request-id", request.ID), slog.String("host", host.ID),
			slog.Int("attempts", maxAttempts), slog.Duration("left", time.Until(deadline)), slog.Any("error", err))
		return response, server, err
	}
	return nil, "", kind.New(kind.Unavailable, "no other host accepts the request: %v", errors.Join(refusals...)).WithRan(kind.RanNo)
}

// ReachesServers reports whether another host confirms that it reaches backend servers.
func (c *Client) ReachesServers(ctx context.Context, host roster.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	link, err := c.Links.Acquire(host.PeerAddress)
	if err != nil {
		c.Logger.LogAttrs(ctx, slog.LevelInfo, "no link to another host", slog.String("host", host.ID), slog.Any("error", err))
		return false
	}
	reply, err := forwardlinkpb.NewForwardLinkClient(link.Conn).CheckReach(ctx, &forwardlinkpb.CheckReachRequest{})
	c.Links.Release(link, err != nil)
	c.Logger.LogAttrs(ctx, slog.LevelInfo, "asked whether another host reaches backend servers", slog.String("host", host.ID),
		slog.Bool("reaches", reply.GetReachesServers()), slog.Any("error", err))
	return reply.GetReachesServers()
}

// choose returns the hosts to offer a request to, in random order, so that no host gets the
// requests of all isolated hosts. Those that did not accept a request lately come last.
func (c *Client) choose() []roster.Host {
	hosts := slices.Clone(c.Hosts())
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	rank := func(h roster.Host) int {
		if now.Before(c.refusedUntil[h.ID]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(hosts, func(a, b roster.Host) int { return cmp.Compare(rank(a), rank(b)) })
	return hosts[:min(len(hosts), maxOffers)]
}

// recordRefusal makes a host that did not accept a request come last for refusalMemory.
func (c *Client) recordRefusal(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for id, until := range c.refusedUntil {
		if now.After(until) {
			delete(c.refusedUntil, id)
		}
	}
	if c.refusedUntil == nil {
		c.refusedUntil = make(map[string]time.Time)
	}
	c.refusedUntil[host] = now.Add(refusalMemory)
}

// call is a call whose offer was accepted. end must be called.
type call struct {
	ctx    context.Context //nolint:containedctx // It is the context of the call.
	end    func()
	stream forwardlinkpb.ForwardLink_ForwardClient
}

// offer offers a request to a host and waits for the verdict. After an error the request has
// not been sent.
func (c *Client) offer(ctx context.Context, host roster.Host, request forward.Request) (*call, error) {
	link, err := c.Links.Acquire(host.PeerAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(offerTimeout, func() { cancel(errOfferTimeout) })
	stream, verdict, err := offerOn(ctx, link, request.ID, c.ConfigVersion())
	// If the timer has fired, the context has ended and the call can't be used.
	if !timer.Stop() && err == nil {
		err = errOfferTimeout
	}
	if err == nil && verdict.GetAccepted() && request.Grant != nil && !verdict.GetReadsGrants() {
		// A host of an earlier version would not name the account to servers.
		verdict = &forwardlinkpb.Verdict{Reason: "the host knows no client accounts"}
	}
	if err == nil && verdict.GetAccepted() {
		var once sync.Once
		return &call{ctx: ctx, stream: stream, end: func() {
			once.Do(func() {
				cancel(nil)
				c.Links.Release(link, false)
			})
		}}, nil
	}
	callerLeft := context.Cause(ctx) != nil && !errors.Is(context.Cause(ctx), errOfferTimeout)
	cancel(nil)
	c.Links.Release(link, err != nil && !callerLeft)
	if !callerLeft {
		c.recordRefusal(host.ID)
	}
	if err == nil {
		err = classError.New("refused: %s", verdict.GetReason())
	}
	return nil, classError.Wrap(err)
}

func offerOn(
	ctx context.Context, link *peer.Link, requestID string, configVersion int64,
) (forwardlinkpb.ForwardLink_ForwardClient, *forwardlinkpb.Verdict, error) {
	stream, err := forwardlinkpb.NewForwardLinkClient(link.Conn).Forward(ctx)
	if err != nil {
		return nil, nil, err
	}
	offer := &forwardlinkpb.Offer{ConfigVersion: configVersion, RequestId: requestID}
	// If Send fails, Recv returns the reason.
	_ = stream.Send(&forwardlinkpb.ForwardPart{Part: &forwardlinkpb.ForwardPart_Offer{Offer: offer}})
	reply, err := stream.Recv()
	return stream, reply.GetVerdict(), err
}

// send sends the request and returns the head of the answer and the server that it comes from.
// The body of the answer ends the call when it is closed.
func (c *call) send(request forward.Request, deadline time.Time, maxAttempts int) (response *http.Response, server string, err error) {
	part := &forwardlinkpb.ForwardPart{Part: &forwardlinkpb.ForwardPart_Request{Request: &forwardlinkpb.Request{
		Body: request.Body, BudgetMicros: max(time.Until(deadline).Microseconds(), 1), Headers: encodeHeader(request.Header), Host: []byte(request.Host),
		MaxAttempts: int32(min(maxAttempts, maxAttemptsOnWire)), Method: request.Method, Target: []byte(request.Target),
	}}}
	if request.Grant != nil {
		if err := request.Grant.Check(); err != nil {
			return nil, "", err
		}
		part.GetRequest().Grant = encodeGrant(request.Grant)
	}
	for id, started := range request.Leaving {
		leaving := &forwardlinkpb.LeavingServer{Id: id, StartedMillis: started}
		part.GetRequest().Leaving = append(part.GetRequest().Leaving, leaving)
	}
	// If Send fails, Recv returns the reason.
	_ = c.stream.Send(part)
	_ = c.stream.CloseSend()
	reply, err := c.stream.Recv()
	if err != nil {
		return nil, "", c.linkError(err)
	}
	if failure := reply.GetFailure(); failure != nil {
		return nil, "", decodeFailure(failure)
	}
	head := reply.GetHead()
	if head == nil {
		return nil, "", c.linkError(classError.New("the answer has no head"))
	}
	header := decodeHeader(head.GetHeaders())
	if err := checkHead(int(head.GetStatus()), header); err != nil {
		return nil, "", c.linkError(classError.New("server %q: %w", head.GetServer(), err))
	}
	response = &http.Response{
		Body: &answerBody{call: c}, ContentLength: -1, Header: header, StatusCode: int(head.GetStatus()),
		// The end of the answer is marked on the link, however its server framed it.
		TransferEncoding: []string{"chunked"},
	}
	if length, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64); err == nil {
		response.ContentLength, response.TransferEncoding = length, nil
	}
	return response, head.GetServer(), nil
}

// checkHead returns an error if a head can't be that of an answer. A host of an earlier version hands
// back whatever the HTTP library takes.
func checkHead(status int, header http.Header) error {
	if !httpstatus.IsFinal(status) {
		return classError.New("answer with status %03d, want one from 200 to 599", status)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return classError.New("answer with a field whose name is invalid")
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return classError.New("answer with a field whose value is invalid")
			}
		}
	}
	return nil
}

// maxAttemptsOnWire bounds the number of attempts in a message.
const maxAttemptsOnWire = 1000

// linkError returns the error of a call that broke after its request was sent.
func (c *call) linkError(err error) error {
	k := kind.OutcomeUnknown
	switch cause := context.Cause(c.ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		k = kind.DeadlineExceeded
	case errors.Is(cause, context.Canceled):
		k = kind.Cancelled
	}
	return (&kind.Error{Cause: classError.Wrap(err), Kind: k, Message: "the link to another host broke: " + err.Error()}).WithRan(kind.RanUnknown)
}

func decodeFailure(failure *forwardlinkpb.Failure) error {
	return &kind.Error{
		Kind: kind.Kind(failure.GetKind()), Message: failure.GetMessage(), Ran: kind.Ran(failure.GetRan()),
		RetryAfter: time.Duration(failure.GetRetryAfterMicros()) * time.Microsecond,
	}
}

// answerBody is the body of an answer that arrives over a link.
type answerBody struct {
	call  *call
	chunk []byte
	ended bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.chunk) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		part, err := b.call.stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, classError.Wrap(err)
		case part.GetFailure() != nil:
			return 0, decodeFailure(part.GetFailure())
		case part.GetEnd() != nil:
			b.ended = true
		}
		b.chunk = part.GetChunk()
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}

// Close implements io.Closer. It ends the call.
func (b *answerBody) Close() error {
	b.call.end()
	return nil
}
