package node

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/rollout/owner"
	"github.com/nutmegway/nutmegway/internal/rollout/weight"
)

// addWeights adds the registry of weight versions, the distributor that sends load orders
// to engines, and the watch of servers that are excluded after a failed swap or a restart
// with older weights.
func (n *Node) addWeights(context.Context, *peer.Pool, *grpc.Server) error {
	p := &n.parts
	p.leaseClaims = &owner.Claims{Logger: n.Logger, Now: time.Now, Self: p.members.Self(), Store: n.Store}
	p.versions = &weight.VersionRegistry{Logger: n.Logger, Model: n.modelOfService, Now: time.Now, Store: n.Store, Weights: n.Weights}
	exclusions := &weight.Exclusions{Logger: n.Logger, Store: n.Store}
	distributor := &weight.Distributor{
		AcquireLease: p.leaseClaims.ClaimForDistributor,
		Documents:    p.documents,
		Engine:       newEngineFactory(newBackendClient(n.parts.dialer)),
		Logger:       n.Logger,
		Members:      p.members,
		Now:          time.Now,
		Registry:     p.versions,
		Servers:      p.servers,
		Store:        n.Store,
	}
	p.eligible = weight.EligibleView{All: p.servers, Exclusions: exclusions}
	p.components = append(p.components, p.versions, exclusions, distributor)
	return nil
}

// modelOfService returns the model of a service. If the document names none, the model
// has the service's name.
func (n *Node) modelOfService(service string) string {
	accepted, ok := n.parts.documents.Document(service)
	if !ok || accepted.Document.Weights.Model == "" {
		return service
	}
	return accepted.Document.Weights.Model
}
