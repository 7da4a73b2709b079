package node

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/entry/callerapi"
	"github.com/nutmegway/nutmegway/internal/fleet/address"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
)

// addresses assigns callers the nodes that they connect to.
type addresses struct {
	assigner  *address.Assigner
	documents document.View
	members   member.View
}

var _ callerapi.AddressAssigner = addresses{}

// Addresses implements callerapi.AddressAssigner.
func (a addresses) Addresses(service, caller, zone string) (callerapi.AddressList, error) {
	accepted, ok := a.documents.Document(service)
	if !ok {
		return callerapi.AddressList{}, kind.New(kind.NotFound, "no service %q", service)
	}
	rules := accepted.Document.Addresses
	list := callerapi.AddressList{KeepSeconds: rules.KeepFor.Seconds(), Service: service}
	key := service + "\x00" + caller
	for _, node := range a.assigner.Assign(time.Now(), key, zone, a.members.Nodes(), rules.Count, rules.KeepFor) {
		list.Addresses = append(list.Addresses, callerapi.Address{Address: node.CallerAddress, AvailabilityZone: node.AvailabilityZone})
	}
	return list, nil
}

func (n *Node) addAddresses(context.Context, *peer.Pool, *grpc.Server) error {
	n.parts.addresses = addresses{assigner: &address.Assigner{}, documents: n.parts.documents, members: n.parts.members}
	return nil
}
