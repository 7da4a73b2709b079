// Package rendezvous implements rendezvous hashing (highest random weight). Nodes that
// know the same members agree on the owner of a key, and few keys move when a member
// joins or leaves.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Rank returns ids ordered by their weight for key, highest first. It does not modify
// ids.
func Rank(key string, ids []string) []string {
	type scored struct {
		id     string
		weight uint64
	}
	scores := make([]scored, len(ids))
	for i, id := range ids {
		scores[i] = scored{id: id, weight: Weight(key, id)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	ranked := make([]string, len(ids))
	for i, s := range scores {
		ranked[i] = s.id
	}
	return ranked
}

// Owner returns the id with the highest weight for key, or "" if ids is empty.
func Owner(key string, ids []string) string {
	var owner string
	var highest uint64
	for _, id := range ids {
		weight := Weight(key, id)
		if owner == "" || weight > highest || (weight == highest && id < owner) {
			owner, highest = id, weight
		}
	}
	return owner
}

// Weight returns the weight of id for key.
func Weight(key, id string) uint64 {
	return xxh3.HashString(key + "\x00" + id)
}
