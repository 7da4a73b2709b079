package host

import (
	"net"

	"github.com/nutmegway/nutmegway/internal/backend/reach"
)

// newReachMonitor returns the monitor of this host's links to the backend servers.
func (h *Host) newReachMonitor() *reach.Monitor {
	dial := h.Plain.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &reach.Monitor{
		Dial: dial, Logger: h.Logger,
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
