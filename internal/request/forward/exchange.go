package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/ending"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/guard"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// exchange is one request on its way.
type exchange struct {
	*Forwarder

	answers  chan answer
	attempts attempts
	content  uint64
	deadline time.Time
	group    *errgroup.Group
	request  Request
	service  string
	// unanswered holds the servers that got the request and have not answered.
	unanswered map[string]ending.Case
}

func (x *exchange) newCase(server inventory.Server, broken bool) ending.Case {
	return ending.Case{Broken: broken, Content: x.content, RequestID: x.request.ID, Server: server}
}

// inquire has the servers looked into that left the request without an answer. A caller
// who has left ended the other tries.
func (x *exchange) inquire(ctx context.Context, err error) {
	for _, c := range x.unanswered {
		if !c.Broken && kind.Is(err, kind.Cancelled) {
			continue
		}
		if !c.Broken {
			x.metrics.countTry(ctx, trySilent)
		}
		if x.Endings != nil {
			x.Endings.Ask(c)
		}
	}
}

// ended takes the end of a try over.
func (x *exchange) ended(ctx context.Context, a answer) {
	x.attempts.ended(a.ran)
	outcome := tryAnswered
	switch {
	case a.ran == kind.RanNo:
		outcome = tryNotRun
	case a.response == nil:
		outcome = tryBroken
	}
	x.metrics.countTry(ctx, outcome)
	if outcome == tryBroken {
		x.unanswered[a.server.ID] = x.newCase(a.server, true)
		return
	}
	delete(x.unanswered, a.server.ID)
}

// serve returns the answer of a server if the content may be sent to one.
func (x *exchange) serve(ctx context.Context) (answer, error) {
	if x.Contents != nil {
		admission, err := x.Contents.Admit(ctx, x.content)
		if err != nil {
			return answer{}, err
		}
		x.attempts.oneByOne = admission.OneByOne
	}
	return x.run(ctx)
}

// answered takes in that a server has answered whole.
func (x *exchange) answered() {
	if x.Contents != nil {
		x.Contents.Answered(x.content)
	}
}

// mayGoOn reports whether servers may end under the request that have not got it yet.
func (x *exchange) mayGoOn() bool {
	return x.Contents == nil || x.attempts.mayHaveRun+x.attempts.pending == 0 || !x.Contents.Refuses(x.content)
}

// run tries servers until one answers, no further try is allowed or ctx ends.
func (x *exchange) run(ctx context.Context) (answer, error) {
	var hedge <-chan time.Time
	var failed answer
	x.start(ctx)
	if delay, ok := x.attempts.hedgeDelay(); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	for x.attempts.pending > 0 {
		select {
		case <-ctx.Done():
			failed.close()
			return answer{}, x.timeUp(ctx)
		case <-hedge:
			hedge = nil
			x.start(ctx)
		case a := <-x.answers:
			x.ended(ctx, a)
			if a.response != nil && x.isFinal(a) {
				failed.close()
				return a, nil
			}
			x.logTry(ctx, a)
			if a.response != nil && a.ran != kind.RanNo {
				failed.close()
				failed = a
			} else {
				a.close()
			}
			x.start(ctx)
		}
	}
	if failed.response != nil {
		// All servers failed; the caller gets the last failure as it was given.
		return failed, nil
	}
	if ctx.Err() != nil {
		return answer{}, x.timeUp(ctx)
	}
	return answer{}, x.attempts.refusal()
}

// isFinal reports whether the caller gets this answer. A server's own failure
// is repeated elsewhere when the route allows it.
func (x *exchange) isFinal(a answer) bool {
	if a.ran == kind.RanNo {
		return false
	}
	return a.response.StatusCode < http.StatusInternalServerError || x.attempts.route.Repeat != config.RepeatIdempotent
}

// timeUp is the error of a request whose time is up or whose caller has left.
func (x *exchange) timeUp(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return kind.New(kind.Cancelled, "the caller has left")
	}
	if x.attempts.mayHaveRun+x.attempts.pending == 0 {
		return kind.New(kind.DeadlineUnmet, "the time was up before a server took the request")
	}
	return kind.New(kind.DeadlineExceeded, "the time was up while the request was at a server")
}

// start begins another try if one is allowed and a server is left.
func (x *exchange) start(ctx context.Context) {
	if !x.attempts.mayStart() || ctx.Err() != nil || !x.mayGoOn() {
		return
	}
	candidate, ok := x.attempts.choose(x.Inventory.Candidates(x.service))
	if !ok {
		return
	}
	x.attempts.started(candidate.ID)
	x.unanswered[candidate.ID] = x.newCase(candidate.Server, false)
	x.group.Go(func() error {
		var a answer
		err := guard.Call(x.Logger, "request "+x.request.ID, func() error {
			a = x.try(ctx, candidate, x.request, x.deadline, x.attempts.route.Repeat != config.RepeatIdempotent)
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

func (x *exchange) logTry(ctx context.Context, a answer) {
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
	x.Logger.LogAttrs(ctx, slog.LevelInfo, "try failed", attrs...)
}
