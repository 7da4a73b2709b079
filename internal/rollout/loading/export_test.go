package loading

import (
	"context"
	"slices"
)

// Prepare makes c ready for Reconcile, as one of the controller hosts.
func Prepare(c *Controller, hosts []string) {
	if chosen := controllerHosts(hosts); !slices.Contains(chosen, c.Self) {
		c.Self = chosen[0]
	}
	c.engines = make(map[string]*engineState)
	c.ownership.self = c.Self
	c.SetHosts(hosts)
}

// Reconcile runs one reconciliation.
func Reconcile(ctx context.Context, c *Controller) { c.reconcile(ctx) }
