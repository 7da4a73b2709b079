package batchrun

import (
	"maps"
	"slices"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
)

// Owners assigns to each model the host that runs its batches, by rendezvous
// hashing. If one host runs all batches of a model, it can reuse its
// connections to the engines and its measurements of their event intervals.
//
// A training step of some hundred streams has thousands of events a second. The
// weaker hosts of a fleet have only a part of a core, which such a step uses
// up. So only high-capacity hosts own batches, and no host owns two models
// while another high-capacity host owns none. Hosts that reach no backend server
// own none while others do. The owner is empty if there are no hosts.
func Owners(models []string, hosts []roster.Host) map[string]string {
	highCapacity := roster.IDs(roster.HighCapacity(roster.Connected(hosts)))
	owners := make(map[string]string, len(models))
	unassigned := slices.Clone(highCapacity)
	for _, model := range slices.Sorted(slices.Values(models)) {
		if len(unassigned) == 0 {
			unassigned = slices.Clone(highCapacity)
		}
		owner := rendezvous.Owner("model/"+model, unassigned)
		owners[model] = owner
		unassigned = slices.DeleteFunc(unassigned, func(id string) bool { return id == owner })
	}
	return owners
}

// assignedOwner returns the host that runs the batches of a model. It is this host if
// the assigned one can't be reached.
func (s *Service) assignedOwner(model string) roster.Host {
	hosts := s.Roster.Hosts()
	assigned := Owners(modelsOf(s.Runner.Config(), model), hosts)[model]
	for _, h := range hosts {
		if h.ID == assigned && (h.PeerAddress != "" && s.Link != nil || h.ID == s.Runner.Self.Host) {
			return h
		}
	}
	return s.Roster.Self
}

// modelsOf returns the models of all configured services, and model itself even if no
// service has it.
func modelsOf(c *config.Config, model string) []string {
	models := map[string]struct{}{model: {}}
	if c != nil {
		for _, service := range c.Services {
			for _, m := range service.Models {
				models[m] = struct{}{}
			}
		}
	}
	return slices.Collect(maps.Keys(models))
}
