package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/entry/adminapi"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/address"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

// stateLeaving is the status of a running member that accepts no new callers.
const stateLeaving = "leaving"

// reporter reports this node's view of the fleet to operators.
type reporter struct {
	agent     *member.Agent
	lifecycle *address.Lifecycle
	parts     *parts
}

var _ adminapi.Reporter = reporter{}

// confirmTimeout bounds how long Lagging waits for the answers of the nodes.
const confirmTimeout = 3 * time.Second

// Lagging implements adminapi.Reporter. It asks all nodes for the revision that they
// have in force. Nodes that don't answer count as lagging.
func (r reporter) Lagging(service string, revision int64) []string {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return r.parts.spreader.ConfirmAll(ctx, document.Key(service), revision).Lagging
}

// Status implements adminapi.Reporter.
func (r reporter) Status(service string) adminapi.Status {
	self := r.agent.Self()
	status := adminapi.Status{
		AvailabilityZone: self.AvailabilityZone,
		ID:               self.ID,
		Region:           self.Region,
		State:            string(r.lifecycle.State()),
	}
	status.Members = append(status.Members, memberStatus(self, string(member.StateAlive)))
	for _, record := range r.agent.Records() {
		state := string(record.State)
		if record.Leaving && record.State == member.StateAlive {
			state = stateLeaving
		}
		status.Members = append(status.Members, memberStatus(record.Node, state))
	}
	slices.SortFunc(status.Members, func(a, b adminapi.MemberStatus) int { return cmp.Compare(a.ID, b.ID) })
	for _, accepted := range r.parts.documents.Documents() {
		if service == "" || accepted.Document.Service.Name == service {
			status.Services = append(status.Services, r.serviceStatus(accepted))
		}
	}
	return status
}

func memberStatus(node member.Node, state string) adminapi.MemberStatus {
	return adminapi.MemberStatus{
		AvailabilityZone: node.AvailabilityZone,
		CallerAddress:    node.CallerAddress,
		ID:               node.ID,
		State:            state,
	}
}

func (r reporter) serviceStatus(accepted document.Accepted) adminapi.ServiceStatus {
	s := accepted.Document.Service
	status := adminapi.ServiceStatus{
		Kind:     string(s.Kind),
		Name:     s.Name,
		Revision: accepted.Revision,
		Team:     s.Team,
	}
	for _, server := range r.parts.eligible.Servers(s.Name) {
		status.Servers = append(status.Servers, adminapi.ServerStatus{
			Address:          server.Address,
			AvailabilityZone: server.AvailabilityZone,
			ID:               server.ID,
			Leaving:          server.Leaving,
		})
	}
	return status
}

func (n *Node) addAdmin(context.Context, *peer.Pool, *grpc.Server) error {
	n.parts.admin = &adminapi.Handler{
		Documents: &document.Store{KV: n.Store},
		DryRun:    &document.Store{KV: kv.DryRun{Store: n.Store}},
		Logger:    n.Logger,
		Reporter:  reporter{agent: n.agent, lifecycle: n.lifecycle, parts: &n.parts},
		Teams:     n.Settings.Teams,
	}
	return nil
}
