package spread

import (
	"cmp"
	"math"
	"slices"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/spread/spreadpb"
)

// maxTreeDepth is the maximum number of nodes on the path from the root of a tree. A
// node at a greater depth forwards nothing.
const maxTreeDepth = 16

// Readers returns the ids of the count nodes of zone that watch the store, ordered
// by rank.
func Readers(nodes []member.Node, zone string, count int) []string {
	var ids []string
	for _, node := range nodes {
		if node.AvailabilityZone == zone {
			ids = append(ids, node.ID)
		}
	}
	ranked := rendezvous.Rank("document-reader/"+zone, ids)
	return ranked[:min(count, len(ranked))]
}

// subtree is a branch together with the nodes that can be its root, in order of
// preference.
type subtree struct {
	branch *spreadpb.Branch
	roots  []member.Node
}

// zoneBranch returns the branch that covers the whole zone.
func zoneBranch(zone, seed string) *spreadpb.Branch {
	return &spreadpb.Branch{AvailabilityZone: zone, High: math.MaxUint64, Seed: seed}
}

// splitBranch divides branch into at most fanout subtrees below self. The branches
// are ranges of weights instead of lists of ids, so that nodes known only to nodes
// further down the tree are reached as well. The tree depends only on the seed and
// the nodes, so all pushes use the same few connections.
func splitBranch(branch *spreadpb.Branch, self string, nodes []member.Node, fanout int) []subtree {
	type weightedNode struct {
		node   member.Node
		weight uint64
	}
	path := append(slices.Clone(branch.GetPath()), self)
	if len(path) > maxTreeDepth {
		return nil
	}
	var inRange []weightedNode
	for _, node := range nodes {
		weight := rendezvous.Weight(branch.GetSeed(), node.ID)
		if node.AvailabilityZone == branch.GetAvailabilityZone() && !slices.Contains(path, node.ID) &&
			weight >= branch.GetLow() && weight <= branch.GetHigh() {
			inRange = append(inRange, weightedNode{node: node, weight: weight})
		}
	}
	slices.SortFunc(inRange, func(a, b weightedNode) int { return cmp.Compare(a.weight, b.weight) })
	count := min(fanout, len(inRange))
	result := make([]subtree, 0, count)
	low := branch.GetLow()
	for i := range count {
		group := inRange[i*len(inRange)/count : (i+1)*len(inRange)/count]
		high := branch.GetHigh()
		if i+1 < count {
			high = inRange[(i+1)*len(inRange)/count].weight - 1
		}
		sub := subtree{branch: &spreadpb.Branch{
			AvailabilityZone: branch.GetAvailabilityZone(), High: high, Low: low, Path: path, Seed: branch.GetSeed(),
		}}
		for _, w := range group {
			sub.roots = append(sub.roots, w.node)
		}
		result = append(result, sub)
		low = high + 1
	}
	return result
}

// selectPartners returns the peers with which self compares digests, some of its own
// zone and some of other zones. Rendezvous hashing keeps the selection stable when
// members come and go.
func selectPartners(self member.Node, nodes []member.Node, sameZoneCount, otherZonesCount int) []member.Node {
	byID := make(map[string]member.Node, len(nodes))
	var sameZone, otherZones []string
	for _, node := range nodes {
		byID[node.ID] = node
		switch {
		case node.ID == self.ID:
		case node.AvailabilityZone == self.AvailabilityZone:
			sameZone = append(sameZone, node.ID)
		default:
			otherZones = append(otherZones, node.ID)
		}
	}
	key := "partner/" + self.ID
	sameZone, otherZones = rendezvous.Rank(key, sameZone), rendezvous.Rank(key, otherZones)
	var chosen []member.Node
	for _, id := range append(sameZone[:min(sameZoneCount, len(sameZone))], otherZones[:min(otherZonesCount, len(otherZones))]...) {
		chosen = append(chosen, byID[id])
	}
	return chosen
}

// Depths returns the number of hops from root to each node in the tree of root's
// zone. It assumes that all nodes know the same members.
func Depths(nodes []member.Node, root member.Node, fanout int) map[string]int {
	depths := make(map[string]int)
	var descend func(branch *spreadpb.Branch, id string, depth int)
	descend = func(branch *spreadpb.Branch, id string, depth int) {
		depths[id] = depth
		for _, sub := range splitBranch(branch, id, nodes, fanout) {
			descend(sub.branch, sub.roots[0].ID, depth+1)
		}
	}
	descend(zoneBranch(root.AvailabilityZone, root.ID), root.ID, 0)
	return depths
}
