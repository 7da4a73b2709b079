package batchrun

import (
	"maps"
	"slices"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
)

// Owners returns the host that runs the batches of each model. One host for each
// model keeps the connections to the engines and what is known of their pace.
//
// The load that it answers: a step of some hundred streams makes thousands of events a
// second, which fill the share of a core that the weaker hosts of a fleet have. So only
// strong hosts own batches, and no host owns two models while others own none.
func Owners(models []string, hosts []roster.Host) map[string]string {
	strong := roster.IDs(roster.HighCapacity(hosts))
	owners := make(map[string]string, len(models))
	free := slices.Clone(strong)
	for _, model := range slices.Sorted(slices.Values(models)) {
		if len(free) == 0 {
			free = slices.Clone(strong)
		}
		owner := rendezvous.Owner("model/"+model, free)
		owners[model] = owner
		free = slices.DeleteFunc(free, func(id string) bool { return id == owner })
	}
	return owners
}

// ownerOf returns the host that runs the batches of a model.
func (s *Service) ownerOf(model string) roster.Host {
	hosts := s.Roster.Hosts()
	first := Owners(modelsOf(s.Runner.Config(), model), hosts)[model]
	for _, h := range hosts {
		if h.ID == first && (h.Peer != "" && s.Link != nil || h.ID == s.Runner.Self.Host) {
			return h
		}
	}
	return s.Roster.Self
}

// modelsOf returns the models of all services, and model if none has it.
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
