package plainproxy

import (
	"net/http"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// AttemptState is the result of an attempt and the conditions for another one.
type AttemptState struct {
	// Attempts is the number of attempts so far.
	Attempts int
	// BodyReplayable is true if the request's body can be sent again.
	BodyReplayable bool
	Deadline       time.Time
	// Kind is the kind of the attempt's error. It is empty if a server responded.
	Kind kind.Kind
	Now  time.Time
	// Ran says whether the request has run, according to the attempt's error.
	Ran    kind.Ran
	Repeat document.RepeatPolicy
	// ServersLeft is true if a server is left that hasn't been tried.
	ServersLeft bool
	// Status is the HTTP status of the server's response.
	Status int
}

// Step is what follows an attempt.
type Step string

// The steps.
const (
	// StepAnswer forwards the server's response to the caller.
	StepAnswer Step = "answer"
	// StepRefuse responds with the attempt's error.
	StepRefuse Step = "refuse"
	// StepRetry tries another server without using the retry budget, because the
	// request hasn't run and so has put no load on the backend servers.
	StepRetry Step = "retry"
	// StepRetryBudgeted tries another server if the retry budget allows it.
	StepRetryBudgeted Step = "retry-paid"
)

// Decide returns what follows an attempt. A request that must not be repeated is sent to
// another server only if it certainly hasn't run.
func Decide(s AttemptState) Step {
	retryable := s.Attempts < maxAttempts && s.BodyReplayable && s.ServersLeft && s.Now.Before(s.Deadline)
	switch {
	case s.Kind == "" && retryable && s.Repeat == document.RepeatAlways && serverUnavailable(s.Status):
		return StepRetryBudgeted
	case s.Kind == "":
		return StepAnswer
	case !retryable || endsRequest(s.Kind):
		return StepRefuse
	case s.Ran == kind.RanNo:
		return StepRetry
	case s.Repeat == document.RepeatAlways:
		return StepRetryBudgeted
	default:
		return StepRefuse
	}
}

// endsRequest reports whether an error of the kind ends the request and not only the
// attempt.
func endsRequest(k kind.Kind) bool {
	switch k {
	case kind.Cancelled, kind.DeadlineExceeded, kind.DeadlineUnmet:
		return true
	default:
		return false
	}
}

// serverUnavailable reports whether a status says that the server can't serve requests
// at present.
func serverUnavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// callerError returns the error for the caller. If the request may be repeated, it has a
// retry-after time, whether or not the request has run.
func callerError(err error, repeat document.RepeatPolicy) error {
	e := kind.Of(err)
	if repeat == document.RepeatAlways && e.RetryAfter == 0 {
		return e.WithRetryAfter(defaultRetryAfter)
	}
	return e
}
