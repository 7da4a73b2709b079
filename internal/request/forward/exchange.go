package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/recovery"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/origin"
)

// exchange is the state of one request that is being forwarded.
type exchange struct {
	*Forwarder

	answers  chan answer
	attempts attempts
	content  uint64
	deadline time.Time
	// refused is set once the request must not be sent to a server any more.
	refused error
	group   *errgroup.Group
	request Request
	// resumed is where the stream that the request resumes began; nil if it resumes none.
	resumed *origin.Origin
	service string
	// unanswered holds an incident for each server that was sent the request and has
	// not answered, by server id.
	unanswered map[string]crashdetect.Incident
}

func (x *exchange) newIncident(server inventory.Server, broken bool) crashdetect.Incident {
	return crashdetect.Incident{Broken: broken, Content: x.content, RequestID: x.request.ID, Server: server}
}

// investigateUnanswered opens an incident for each server that left the request without
// an answer. If the caller has disconnected, only servers whose connection broke count:
// the disconnection cancelled the attempts at the others.
func (x *exchange) investigateUnanswered(ctx context.Context, err error) {
	for _, incident := range x.unanswered {
		if !incident.Broken && kind.Is(err, kind.Cancelled) {
			continue
		}
		if !incident.Broken {
			x.metrics.countAttempt(ctx, attemptSilent)
		}
		if x.CrashDetector != nil {
			x.CrashDetector.Submit(incident)
		}
	}
}

// recordEnd records the outcome of an attempt.
func (x *exchange) recordEnd(ctx context.Context, a answer) {
	if a.relayed {
		x.attempts.recordRelayEnd(a.ran)
		x.metrics.countAttempt(ctx, attemptRelayed)
		return
	}
	if a.refused() && x.attempts.notRun == 0 {
		// A request that several servers refuse may be at fault itself.
		x.Inventory.BackOffRequests(a.server.ID, minRetryAfter)
	}
	x.attempts.recordEnd(a.ran)
	if a.response == nil && a.ran == kind.RanNo && !errors.Is(a.err, plain.ErrNotAdmitted) {
		x.attempts.unreached = true
	}
	if errors.Is(a.err, plain.ErrNotAdmitted) {
		x.attempts.recordNoPermit(kind.Of(a.err).RetryAfter)
	}
	outcome := attemptAnswered
	switch {
	case a.ran == kind.RanNo:
		outcome = attemptNotRun
	case a.response == nil:
		outcome = attemptBroken
	}
	x.metrics.countAttempt(ctx, outcome)
	if outcome == attemptBroken {
		x.unanswered[a.server.ID] = x.newIncident(a.server, true)
		return
	}
	delete(x.unanswered, a.server.ID)
}

// serve returns the answer of a server. It returns an error if the request resumes a stream
// that can't be resumed, if the quarantine does not admit the content, or if no server
// answers.
func (x *exchange) serve(ctx context.Context) (answer, error) {
	if err := x.checkSize(); err != nil {
		return answer{}, err
	}
	if err := x.findOrigin(ctx); err != nil {
		return answer{}, err
	}
	if x.Quarantine != nil {
		admission, err := x.Quarantine.Admit(ctx, x.content)
		if err != nil {
			return answer{}, err
		}
		x.attempts.sequential = admission.Sequential
	}
	return x.run(ctx)
}

// reportAnswered reports to the quarantine that a server has answered completely.
func (x *exchange) reportAnswered() {
	if x.Quarantine != nil {
		x.Quarantine.RecordResponse(x.content)
	}
}

// mayContinue reports whether the request may be sent to another server. It returns false
// if the content is quarantined and a server may have run the request or still has it,
// because the content could crash another server too.
func (x *exchange) mayContinue() bool {
	return x.Quarantine == nil || x.attempts.mayHaveRun+x.attempts.pending == 0 || !x.Quarantine.Refuses(x.content)
}

// run makes attempts until a server answers, no further attempt is allowed or ctx ends.
func (x *exchange) run(ctx context.Context) (answer, error) {
	var giveUp, hedge <-chan time.Time
	var failed answer
	isolationChanged := x.Client.Reach.Changed()
	stopped := x.stopped()
	x.startAttempt(ctx)
	if delay, ok := x.attempts.hedgeDelay(); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	for x.attempts.pending > 0 {
		select {
		case <-ctx.Done():
			failed.close()
			return answer{}, x.contextError(ctx)
		case <-stopped:
			failed.close()
			return answer{}, x.stopError()
		case <-hedge:
			hedge = nil
			x.suspectLinks()
			x.startAttempt(ctx)
		case <-isolationChanged:
			isolationChanged = x.Client.Reach.Changed()
			giveUp = x.relayIfIsolated(ctx)
		case <-giveUp:
			if x.attempts.isStranded() {
				failed.close()
				return answer{}, x.attempts.failure()
			}
		case a := <-x.answers:
			x.recordEnd(ctx, a)
			if a.response != nil && x.isFinal(a) {
				failed.close()
				return a, nil
			}
			x.logFailedAttempt(ctx, a)
			failed = latestFailure(failed, a)
			x.startAttempt(ctx)
		}
	}
	if failed.response != nil {
		// All servers failed. The caller gets the last server's failure unchanged.
		return failed, nil
	}
	if ctx.Err() != nil {
		return answer{}, x.contextError(ctx)
	}
	return answer{}, x.failure()
}

// failure returns the error of a request that no server has answered and that can't be sent to
// another one.
func (x *exchange) failure() error {
	if x.refused != nil && x.attempts.mayHaveRun == 0 {
		return x.refused
	}
	return x.attempts.failure()
}

// latestFailure returns the later of two failures that a caller may get, and closes the other.
func latestFailure(before, a answer) answer {
	if a.response == nil || a.ran == kind.RanNo {
		a.close()
		return before
	}
	before.close()
	return a
}

// stopped returns a channel that is closed when this host stops serving requests.
func (x *exchange) stopped() <-chan struct{} {
	if x.Stop == nil {
		return nil
	}
	return x.Stop.Reached()
}

// isFinal reports whether the caller gets this answer. After a server error (status 500
// or above) the request is retried at another server if the route allows it.
func (x *exchange) isFinal(a answer) bool {
	if a.ran == kind.RanNo {
		return false
	}
	return a.response.StatusCode < http.StatusInternalServerError || x.attempts.route.Repeat != config.RepeatIdempotent
}

// contextError returns the error of a request whose deadline has passed or whose caller has
// disconnected.
func (x *exchange) contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return kind.New(kind.Cancelled, "the caller closed the connection before it got an answer")
	}
	if x.attempts.mayHaveRun+x.attempts.pending == 0 {
		return kind.New(kind.DeadlineUnmet, "the deadline passed before a backend server accepted the request")
	}
	return kind.New(kind.DeadlineExceeded, "the deadline passed while the request was at a backend server")
}

// stopError returns the error of a request that has no answer when this host stops.
func (x *exchange) stopError() error {
	if x.attempts.mayHaveRun+x.attempts.pending == 0 {
		return kind.New(kind.Leaving, "the host stops")
	}
	return kind.New(kind.OutcomeUnknown, "the host stops while the request is at a backend server")
}

// startAttempt starts another attempt if one is allowed: at a server that has not been tried,
// or over another host if this one reaches none.
func (x *exchange) startAttempt(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if x.refused = x.request.Grant.Check(); x.refused != nil {
		return
	}
	isolated := x.isIsolated()
	if isolated && x.mayRelay() {
		x.startRelay(ctx)
		return
	}
	candidates := x.candidates()
	if isolated {
		candidates = x.withOpenConnection(candidates)
	}
	candidate, spill, ok := x.attempts.chooseServer(candidates)
	if !ok || !x.attempts.mayStart() || !x.mayContinue() {
		if x.mayRelayUnreached() {
			x.startRelay(ctx)
		}
		return
	}
	x.recordSpillover(ctx, x.service, spill, candidate.Zone)
	x.attempts.recordStart(candidate.ID)
	x.unanswered[candidate.ID] = x.newIncident(candidate.Server, false)
	x.group.Go(func() error {
		var a answer
		err := recovery.Call(x.Logger, "request "+x.request.ID, func() error {
			a = x.sendRecorded(ctx, candidate)
			return nil
		})
		if err != nil {
			a = answer{server: candidate.Server, err: err, ran: kind.RanUnknown}
		}
		select {
		case x.answers <- a:
		case <-ctx.Done():
			a.close()
		}
		return nil
	})
}

func (x *exchange) logFailedAttempt(ctx context.Context, a answer) {
	attrs := []slog.Attr{
		slog.String("request-id", x.request.ID), slog.Uint64("content", x.content), slog.String("server", a.server.ID),
		slog.String("ran", string(a.ran)),
	}
	if a.response != nil {
		attrs = append(attrs, slog.Int("status", a.response.StatusCode))
	}
	if a.err != nil {
		attrs = append(attrs, slog.Any("error", a.err))
	}
	x.Logger.LogAttrs(ctx, slog.LevelInfo, "request attempt failed", attrs...)
}
