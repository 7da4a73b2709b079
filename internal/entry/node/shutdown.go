package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// inFlight counts the callers' requests that are being served.
type inFlight struct{ count atomic.Int64 }

// countRequests returns a handler that counts the requests while next serves them.
func (f *inFlight) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.count.Add(1)
		defer f.count.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (f *inFlight) requests() int { return int(f.count.Load()) }

// shutdown waits for Drain and withdraws the node. It waits until the addresses that
// callers keep have expired and then, for up to the grace period, for the requests in
// flight. Finally it closes the servers. If ctx ends, as after a second signal, it closes
// them at once.
func (n *Node) shutdown(ctx context.Context, s listenerServers) error {
	n.lifecycle.Serve()
	select {
	case <-ctx.Done():
		return n.closeServers(ctx, s)
	case <-n.drain:
	}
	n.agent.Leave()
	remaining := n.lifecycle.Withdraw(time.Now(), longestAddressKeep(n.parts.documents, n.Settings.Shutdown.Grace), n.Settings.Shutdown.Grace)
	n.Logger.InfoContext(ctx, "draining", slog.Duration("keep", remaining))
	wait(ctx, remaining)
	if ctx.Err() != nil {
		return n.closeServers(ctx, s)
	}
	n.lifecycle.Advance(time.Now(), max(1, n.inFlight.requests()))
	graceCtx, cancel := context.WithTimeout(ctx, n.Settings.Shutdown.Grace)
	defer cancel()
	if err := s.caller.Shutdown(graceCtx); err != nil {
		n.Logger.WarnContext(ctx, "requests aborted at shutdown", errorAttr(err))
		return n.closeServers(ctx, s)
	}
	if n.parts.queues != nil {
		if err := n.parts.queues.Drain(graceCtx); err != nil {
			n.Logger.WarnContext(ctx, "attempts of other entry hosts aborted at shutdown", errorAttr(err))
		}
	}
	n.lifecycle.Advance(time.Now(), 0)
	n.Logger.InfoContext(ctx, "drained")
	return n.closeServers(ctx, s)
}

// closeServers closes the servers and logs how many requests in flight it aborted.
func (n *Node) closeServers(ctx context.Context, s listenerServers) error {
	n.lifecycle.Abort(n.inFlight.requests())
	if requests := n.lifecycle.AbortedRequests(); requests > 0 {
		n.Logger.WarnContext(ctx, "node stopped with requests in flight", slog.Int("requests", requests))
	}
	_ = s.caller.Close()
	_ = s.admin.Close()
	_ = s.metrics.Close()
	s.peer.Stop()
	return nil
}

// longestAddressKeep returns the longest time that a caller may keep an address. Before
// the node has read any documents it returns unknown, because callers may already have
// its address from other nodes.
func longestAddressKeep(documents document.View, unknown time.Duration) time.Duration {
	known := documents.Documents()
	if len(known) == 0 {
		return unknown
	}
	var longest time.Duration
	for _, accepted := range known {
		longest = max(longest, accepted.Document.Addresses.KeepFor)
	}
	return longest
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
