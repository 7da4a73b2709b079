package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/nutmegway/nutmegway/internal/base/httpbody"
	"github.com/nutmegway/nutmegway/internal/base/httpconn"
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/httpstatus"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	// cancelTimeout bounds the request that cancels a generation when its stream closes.
	cancelTimeout    = 300 * time.Millisecond
	maxResponseBytes = 64 << 20
)

var tracer = otel.Tracer("nutmegway/engine")

// Client is an Engine that is reached over HTTP.
type Client struct {
	// Address is the engine's IP address and port.
	Address string
	// HTTP is the shared HTTP client; nil means httpconn.DefaultClient.
	HTTP *http.Client
}

var _ Engine = Client{}

// CacheEvents returns the cache events with sequence numbers above after.
func (c Client) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.call(ctx, http.MethodGet, PathCacheEvents+"?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// Cancel cancels the generation with the request id.
func (c Client) Cancel(ctx context.Context, requestID string) error {
	return c.call(ctx, http.MethodPost, PathCancel, CancelRequest{RequestID: requestID}, nil)
}

// ExportCache returns the KV cache of a running or finished generation.
func (c Client) ExportCache(ctx context.Context, requestID string) ([]byte, error) {
	response, err := c.send(ctx, http.MethodGet, PathCache+url.PathEscape(requestID), nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close() //nolint:errcheck // Nothing is written, so the error doesn't matter.
	cache, err := httpbody.ReadAll(response, maxResponseBytes)
	return cache, kind.Wrap(kind.BackendFailed, err)
}

// Generate starts a generation and returns once the response headers have arrived.
func (c Client) Generate(ctx context.Context, request Request) (Stream, error) {
	ctx, span := tracer.Start(ctx, "engine.generate", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request-id", request.ID), attribute.String("server-address", c.Address)))
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, http.MethodPost, PathCompletions, //nolint:bodyclose // The stream closes it.
		CompletionRequest{
			MaxTokens: request.MaxTokens, Model: request.Model, Prompt: request.Prompt, RequestID: request.ID,
			ResumeText: request.ResumeText, ResumeTokens: request.ResumeTokens, Seed: request.Seed, Stream: true,
		})
	if err != nil {
		cancel()
		span.SetStatus(codes.Error, err.Error())
		span.End()
		return nil, err
	}
	return newStream(c, request.ID, response, cancel, span), nil
}

// ImportCache uploads a KV cache to the engine under the request id.
func (c Client) ImportCache(ctx context.Context, requestID string, cache []byte) error {
	return c.call(ctx, http.MethodPut, PathCache+url.PathEscape(requestID), json.RawMessage(cache), nil)
}

// Load returns the engine's load report, which lags behind its state.
func (c Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Order sends an order and returns once the engine has accepted or refused it.
func (c Client) Order(ctx context.Context, order Order) error {
	return c.call(ctx, http.MethodPost, PathOrders, order, nil)
}

// Status returns the engine's own status.
func (c Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &status)
	return status, err
}

func (c Client) call(ctx context.Context, method, path string, body, result any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // Nothing is written, so the error doesn't matter.
	data, err := httpbody.ReadAll(response, maxResponseBytes)
	if err != nil || result == nil {
		return kind.Wrap(kind.OutcomeUnknown, err)
	}
	return kind.Wrap(kind.BackendFailed, json.Unmarshal(data, result))
}

// send sends a request and returns the response if its status is below 300. Its error
// says that the request did not run only in two cases: the request got no connection, or
// the engine's error response says so.
func (c Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, kind.Wrap(kind.BadRequest, err)
		}
		payload = bytes.NewReader(data)
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, method, "http://"+c.Address+path, payload)
	if err != nil {
		return nil, kind.Wrap(kind.BadRequest, err)
	}
	if payload != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err := c.client().Do(request)
	if err != nil {
		return nil, transportError(ctx, err, connected.Load())
	}
	if !httpstatus.IsFinal(response.StatusCode) {
		_ = response.Body.Close()
		return nil, kind.New(kind.OutcomeUnknown, "engine answered %s with status %03d, want one from 200 to 599", path, response.StatusCode)
	}
	if !httpstatus.IsSuccess(response.StatusCode) {
		defer response.Body.Close() //nolint:errcheck // Nothing is written, so the error doesn't matter.
		return nil, httperror.Read(response)
	}
	return response, nil
}

func (c Client) client() *http.Client {
	if c.HTTP == nil {
		return httpconn.DefaultClient
	}
	return c.HTTP
}

func transportError(ctx context.Context, err error, connected bool) error {
	ran := kind.RanNo
	if connected {
		ran = kind.RanUnknown
	}
	k := kind.Unavailable
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		k = kind.Cancelled
	case errors.Is(err, context.DeadlineExceeded):
		k = kind.DeadlineExceeded
	case connected:
		k = kind.OutcomeUnknown
	}
	return &kind.Error{Cause: err, Kind: k, Message: err.Error(), Ran: ran}
}
