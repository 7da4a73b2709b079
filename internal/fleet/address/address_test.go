package address_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/fleet/address"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
)

// nodes returns nodes of zone-0, zone-1 and so on, nodesPerZone of each.
func nodes(nodesPerZone ...int) []member.Node {
	var all []member.Node
	for zone, count := range nodesPerZone {
		for i := range count {
			all = append(all, member.Node{AvailabilityZone: fmt.Sprintf("zone-%d", zone), ID: fmt.Sprintf("node-%d-%d", zone, i)})
		}
	}
	return all
}

// TestFirstAddressesAreBalanced has each caller ask a random node. The nodes assign
// independently of each other.
func TestFirstAddressesAreBalanced(t *testing.T) {
	is := is.New(t)
	all := nodes(3, 3, 3)
	assigners := make([]address.Assigner, len(all))
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_800_000_000, 0)
	first := make(map[string]int)
	const callers = 900
	for i := range callers {
		chosen := assigners[random.IntN(len(all))].Assign(now, fmt.Sprint("caller-", i), fmt.Sprintf("zone-%d", i%3), all, 3, time.Minute)
		is.Equal(len(chosen), 3)
		is.Equal(chosen[0].AvailabilityZone, fmt.Sprintf("zone-%d", i%3)) // the caller's own zone comes first
		first[chosen[0].ID]++
	}
	for id, count := range first {
		t.Log(id, count)
		is.True(count >= 90 && count <= 110) // the mean is 100
	}
}

func TestSmallZoneOverflowsToOtherZones(t *testing.T) {
	is := is.New(t)
	all := nodes(1, 6, 6)
	var assigner address.Assigner
	inZone := 0
	for i := range 1300 {
		chosen := assigner.Assign(time.Unix(0, 0), fmt.Sprint("caller-", i), "zone-0", all, 3, time.Minute)
		if chosen[0].AvailabilityZone == "zone-0" {
			inZone++
		}
	}
	// The zone's only node keeps about twice the mean of 100 callers, not all 1,300.
	is.True(inZone > 100 && inZone < 800)
}

func TestAssignmentsExpire(t *testing.T) {
	is := is.New(t)
	all := nodes(2)
	var assigner address.Assigner
	now := time.Unix(1_800_000_000, 0)
	for i := range 10 {
		assigner.Assign(now, fmt.Sprint("early-", i), "", all, 1, time.Minute)
	}
	now = now.Add(2 * time.Minute)
	counts := make(map[string]int)
	for i := range 10 {
		counts[assigner.Assign(now, fmt.Sprint("late-", i), "", all, 1, time.Minute)[0].ID]++
	}
	is.Equal(counts, map[string]int{"node-0-0": 5, "node-0-1": 5})
	is.Equal(len(assigner.Assign(now, "c", "", nil, 1, time.Minute)), 0)
}

func TestGracefulShutdown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	l := address.NewLifecycle()
	l.Serve()
	is.Equal(l.Withdraw(now, 10*time.Second, 5*time.Second), 13*time.Second)
	is.Equal(l.Advance(now.Add(12*time.Second), 0), address.StateWithdrawn) // callers may still have the address
	is.Equal(l.Advance(now.Add(13*time.Second), 2), address.StateDraining)
	is.Equal(l.Advance(now.Add(17*time.Second), 1), address.StateDraining)
	is.Equal(l.Advance(now.Add(18*time.Second), 0), address.StateStopped)
	is.Equal(l.AbortedRequests(), 0)
}

func TestAbortCountsRequestsOnce(t *testing.T) {
	is := is.New(t)
	l := address.NewLifecycle()
	l.Serve()
	l.Withdraw(time.Unix(0, 0), time.Minute, time.Minute)
	l.Abort(7)
	l.Abort(9)
	is.Equal(l.State(), address.StateStopped)
	is.Equal(l.AbortedRequests(), 7)
}

func TestLifecycleNeverGoesBack(t *testing.T) {
	order := map[address.State]int{
		address.StateStarting: 0, address.StateServing: 1, address.StateWithdrawn: 2, address.StateDraining: 3, address.StateStopped: 4,
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		l := address.NewLifecycle()
		previous := l.State()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				l.Serve()
			case 1:
				l.Withdraw(now, 3*time.Second, 3*time.Second)
			case 2:
				l.Abort(1)
			default:
				l.Advance(now, rapid.IntRange(0, 2).Draw(t, "in-flight"))
			}
			if order[l.State()] < order[previous] {
				t.Fatalf("state went back from %s to %s", previous, l.State())
			}
			previous = l.State()
		}
	})
}
