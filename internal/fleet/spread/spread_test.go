package spread_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestDocumentReachesAllNodes(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 6)
	f.store.set(prefix+"a", "one")
	f.await("a", "one")
	revision := f.store.set(prefix+"a", "two")
	f.await("a", "two")
	confirmation, err := f.nodes["node-03"].WaitConfirmed(t.Context(), prefix+"a", revision)
	is.NoErr(err)
	is.Equal(confirmation.Confirmed, 18)

	f.store.set(prefix+"a", "")
	f.await("a", "")
}

func TestReaderCrash(t *testing.T) {
	f := newTestFleet(t, 2, 5)
	f.store.set(prefix+"a", "one")
	f.await("a", "one")
	readers := f.readers("zone-0")
	f.crash(readers[0])
	f.store.set(prefix+"a", "two") // the second reader pushes the change
	f.await("a", "two")
	f.crash(readers[1])
	f.removeMember(readers[0])
	f.removeMember(readers[1])
	f.store.set(prefix+"a", "three") // two other nodes become readers
	f.await("a", "three")
}

// TestPausedReaderDoesNotRevertDocuments pauses a reader that has received a batch.
// When it resumes and pushes the old batch, the other nodes have a newer revision,
// which must stay in force.
func TestPausedReaderDoesNotRevertDocuments(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 6)
	f.store.set(prefix+"a", "one")
	f.await("a", "one")
	paused := f.readers("zone-0")[0]
	n := f.nodes[paused]
	n.gate.pause()
	f.store.set(prefix+"a", "two")
	delete(f.nodes, paused)
	f.await("a", "two")
	latest := f.store.set(prefix+"a", "three")
	f.await("a", "three")
	n.gate.resume()
	f.nodes[paused] = n
	for n.Documents.Revision(prefix+"a") < latest {
		for id, other := range f.nodes {
			is.True(id == paused || other.Documents.Revision(prefix+"a") == latest)
		}
	}
	f.await("a", "three")
}

func TestInnerNodeCrash(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 12)
	f.store.set(prefix+"a", "one")
	f.await("a", "one")
	readers := f.readers("zone-0")
	crashed := 0
	for id := range f.nodes {
		if !slices.Contains(readers, id) && crashed < 3 {
			f.crash(id)
			crashed++
		}
	}
	revision := f.store.set(prefix+"a", "two")
	f.await("a", "two")
	confirmation := f.nodes[readers[0]].ConfirmAll(t.Context(), prefix+"a", revision)
	is.Equal(confirmation.Confirmed, 9)
	is.Equal(len(confirmation.Lagging), 3) // the crashed nodes
}

func TestRestartDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 3)
	f.store.set(prefix+"a", "one")
	f.await("a", "one")
	f.store.setDown(true)
	for _, id := range []string{"node-00", "node-01", "node-02", "node-03"} {
		f.crash(id)
		n := f.start(id, f.live[id].AvailabilityZone)
		<-n.Ready() // recovered from peers, as the store is down
		accepted, ok := n.Documents.Document("a")
		is.True(ok)
		is.Equal(accepted.Text, "one")
	}
	f.store.setDown(false)
	f.store.set(prefix+"a", "two")
	f.await("a", "two")
}

func TestDeletionDuringStoreOutage(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.store.set(prefix+"a", "one")
	f.store.set(prefix+"b", "one")
	f.await("b", "one")
	f.store.setDown(true)
	f.store.set(prefix+"a", "")
	f.store.mu.Lock()
	f.store.events, f.store.compacted = nil, f.store.revision
	f.store.mu.Unlock()
	f.store.setDown(false)
	f.await("a", "")
	f.await("b", "one")
}

func TestUnreadableDocumentKeepsPreviousInForce(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 3)
	f.store.set(prefix+"a", "one")
	f.await("a", "one")
	revision := f.store.set(prefix+"a", "unreadable")
	f.store.set(prefix+"b", "one")
	f.await("b", "one")
	f.await("a", "one")
	is.Equal(f.nodes["node-00"].ConfirmAll(t.Context(), prefix+"a", revision).Confirmed, 0)
}
