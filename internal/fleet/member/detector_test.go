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

func TestCrashIsDetectedByAllNodes(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	n.run(10 * time.Second)
	crashed := n.hosts[4]
	delete(n.detectors, crashed.PeerAddress)
	n.run(15 * time.Second)
	is.Equal(n.count(member.StateUnreachable), 8) // One record at each of the eight other nodes.
	is.Equal(n.count(member.StateAlive), 8*7)
	for _, d := range n.detectors {
		is.Equal(len(d.Nodes()), 8)
	}

	n.start(crashed) // Restarts with a higher incarnation.
	n.run(15 * time.Second)
	is.Equal(n.count(member.StateAlive), 9*8)
}

func TestOneWayLossBetweenTwoNodesDoesNotMakeThemUnreachable(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	a, b := n.hosts[0].PeerAddress, n.hosts[5].PeerAddress
	n.drop = func(from, to string) bool { return from == a && to == b }
	for range 120 {
		n.run(time.Second)
		is.Equal(n.count(member.StateUnreachable), 0) // Indirect probes reach both nodes.
	}
}

func TestNodeThatCannotSendBecomesUnreachableUntilHealed(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	silent := n.hosts[0].PeerAddress
	n.drop = func(from, _ string) bool { return from == silent }
	n.run(20 * time.Second)
	for address, d := range n.detectors {
		r, known := d.Record(n.hosts[0].ID)
		is.Equal(known, address != silent)
		if known {
			is.Equal(r.State, member.StateUnreachable)
		}
	}
	n.drop = func(string, string) bool { return false }
	n.run(60 * time.Second)
	is.Equal(n.count(member.StateAlive), 9*8)
}

func TestResumedNodeDoesNotMarkPeersUnreachable(t *testing.T) {
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
		is.True(r.State != member.StateUnreachable) // The node detects that it was itself paused.
	}
	n.run(20 * time.Second)
	is.Equal(n.count(member.StateAlive), 9*8)
}

func TestRegionsMergeAfterOneHourPartition(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 2, 6)
	n.run(5 * time.Second)
	region := make(map[string]string)
	for _, host := range n.hosts {
		region[host.PeerAddress] = host.Region
	}
	n.drop = func(from, to string) bool { return region[from] != region[to] }
	for _, d := range n.detectors {
		d.SetHosts(n.now, nil) // The worst case: the host list omits the nodes too.
	}
	n.run(time.Hour)
	is.Equal(n.count(member.StateGone), 0)
	is.Equal(n.count(member.StateUnreachable), 12*6)
	is.Equal(n.count(member.StateAlive), 12*5) // Each region sees its own nodes as alive.
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
	n.enqueue(leaving.PeerAddress, n.detectors[leaving.PeerAddress].DepartureNotices())
	delete(n.detectors, leaving.PeerAddress)
	n.run(10 * time.Second)
	is.Equal(n.count(member.StateGone), 8)
}

func TestLeavingInHostListTakesEffectBeforeNodeAnnouncesIt(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	n.run(time.Second)
	hosts := append([]hostlist.Host(nil), n.hosts...)
	hosts[3].State = hostlist.StateLeaving
	d := n.detectors[hosts[0].PeerAddress]
	is.Equal(d.SetHosts(n.now, hosts), false)
	is.Equal(len(d.Nodes()), 8)
	is.True(n.detectors[hosts[3].PeerAddress].SetHosts(n.now, hosts)) // The list shows this node itself as leaving.
}

func TestUnlistedNodeJoinsThroughPeers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 3)
	n.run(5 * time.Second)
	unlisted := hostlist.Host{Address: "10.1.9.9:80", ID: "node-late", PeerAddress: "10.0.9.9:90", Region: "region-0", Role: hostlist.RoleEntry}
	n.start(unlisted) // The host list does not contain the node yet.
	n.run(6 * time.Second)
	is.Equal(n.count(member.StateAlive), 10*9)
}

// TestRollingReplacementWithStaleHostList replaces nodes one after another while
// the host list lags by three replacements, about 33 s.
func TestRollingReplacementWithStaleHostList(t *testing.T) {
	is := is.New(t)
	const lag = 3
	n := newNetwork(t, 3, 3)
	n.run(5 * time.Second)
	before := append([]hostlist.Host(nil), n.hosts...)
	after := append([]hostlist.Host(nil), n.hosts...)
	for i, host := range before {
		old := n.detectors[host.PeerAddress]
		old.Leave()
		n.run(3 * time.Second)
		n.enqueue(host.PeerAddress, old.DepartureNotices())
		n.run(tickStep)
		delete(n.detectors, host.PeerAddress)
		after[i].PeerAddress = fmt.Sprintf("10.2.0.%d:90", i)
		if i >= lag {
			n.hosts[i-lag] = after[i-lag]
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

func TestRejoinStormStaysWithinBandwidthBudget(t *testing.T) {
	is := is.New(t)
	const zones, perZone, maxBytesPerSecond = 5, 24, 3000
	n := newNetwork(t, zones, perZone)
	n.run(5 * time.Second)
	for _, host := range n.hosts[:perZone] {
		delete(n.detectors, host.PeerAddress)
	}
	window := 5 * time.Second
	largest := 0
	measure := func(windows int) {
		for range windows {
			clear(n.sentBytes)
			n.run(window)
			for _, bytes := range n.sentBytes {
				largest = max(largest, bytes/int(window/time.Second))
			}
		}
	}
	measure(4)
	for _, host := range n.hosts[:perZone] {
		n.start(host)
	}
	measure(8)
	t.Logf("highest send rate of a node: %d bytes per second", largest)
	is.True(largest <= maxBytesPerSecond)
	is.Equal(n.count(member.StateAlive), zones*perZone*(zones*perZone-1))
}

func TestRecordStateNeverRegresses(t *testing.T) {
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
				t.Fatalf("record regressed from %+v to %+v", last, r)
			}
			last = r
		}
	})
}
