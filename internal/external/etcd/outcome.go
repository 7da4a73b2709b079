package etcd

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// traceKey is the context key of a callTrace.
type traceKey struct{}

// callTrace records whether a call's message was handed to a connection.
type callTrace struct {
	sent atomic.Bool
}

func withTrace(ctx context.Context) (context.Context, *callTrace) {
	trace := &callTrace{}
	return context.WithValue(ctx, traceKey{}, trace), trace
}

// sentHandler marks the trace of a call when its message is sent. A message
// that was never handed to a connection cannot have had an effect.
type sentHandler struct{}

var _ stats.Handler = sentHandler{}

// HandleConn does nothing.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC marks the call as sent with its first message.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutPayload); !ok {
		return
	}
	if trace, ok := ctx.Value(traceKey{}).(*callTrace); ok {
		trace.sent.Store(true)
	}
}

// TagConn returns ctx as it is.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// TagRPC returns ctx as it is.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// classify wraps the error of a call in a kind that tells whether the call may have
// had an effect. A read, a write that was never sent and a write that the service
// refused had none: store-unavailable. Any other write may have had one:
// store-write-unknown. A gRPC status NotFound becomes kind not-found.
func classify(err error, write, sent bool) error {
	if errors.Is(err, io.EOF) {
		err = status.Error(codes.Unavailable, "the service ended the stream without a reply")
	}
	code := status.Code(err)
	switch {
	case code == codes.NotFound:
		return kind.Wrap(kind.NotFound, classError.Wrap(err))
	case !write || !sent || isRefusal(code):
		return kind.Wrap(kind.StoreUnavailable, classError.Wrap(err))
	default:
		return kind.Wrap(kind.StoreWriteUnknown, classError.Wrap(err))
	}
}

// isRefusal reports whether code means that the service did not execute the call.
// The client sets no limit on the size of replies, so ResourceExhausted always
// comes from the service.
func isRefusal(code codes.Code) bool {
	switch code {
	case codes.FailedPrecondition, codes.InvalidArgument, codes.OutOfRange, codes.PermissionDenied,
		codes.ResourceExhausted, codes.Unauthenticated, codes.Unimplemented:
		return true
	default:
		return false
	}
}

// canTryNextEndpoint reports whether a call that failed with err may be sent to
// another endpoint.
func canTryNextEndpoint(err error, write bool) bool {
	if kind.Is(err, kind.NotFound) {
		return false
	}
	return !write || kind.Is(err, kind.StoreUnavailable)
}
