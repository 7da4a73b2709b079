package host

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/reach"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/forwardlink"
)

// releaseInterval is the time between two releases of batches while the host reaches no
// backend server. Hosts that don't know this yet may still hand batches over to it.
const releaseInterval = 300 * time.Millisecond

// newReachMonitor returns the monitor of this host's links to the backend servers.
func (h *Host) newReachMonitor() *reach.Monitor {
	dial := h.Plain.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &reach.Monitor{
		Dial: dial, Logger: h.Logger,
		OnChange: func(isolated bool) { h.roster.SetIsolated(isolated) },
		Targets: func() []reach.Target {
			var targets []reach.Target
			for _, server := range h.inventory.All() {
				if !server.Draining {
					targets = append(targets, reach.Target{Address: server.Address, Service: server.Service})
				}
			}
			return targets
		},
	}
}

// setUpForwarding lets this host hand requests on to other hosts and take theirs.
func (h *Host) setUpForwarding() {
	h.links = &peer.Links{Options: peer.LocalDialOptions()}
	h.forwardClient = &forwardlink.Client{
		ConfigVersion: h.configVersion, Hosts: h.connectedPeers, Links: h.links, Logger: h.Logger,
	}
	h.Forwarder.Relay = h.forwardClient
	h.forwardServer = &forwardlink.Server{Host: h, Logger: h.Logger}
}

// connectedPeers returns the other active hosts that reach backend servers.
func (h *Host) connectedPeers() []roster.Host {
	return slices.DeleteFunc(h.roster.Active(), func(other roster.Host) bool {
		return other.ID == h.Settings.ID || other.Isolated || other.PeerAddress == ""
	})
}

// configVersion returns the version of the configuration in force, or zero if there is none.
func (h *Host) configVersion() int64 {
	if c := h.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// AcceptForwarded implements forwardlink.Host. Another host's request must not be handled as
// only an older configuration than that host's allows.
func (h *Host) AcceptForwarded(configVersion int64) error {
	switch {
	case !h.Ready():
		return kind.New(kind.Leaving, "the host is starting or leaving")
	case h.reach.Isolated():
		return kind.New(kind.Unavailable, "the host reaches no backend server either")
	case h.configVersion() < configVersion:
		return kind.New(kind.Unavailable, "the host has configuration %d, want %d", h.configVersion(), configVersion)
	}
	return nil
}

// ReachesServers implements forwardlink.Host.
func (h *Host) ReachesServers(ctx context.Context) bool {
	if h.reach.Isolated() {
		return false
	}
	reaches := h.reach.ReachesAny(ctx, "")
	if !reaches {
		h.reach.Suspect("", reach.ReasonConnect)
	}
	return reaches
}

// ServeForwarded implements forwardlink.Host.
func (h *Host) ServeForwarded(ctx context.Context, w http.ResponseWriter, request forward.Request) error {
	c, err := h.ConfigInForce()
	if err != nil {
		return err
	}
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return kind.Wrap(kind.BadRequest, err)
	}
	route, ok := c.Match(request.Host, target.Path)
	if !ok || route.Repeat == config.RepeatBatch {
		return kind.New(kind.NotFound, "no route of single requests for host %q and path %q", request.Host, target.Path)
	}
	if request.Grant, err = h.adoptGrant(c, route, request); err != nil {
		return err
	}
	if request.Grant != nil {
		route.Priority = c.PriorityOf(route, request.Grant.Account)
	}
	return h.Forwarder.Serve(ctx, w, request, route)
}

// releaseWhileIsolated releases the batches of this host while it reaches no backend server, each
// if the host that takes it over confirms that it does.
func (h *Host) releaseWhileIsolated(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := h.reach.Changed()
		var again <-chan time.Time
		if h.reach.Isolated() {
			if h.forwardClient != nil && len(h.connectedPeers()) > 0 {
				h.Batches.ReleaseTo(ctx, h.forwardClient.ReachesServers)
			}
			again = time.After(releaseInterval)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-again:
		}
	}
	return nil
}
