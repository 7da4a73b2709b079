// Package overlay compares a small-world overlay like Oscar with the topology of the
// entry hosts: full membership and one tree for each availability zone.
package overlay

import (
	"fmt"
	"math/bits"
	"math/rand/v2"

	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/spread"
	"github.com/nutmegway/nutmegway/internal/lab/report"
)

const (
	lookups = 20_000
	zones   = 5
)

// Measure builds one overlay and one tree for each zone. The fields are set before Run.
type Measure struct {
	// Links is the number of long-range links of a node.
	Links int
	Nodes int
	Seed  uint64
}

// ring is an overlay whose nodes know the exact borders of their partitions, which
// is the best case of Oscar's sampling. links[i] holds the clockwise distances from
// node i to its neighbours.
type ring struct{ links [][]int }

// newRing links each node to its successor and, for each long-range link, to a random
// node of a random partition. The first partition holds the farther half of the
// nodes, and each further one the farther half of the remaining nodes.
func newRing(nodes, links int, random *rand.Rand) ring {
	r := ring{links: make([][]int, nodes)}
	partitions := bits.Len(uint(nodes)) - 1
	for i := range nodes {
		r.links[i] = []int{1}
		for range links {
			partition := random.IntN(partitions)
			high := max(2, nodes>>partition)
			low := max(1, nodes>>(partition+1))
			r.links[i] = append(r.links[i], low+random.IntN(high-low))
		}
	}
	return r
}

// countHops returns the number of hops of a greedy look-up that never overshoots its
// target.
func (r ring) countHops(from, to int) int {
	nodes := len(r.links)
	hops := 0
	for from != to {
		remaining := (to - from + nodes) % nodes
		step := 1
		for _, distance := range r.links[from] {
			if distance <= remaining {
				step = max(step, distance)
			}
		}
		from = (from + step) % nodes
		hops++
	}
	return hops
}

// flood broadcasts from a node to all others: each node forwards the first copy that it
// receives. It returns the largest number of hops to a node and the number of messages.
func (r ring) flood(from int) (hops, messages int) {
	nodes := len(r.links)
	depth := make([]int, nodes)
	reached := make([]bool, nodes)
	reached[from] = true
	for queue := []int{from}; len(queue) > 0; queue = queue[1:] {
		at := queue[0]
		for _, distance := range r.links[at] {
			messages++
			next := (at + distance) % nodes
			if !reached[next] {
				reached[next], depth[next] = true, depth[at]+1
				hops = max(hops, depth[next])
				queue = append(queue, next)
			}
		}
	}
	return hops, messages
}

// Run builds the overlay and the trees and reports hops and messages of each.
func (m Measure) Run() *report.Report {
	random := rand.New(rand.NewPCG(m.Seed, 1))
	overlay := newRing(m.Nodes, m.Links, random)
	total, longest := 0, 0
	for range lookups {
		hops := overlay.countHops(random.IntN(m.Nodes), random.IntN(m.Nodes))
		total += hops
		longest = max(longest, hops)
	}
	floodHops, messages := overlay.flood(0)
	sum, deepest := m.treeDepths()
	r := &report.Report{Name: "overlay"}
	r.AddRow(
		report.Value{Key: "nodes", Value: m.Nodes}, report.Value{Key: "long-range-links", Value: m.Links},
		report.Value{Key: "look-ups", Value: lookups},
	)
	r.Add("overlay-lookup-mean-hops", float64(total)/lookups)
	r.Add("overlay-lookup-max-hops", longest)
	r.Add("overlay-flood-hops", floodHops)
	r.Add("overlay-flood-messages", messages)
	r.Add("tree-mean-hops", float64(sum)/float64(m.Nodes))
	r.Add("tree-max-hops", deepest)
	r.Add("tree-messages", m.Nodes-zones)
	return r
}

// treeDepths returns the sum and the maximum of the depths of all zones' trees.
func (m Measure) treeDepths() (sum, deepest int) {
	var nodes []member.Node
	for i := range m.Nodes {
		nodes = append(nodes, member.Node{AvailabilityZone: fmt.Sprintf("zone-%d", i%zones), ID: fmt.Sprintf("node-%04d", i)})
	}
	for _, root := range nodes[:min(zones, len(nodes))] {
		for _, depth := range spread.Depths(nodes, root, spread.DefaultConfig().Fanout) {
			sum += depth
			deepest = max(deepest, depth)
		}
	}
	return sum, deepest
}
