package deployment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/entry/adminapi"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
)

// readyTimeout bounds the wait for a deployment to be ready.
const readyTimeout = 20 * time.Second

// Admin returns a client of a node's administration API.
func (d *Deployment) Admin(n *Node) adminapi.Client {
	return adminapi.Client{BaseURL: "http://" + n.AdminAddress, HTTP: http.DefaultClient, Token: d.Token}
}

// Apply sets the service's document to text through the first node.
func (d *Deployment) Apply(ctx context.Context, service, text string) error {
	admin := d.Admin(d.Nodes[0])
	return poll(ctx, "apply the document of "+service, func() bool {
		current, err := admin.Get(ctx, service, 0)
		if err != nil && !kind.Is(err, kind.NotFound) {
			return false
		}
		_, err = admin.Apply(ctx, document.Edit{
			Author:       "deployment",
			BaseRevision: current.Revision,
			ChangeID:     uuid.NewString(),
			Service:      service,
			Text:         text,
		})
		return err == nil
	})
}

// waitReady waits until each node is ready.
func (d *Deployment) waitReady(ctx context.Context) error {
	for _, node := range d.Nodes {
		err := poll(ctx, "start node "+node.ID, func() bool { return d.ready(ctx, node) })
		if err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether the node sees all nodes alive and lists all backend servers. It
// lists the servers of a service only once the service's document is in force.
func (d *Deployment) ready(ctx context.Context, node *Node) bool {
	status, err := d.Admin(node).Status(ctx, "")
	if err != nil {
		return false
	}
	alive := 0
	for _, m := range status.Members {
		if m.State == string(member.StateAlive) {
			alive++
		}
	}
	if alive < len(d.Nodes) {
		return false
	}
	servers := 0
	for _, service := range status.Services {
		servers += len(service.Servers)
	}
	return servers == len(d.Engines)+len(d.Plains)
}

// poll calls done every readyPollInterval until it returns true. If ctx ends or
// readyTimeout passes first, it returns an error that names the operation.
func poll(ctx context.Context, operation string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", operation, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
