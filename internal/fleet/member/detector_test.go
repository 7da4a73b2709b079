package member_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

func TestCrashIsSeenByAll(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	n.run(10 * time.Second)
	crashed := n.hosts[4]
	delete(n.detectors, crashed.PeerAddress)
	n.run(15 * time.Second)
	is.Equal(n.count(member.StateUnreachable), 8) // each of the eight others
	is.Equal(n.count(member.StateAlive), 8*7)
	for _, d := range n.detectors {
		is.Equal(len(d.Nodes()), 8)
	}

	n.start(crashed) // with a higher incarnation
	n.run(15 * time.Second)
	is.Equal(n.count(member.StateAlive), 9*8)
}

func TestOneWayLossBetweenTwoNodes(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	a, b := n.hosts[0].PeerAddress, n.hosts[5].PeerAddress
	n.drop = func(from, to string) bool { return from == a && to == b }
	for range 120 {
		n.run(time.Second)
		is.Equal(n.count(member.StateUnreachable), 0) // peers confirm both nodes
	}
}

func TestNodeThatCannotSendBecomesUnreachable(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	mute := n.hosts[0].PeerAddress
	n.drop = func(from, _ string) bool { return from == mute }
	n.run(20 * time.Second)
	for address, d := range n.detectors {
		r, known := d.Record(n.hosts[0].ID)
		is.Equal(known, address != mute)
		if known {
			is.Equal(r.State, member.StateUnreachable)
		}
	}
	n.drop = func(string, string) bool { return false }
	n.run(60 * time.Second)
	is.Equal(n.count(member.StateAlive), 9*8)
}

func TestPausedNodeWakesWithoutBlame(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	n.run(5 * time.Second)
	address := n.hosts[2].PeerAddress
	n.paused[address] = true
	n.run(30 * time.Second)
	is.Equal(n.count(member.StateUnreachable), 8)
	n.paused[address] = false
	n.run(time.Second)
	for _, r := range n.detectors[address].Records() {
		is.True(r.State != member.StateUnreachable) // it was the one that paused
	}
	n.run(20 * time.Second)
	is.Equal(n.count(member.StateAlive), 9*8)
}

func TestRegionsCutForAnHourMerge(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 2, 6)
	n.run(5 * time.Second)
	region := make(map[string]string)
	for _, host := range n.hosts {
		region[host.PeerAddress] = host.Region
	}
	n.drop = func(from, to string) bool { return region[from] != region[to] }
	for _, d := range n.detectors {
		d.SetHosts(n.now, nil) // the host list drops them too: worst case
	}
	n.run(time.Hour)
	is.Equal(n.count(member.StateGone), 0)
	is.Equal(n.count(member.StateUnreachable), 12*6)
	is.Equal(n.count(member.StateAlive), 12*5) // each side goes on for its own
	n.drop = func(string, string) bool { return false }
	n.run(time.Minute)
	is.Equal(n.count(member.StateAlive), 12*11)
}

func TestLeavingNodeGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	n.run(5 * time.Second)
	leaving := n.hosts[8]
	n.detectors[leaving.PeerAddress].Leave()
	n.run(3 * time.Second)
	for _, d := range n.detectors {
		is.Equal(len(d.Nodes()), 8)
	}
	n.post(leaving.PeerAddress, n.detectors[leaving.PeerAddress].Farewell())
	delete(n.detectors, leaving.PeerAddress)
	n.run(10 * time.Second)
	is.Equal(n.count(member.StateGone), 8)
}

func TestHostListLeavingIsBelievedBeforeTheNode(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	n.run(time.Second)
	hosts := append([]hostlist.Host(nil), n.hosts...)
	hosts[3].State = hostlist.StateLeaving
	d := n.detectors[hosts[0].PeerAddress]
	is.Equal(d.SetHosts(n.now, hosts), false)
	is.Equal(len(d.Nodes()), 8)
	is.True(n.detectors[hosts[3].PeerAddress].SetHosts(n.now, hosts)) // its own entry
}

func TestUnknownNodeJoinsThroughPeers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	n.run(5 * time.Second)
	late := hostlist.Host{Address: "10.1.9.9:80", ID: "node-late", PeerAddress: "10.0.9.9:90", Region: "region-0", Role: hostlist.RoleEntry}
	n.start(late) // the host list does not name it yet
	n.run(6 * time.Second)
	is.Equal(n.count(member.StateAlive), 10*9)
}

// The host list shows a replacement three replacements, about 33 s, later.
func TestRollingReplacementWithALateHostList(t *testing.T) {
	is := is.New(t)
	const behind = 3
	n := newNetwork(t, 3, 3)
	n.run(5 * time.Second)
	before := append([]hostlist.Host(nil), n.hosts...)
	after := append([]hostlist.Host(nil), n.hosts...)
	for i, host := range before {
		old := n.detectors[host.PeerAddress]
		old.Leave()
		n.run(3 * time.Second)
		n.post(host.PeerAddress, old.Farewell())
		n.run(step)
		delete(n.detectors, host.PeerAddress)
		after[i].PeerAddress = fmt.Sprintf("10.2.0.%d:90", i)
		if i >= behind {
			n.hosts[i-behind] = after[i-behind]
		}
		for _, d := range n.detectors {
			d.SetHosts(n.now, n.hosts)
		}
		n.start(after[i])
		n.run(8 * time.Second)
		is.Equal(n.count(member.StateAlive), 9*8)
	}
	for _, d := range n.detectors {
		for _, node := range d.Nodes() {
			is.True(strings.HasPrefix(node.PeerAddress, "10.2.0."))
		}
	}
}

func TestRejoinStormStaysInBudget(t *testing.T) {
	is := is.New(t)
	const zones, perZone, budget = 5, 24, 3000
	n := newNetwork(t, zones, perZone)
	n.run(5 * time.Second)
	for _, host := range n.hosts[:perZone] {
		delete(n.detectors, host.PeerAddress)
	}
	window := 5 * time.Second
	largest := 0
	watch := func(windows int) {
		for range windows {
			clear(n.sent)
			n.run(window)
			for _, bytes := range n.sent {
				largest = max(largest, bytes/int(window/time.Second))
			}
		}
	}
	watch(4)
	for _, host := range n.hosts[:perZone] {
		n.start(host)
	}
	watch(8)
	t.Logf("largest rate of a node: %d bytes per second", largest)
	is.True(largest <= budget)
	is.Equal(n.count(member.StateAlive), zones*perZone*(zones*perZone-1))
}

func TestRecordsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := member.NewTable()
		now := time.Unix(1_800_000_000, 0)
		rank := map[member.State]int{member.StateAlive: 0, member.StateSuspect: 1, member.StateUnreachable: 2, member.StateGone: 3}
		var last member.Record
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			table.Apply(&memberpb.Update{
				Id:          "n",
				Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
				Leaving:     rapid.Bool().Draw(t, "leaving"),
				Node:        &memberpb.Node{PeerAddress: "p"},
				State:       memberpb.State(rapid.Int32Range(0, 3).Draw(t, "state")),
			}, now)
			r, ok := table.Record("n")
			if !ok {
				continue
			}
			same := r.Node.Incarnation == last.Node.Incarnation
			if r.Node.Incarnation < last.Node.Incarnation ||
				(same && (rank[r.State] < rank[last.State] || (last.Leaving && !r.Leaving))) {
				t.Fatalf("record went back from %+v to %+v", last, r)
			}
			last = r
		}
	})
}
