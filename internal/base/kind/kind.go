// Package kind defines the closed list of error kinds and the properties of each
// kind, such as its HTTP status and exit code.
package kind

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Kind names one class of failure. The text is part of the public interface.
type Kind string

// The closed list of kinds. Every error that leaves the process has one.
const (
	AnswerNotKept     Kind = "answer-not-kept"
	BackendFailed     Kind = "backend-failed"
	BadRequest        Kind = "bad-request"
	Cancelled         Kind = "cancelled"
	Conflict          Kind = "conflict"
	DeadlineExceeded  Kind = "deadline-exceeded"
	DeadlineUnmet     Kind = "deadline-unmet"
	DoubtfulContent   Kind = "doubtful-content"
	Forbidden         Kind = "forbidden"
	HeaderTooLarge    Kind = "header-too-large"
	Internal          Kind = "internal"
	InvalidDocument   Kind = "invalid-document"
	InvalidSettings   Kind = "invalid-settings"
	KeyReused         Kind = "key-reused"
	Leaving           Kind = "leaving"
	NotFound          Kind = "not-found"
	NotOwner          Kind = "not-owner"
	OutcomeUnknown    Kind = "outcome-unknown"
	Overloaded        Kind = "overloaded"
	PositionVoid      Kind = "position-void"
	Quarantined       Kind = "quarantined"
	StaleVersion      Kind = "stale-version"
	StoreUnavailable  Kind = "store-unavailable"
	StoreWriteUnknown Kind = "store-write-unknown"
	TooLarge          Kind = "too-large"
	Unauthorized      Kind = "unauthorized"
	Unavailable       Kind = "unavailable"
)

// Ran states whether the request behind an error was run by a backend server.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Properties are the parts of a kind that callers and operators see.
type Properties struct {
	// ExitCode is the exit code of a command that fails with the kind.
	ExitCode int
	// Description is one sentence for the reference page of error kinds.
	Description string
	// Ran is the default for an error that sets no Ran of its own.
	Ran Ran
	// RetryAfter is the default delay before a retry. Zero means that the same
	// request should not be retried.
	RetryAfter time.Duration
	// Status is the HTTP status code.
	Status int
}

// StatusClientClosedRequest is the HTTP status for a request that the caller
// closed. It appears only in logs and metrics, since no caller is left to read it.
const StatusClientClosedRequest = 499

var properties = map[Kind]Properties{
	AnswerNotKept:     {ExitCode: 34, Ran: RanYes, Status: http.StatusConflict, Description: "The request ran and was answered, but its answer was too long to be kept for the idempotency key."},
	BackendFailed:     {ExitCode: 20, Ran: RanYes, RetryAfter: time.Second, Status: http.StatusBadGateway, Description: "The backend server ran the request and failed."},
	BadRequest:        {ExitCode: 2, Ran: RanNo, Status: http.StatusBadRequest, Description: "The request is malformed."},
	Cancelled:         {ExitCode: 21, Ran: RanUnknown, Status: StatusClientClosedRequest, Description: "The caller closed the request."},
	Conflict:          {ExitCode: 10, Ran: RanNo, Status: http.StatusConflict, Description: "The revision has changed since it was read."},
	DeadlineExceeded:  {ExitCode: 22, Ran: RanUnknown, RetryAfter: time.Second, Status: http.StatusGatewayTimeout, Description: "The deadline passed while the request was running."},
	DeadlineUnmet:     {ExitCode: 23, Ran: RanNo, RetryAfter: time.Second, Status: http.StatusServiceUnavailable, Description: "The request could not have finished before its deadline and was not started."},
	DoubtfulContent:   {ExitCode: 34, Ran: RanNo, RetryAfter: time.Second, Status: http.StatusServiceUnavailable, Description: "Requests with this content are suspected of crashing backend servers and wait for their turn."},
	Forbidden:         {ExitCode: 11, Ran: RanNo, Status: http.StatusForbidden, Description: "The token's team does not own the service."},
	HeaderTooLarge:    {ExitCode: 12, Ran: RanNo, Status: http.StatusRequestHeaderFieldsTooLarge, Description: "The request's header is over the limit."},
	Internal:          {ExitCode: 1, Ran: RanUnknown, RetryAfter: time.Second, Status: http.StatusInternalServerError, Description: "The entry host failed in a way that no other kind describes."},
	InvalidDocument:   {ExitCode: 13, Ran: RanNo, Status: http.StatusUnprocessableEntity, Description: "The document was refused and nothing was changed."},
	InvalidSettings:   {ExitCode: 14, Ran: RanNo, Status: http.StatusUnprocessableEntity, Description: "The settings file has mistakes."},
	KeyReused:         {ExitCode: 15, Ran: RanNo, Status: http.StatusUnprocessableEntity, Description: "The idempotency key was used before with another request."},
	Leaving:           {ExitCode: 24, Ran: RanNo, RetryAfter: time.Second, Status: http.StatusServiceUnavailable, Description: "The entry host is leaving and takes no new requests."},
	NotFound:          {ExitCode: 16, Ran: RanNo, Status: http.StatusNotFound, Description: "The service, document or group does not exist."},
	NotOwner:          {ExitCode: 25, Ran: RanNo, RetryAfter: time.Second, Status: http.StatusMisdirectedRequest, Description: "Another entry host owns the resource."},
	OutcomeUnknown:    {ExitCode: 26, Ran: RanUnknown, Status: http.StatusBadGateway, Description: "The request may or may not have run."},
	Overloaded:        {ExitCode: 27, Ran: RanNo, RetryAfter: 2 * time.Second, Status: http.StatusTooManyRequests, Description: "The queue for the service is full."},
	PositionVoid:      {ExitCode: 28, Ran: RanNo, Status: http.StatusGone, Description: "The stream position holds no sample."},
	Quarantined:       {ExitCode: 29, Ran: RanNo, Status: http.StatusUnprocessableEntity, Description: "Requests with this content crashed backend servers and are refused."},
	StaleVersion:      {ExitCode: 30, Ran: RanYes, RetryAfter: time.Second, Status: http.StatusConflict, Description: "The result is older than the staleness bound."},
	StoreUnavailable:  {ExitCode: 31, Ran: RanNo, RetryAfter: 5 * time.Second, Status: http.StatusServiceUnavailable, Description: "The key-value service cannot be reached and the request needs it."},
	StoreWriteUnknown: {ExitCode: 32, Ran: RanUnknown, RetryAfter: 5 * time.Second, Status: http.StatusServiceUnavailable, Description: "A write to the key-value service may or may not have taken effect."},
	TooLarge:          {ExitCode: 17, Ran: RanNo, Status: http.StatusRequestEntityTooLarge, Description: "The request's body is over the limit, or it needs more memory than any backend server has."},
	Unauthorized:      {ExitCode: 18, Ran: RanNo, Status: http.StatusUnauthorized, Description: "The bearer token or the API key is missing or wrong."},
	Unavailable:       {ExitCode: 33, Ran: RanNo, RetryAfter: time.Second, Status: http.StatusServiceUnavailable, Description: "No backend server can take the request now."},
}

// Properties returns the properties of k. A kind that is not listed has those of
// Internal.
func (k Kind) Properties() Properties {
	if p, ok := properties[k]; ok {
		return p
	}
	return properties[Internal]
}

// All returns every kind, sorted by name.
func All() []Kind {
	kinds := make([]Kind, 0, len(properties))
	for k := range properties {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// Error is a failure with a kind. If Ran and RetryAfter are set, they override the
// properties of the kind.
type Error struct {
	Cause      error
	Kind       Kind
	Message    string
	Ran        Ran
	RetryAfter time.Duration
}

// New returns an error of kind k without a cause. Its Ran and RetryAfter are those of the
// kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with cause in its chain, or nil when cause
// is nil.
func Wrap(k Kind, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Cause: errs.Wrap(cause), Kind: k, Message: cause.Error()}
}

// WithRan returns a copy of e that states whether the request ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy of e whose retry delay is d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the kind and the message.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns a copy of the Error in err's chain with its defaults filled in. An
// error without a kind becomes Internal; the error of an ended context becomes
// Cancelled or DeadlineExceeded.
func Of(err error) *Error {
	var e *Error
	switch {
	case errors.As(err, &e):
		c := *e
		defaults := c.Kind.Properties()
		if c.Ran == "" {
			c.Ran = defaults.Ran
		}
		if c.RetryAfter == 0 {
			c.RetryAfter = defaults.RetryAfter
		}
		return &c
	case errors.Is(err, context.DeadlineExceeded):
		return Of(New(DeadlineExceeded, "%s", err.Error()))
	case errors.Is(err, context.Canceled):
		return Of(New(Cancelled, "%s", err.Error()))
	default:
		return Of(&Error{Cause: err, Kind: Internal, Message: err.Error()})
	}
}

// Is reports whether err has kind k, as determined by Of. A nil error has no kind.
func Is(err error, k Kind) bool {
	return err != nil && Of(err).Kind == k
}
