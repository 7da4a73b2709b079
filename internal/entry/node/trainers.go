package node

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/rollout/owner"
	"github.com/nutmegway/nutmegway/internal/rollout/schedule"
	"github.com/nutmegway/nutmegway/internal/rollout/segment"
	"github.com/nutmegway/nutmegway/internal/rollout/trainerapi"
)

// addTrainers adds the service that runs the streams and groups of trainers, and the HTTP
// handler for requests of trainers.
func (n *Node) addTrainers(_ context.Context, pool *peer.Pool, registrar *grpc.Server) error {
	copies := &owner.Copies{Now: time.Now}
	if folder := n.Settings.Node.DataFolder; folder != "" {
		copies.Disk = &segment.Store{Path: folder}
	}
	service := &owner.Service{
		Claims:     n.parts.leaseClaims,
		Copies:     copies,
		Dispatcher: n.parts.dispatcher,
		Documents:  n.parts.documents,
		Logger:     n.Logger,
		Members:    n.parts.members,
		Now:        time.Now,
		Pool:       pool,
		Servers:    n.parts.servers,
		Store:      n.Store,
		Weights:    n.parts.versions,
	}
	if n.BaselinePolicy != nil {
		service.Policy = schedule.FIFO{}
	}
	service.Register(registrar)
	n.parts.components = append(n.parts.components, service)
	n.parts.trainers = (&trainerapi.Handler{Logger: n.Logger, Owner: service}).Mux()
	return nil
}
