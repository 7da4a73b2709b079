package spread_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/spread"
)

func ExampleReplica() {
	var replica spread.Replica
	replica.Apply(spread.Entry{Key: "a", Revision: 7})
	applied := replica.Apply(spread.Entry{Key: "a", Revision: 5}, spread.Entry{Key: "b", Revision: 6})
	fmt.Println(len(applied), applied[0].Key)
	// Output: 1 b
}

// TestReplicasNeverRevert applies entries in any order, with duplicates. A replica
// must never revert to an older revision, and replicas with the same entries must
// have equal digests.
func TestReplicasNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []spread.Entry
		for i := range rapid.IntRange(1, 30).Draw(t, "entries") {
			entries = append(entries, spread.Entry{
				Deleted:  rapid.Bool().Draw(t, "deleted"),
				Key:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
				Revision: int64(i + 1),
			})
		}
		var first, second spread.Replica
		first.Apply(entries...)
		held := make(map[string]int64)
		for _, entry := range rapid.Permutation(append(entries, entries...)).Draw(t, "order") {
			second.Apply(entry)
			current, _ := second.Entry(entry.Key)
			if current.Revision < held[entry.Key] {
				t.Fatalf("entry %s reverted from revision %d to %d", entry.Key, held[entry.Key], current.Revision)
			}
			held[entry.Key] = current.Revision
		}
		if first.Digest() != second.Digest() {
			t.Fatalf("digests differ: %x and %x", first.Digest(), second.Digest())
		}
	})
}

func TestStaleSnapshotDoesNotDeleteNewerEntries(t *testing.T) {
	is := is.New(t)
	var replica spread.Replica
	replica.Apply(spread.Entry{Key: "a", Revision: 4}, spread.Entry{Key: "b", Revision: 9})
	changed := replica.ApplySnapshot(nil, 6)
	is.Equal(len(changed), 1)
	is.Equal(changed[0], spread.Entry{Deleted: true, Key: "a", Revision: 6})
}

func TestReaderSelectionIsStable(t *testing.T) {
	is := is.New(t)
	var nodes []member.Node
	for i := range 144 {
		nodes = append(nodes, member.Node{AvailabilityZone: "zone", ID: fmt.Sprintf("node-%03d", i)})
	}
	before := spread.Readers(nodes, "zone", 2)
	for i, node := range nodes {
		without := append(append([]member.Node(nil), nodes[:i]...), nodes[i+1:]...)
		after := spread.Readers(without, "zone", 2)
		switch node.ID {
		case before[0]:
			is.Equal(after[0], before[1])
		case before[1]:
			is.Equal(after[0], before[0])
		default:
			is.Equal(after, before)
		}
	}
}

func TestTreeReachesEachNode(t *testing.T) {
	is := is.New(t)
	var nodes []member.Node
	for i := range 144 {
		nodes = append(nodes, member.Node{AvailabilityZone: "zone", ID: fmt.Sprintf("node-%03d", i)})
	}
	depths := spread.Depths(nodes, nodes[7], 8)
	is.Equal(len(depths), len(nodes))
	for _, depth := range depths {
		is.True(depth <= 3)
	}
}
