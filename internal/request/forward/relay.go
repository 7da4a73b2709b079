package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/reach"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/recovery"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// Relay hands requests on to other hosts.
type Relay interface {
	// Forward lets another host serve the request, at up to maxAttempts servers, and returns
	// its answer. The error has a kind. It says RanNo if no other host took the request.
	Forward(ctx context.Context, request Request, deadline time.Time, maxAttempts int) (*http.Response, error)
}

// maxRelays bounds how often one request is handed on.
const maxRelays = 2

// abortDelay is the time in which connections that are being opened end once the host is
// isolated. Their attempts have not run and may go over another host.
const abortDelay = 50 * time.Millisecond

// mayRelay reports whether the request may be handed on to another host. A request that was
// handed on to this host isn't handed on again.
func (x *exchange) mayRelay() bool {
	return x.Relay != nil && !x.request.Relayed && x.attempts.mayRelay() && x.mayContinue()
}

// relayIfIsolated starts another attempt if this host has become isolated. It returns a channel
// that receives once the attempts that can still end by themselves have ended, or nil.
func (x *exchange) relayIfIsolated(ctx context.Context) <-chan time.Time {
	if !x.isIsolated() {
		return nil
	}
	x.startAttempt(ctx)
	return time.After(abortDelay)
}

// startRelay hands the request on to another host, which counts as all attempts that are
// left.
func (x *exchange) startRelay(ctx context.Context) {
	attempts := x.attempts.recordRelayStart()
	x.group.Go(func() error {
		var a answer
		err := recovery.Call(x.Logger, "request "+x.request.ID, func() error {
			a = x.relay(ctx, attempts)
			return nil
		})
		if err != nil {
			a = answer{err: err, ran: kind.RanUnknown, relayed: true}
		}
		select {
		case x.answers <- a:
		case <-ctx.Done():
			a.close()
		}
		return nil
	})
}

// relay hands the request on and reads up to bufferBytes of the answer's body.
func (x *exchange) relay(ctx context.Context, maxAttempts int) answer {
	response, err := x.Relay.Forward(ctx, x.request, x.deadline, maxAttempts)
	if err != nil {
		return answer{err: err, ran: kind.Of(err).Ran, relayed: true}
	}
	a := answer{relayed: true, response: response, ran: kind.RanYes}
	a.head, a.hasMore, err = readHead(response)
	if err != nil {
		_ = response.Body.Close()
		return answer{err: err, ran: kind.RanUnknown, relayed: true}
	}
	return a
}

// isIsolated reports whether this host reaches no backend server.
func (f *Forwarder) isIsolated() bool { return f.Client.Reach.Isolated() }

// suspectLinks records that no server has answered the request in the usual time.
func (x *exchange) suspectLinks() {
	for _, incident := range x.unanswered {
		x.Client.Reach.Suspect(incident.Server.Address, reach.ReasonSilent)
	}
}

// withOpenConnection returns the candidates to which the request can be sent although no
// connection can be opened. A request that must not run twice needs a new connection. Once a
// server is reached again, these are all candidates.
func (x *exchange) withOpenConnection(candidates []inventory.Candidate) []inventory.Candidate {
	if x.Client.Reach.Returning() {
		return candidates
	}
	if x.attempts.route.Repeat != config.RepeatIdempotent {
		return nil
	}
	var open []inventory.Candidate
	for _, candidate := range candidates {
		if x.Client.HasIdle(candidate.Address) {
			open = append(open, candidate)
		}
	}
	return open
}
