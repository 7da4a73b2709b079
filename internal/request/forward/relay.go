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
	// Forward lets another host serve the request, at up to maxAttempts servers. It returns the
	// answer and the id of the server that it comes from. The error has a kind. It says RanNo
	// if no other host took the request.
	Forward(ctx context.Context, request Request, deadline time.Time, maxAttempts int) (response *http.Response, server string, err error)
}

// ServerRecorder is a response writer that records which server an answer comes from.
type ServerRecorder interface {
	// RecordServer is called before the head of the answer is written.
	RecordServer(id string)
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

// mayRelayUnreached reports whether the request may be handed on although this host isn't known
// to be isolated: only some of its links may be lost. If the servers are at fault, one other
// host is enough to find that out. A server with a request limit is reached.
func (x *exchange) mayRelayUnreached() bool {
	a := &x.attempts
	return a.unreached && a.pending == 0 && a.relays == 0 && a.nextPermit == 0 && x.mayRelay()
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

// relay hands the request on and reads the answer's body up to the buffer size.
func (x *exchange) relay(ctx context.Context, maxAttempts int) answer {
	started := time.Now()
	request := x.request
	request.Leaving = make(map[string]int64)
	for _, server := range x.Inventory.Leaving(x.service) {
		request.Leaving[server.ID] = server.Started
	}
	response, id, err := x.Relay.Forward(ctx, request, x.deadline, maxAttempts)
	if err != nil {
		return answer{err: err, ran: kind.Of(err).Ran, relayed: true}
	}
	if err := x.checkSigned(response); err != nil {
		_ = response.Body.Close()
		return answer{err: err, ran: kind.RanUnknown, relayed: true}
	}
	// This host passes on what the server says of itself, and is bound by it.
	if server, known := x.Inventory.Get(id); known {
		x.Client.Observe(server.Address, id, response, started)
	}
	a := answer{relayed: true, response: response, ran: kind.RanYes}
	a.head, a.hasMore, err = x.readHead(response)
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
