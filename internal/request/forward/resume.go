package forward

import (
	"context"
	"log/slog"
	"slices"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/origin"
)

// findOrigin finds where the stream that the request resumes began, if it resumes one. What
// servers of two software versions write doesn't fit together, so a stream whose origin isn't
// known is not resumed.
func (x *exchange) findOrigin(ctx context.Context) error {
	if x.Origins == nil || !x.attempts.route.Streaming || x.request.Header.Get(x.Dialect.ResumeAfter) == "" {
		return nil
	}
	services := x.attempts.route.Services()
	id := x.request.Header.Get(x.Dialect.ResumedAttempt)
	found, ok := x.Origins.Find(ctx, id, services)
	if !ok {
		return kind.New(kind.Unavailable, "stream %q can't be resumed: the software version that began it is not known", id)
	}
	if !slices.Contains(services, found.Service) {
		return kind.New(kind.Unavailable, "stream %q can't be resumed: its route no longer leads to service %q", id, found.Service)
	}
	x.resumed, x.service = &found, found.Service
	x.Logger.LogAttrs(ctx, slog.LevelInfo, "stream resumed", slog.String("request-id", x.request.ID), slog.String("resumes", id),
		slog.String("service", found.Service), slog.String("software", found.Software), slog.Int("candidates", len(x.candidates())))
	return nil
}

// candidates returns the servers that the request may be sent to.
func (x *exchange) candidates() []inventory.Candidate {
	candidates := x.Inventory.Candidates(x.service)
	if x.resumed == nil {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c inventory.Candidate) bool { return c.Software != x.resumed.Software })
}

// recordOrigin records where the stream began that the caller is about to get. A server that
// has started again since it was chosen may have other software by now, so that its streams
// have no known origin.
func (x *exchange) recordOrigin(final answer) {
	if x.Origins == nil || final.relayed || !x.attempts.route.Streaming || !isEventStream(final.response) || final.response.StatusCode/100 != 2 {
		return
	}
	if current, known := x.Inventory.Get(final.server.ID); known && current.Started != final.server.Started {
		return
	}
	x.Origins.Record(x.request.ID, origin.Origin{Service: x.service, Software: final.server.Software}, len(x.attempts.route.Targets))
}
