package host

import (
	"github.com/nutmegway/nutmegway/internal/fleet/duty"
	"github.com/nutmegway/nutmegway/internal/rollout/scaling"
)

// newScaling returns the controller that orders servers.
func (h *Host) newScaling(platform duty.Platform) *scaling.Controller {
	return &scaling.Controller{
		Config: h.config.Load, Demand: h.Batches.Demand, Inventory: h.inventory, Logger: h.Logger, Orders: platform, Term: h.dutyHolder.Term,
	}
}
