package owner

import (
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
)

// RankOwners returns the nodes in order of preference as owner of the queue of s: those
// in its availability zone first, then those in its region, then the others.
func RankOwners(s server.Server, nodes []member.Node) []member.Node {
	const distances = 3 // Same zone, same region, elsewhere.
	var ids [distances][]string
	byID := make(map[string]member.Node, len(nodes))
	for _, node := range nodes {
		byID[node.ID] = node
		distance := distances - 1
		switch {
		case node.AvailabilityZone == s.AvailabilityZone && node.Region == s.Region:
			distance = 0
		case node.Region == s.Region:
			distance = 1
		}
		ids[distance] = append(ids[distance], node.ID)
	}
	ranked := make([]member.Node, 0, len(nodes))
	for _, group := range ids {
		for _, id := range rendezvous.Rank(s.ID, group) {
			ranked = append(ranked, byID[id])
		}
	}
	return ranked
}

// QueueOwner returns the node that owns the queue of s. It returns false if there
// are no nodes.
func QueueOwner(s server.Server, nodes []member.Node) (member.Node, bool) {
	ranked := RankOwners(s, nodes)
	if len(ranked) == 0 {
		return member.Node{}, false
	}
	return ranked[0], true
}
