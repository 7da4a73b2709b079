package node

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/rollout/owner"
	"github.com/nutmegway/nutmegway/internal/rollout/weight"
)

// addWeights adds what knows and orders the weight versions of the engines.
func (n *Node) addWeights(context.Context, *peer.Pool, *grpc.Server) error {
	p := &n.parts
	p.claims = &owner.Claims{Logger: n.Logger, Now: time.Now, Self: p.members.Self(), Store: n.Store}
	p.versions = &weight.VersionRegistry{Logger: n.Logger, Model: n.modelOf, Now: time.Now, Store: n.Store, Weights: n.Weights}
	exclusions := &weight.Exclusions{Logger: n.Logger, Store: n.Store}
	orderer := &weight.Distributor{
		AcquireLease: p.claims.ClaimForOrderer,
		Documents:    p.documents,
		Engine:       newEngine(newBackendClient(n.parts.dialer)),
		Logger:       n.Logger,
		Members:      p.members,
		Now:          time.Now,
		Registry:     p.versions,
		Servers:      p.servers,
		Store:        n.Store,
	}
	p.eligible = weight.EligibleView{All: p.servers, Exclusions: exclusions}
	p.components = append(p.components, p.versions, exclusions, orderer)
	return nil
}

// modelOf returns the model of a service; a document without one names the
// model after the service.
func (n *Node) modelOf(service string) string {
	accepted, ok := n.parts.documents.Document(service)
	if !ok || accepted.Document.Weights.Model == "" {
		return service
	}
	return accepted.Document.Weights.Model
}
