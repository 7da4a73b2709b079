package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

const tickStep = 100 * time.Millisecond

// queuedDatagram is a datagram in transit.
type queuedDatagram struct {
	from    string
	message *memberpb.Message
	to      string
}

// network delivers datagrams between detectors in virtual time. Each datagram
// takes one tickStep.
type network struct {
	detectors map[string]*member.Detector
	// drop reports whether to drop a datagram between two addresses.
	drop   func(from, to string) bool
	hosts  []hostlist.Host
	now    time.Time
	paused map[string]bool
	queue  []queuedDatagram
	random *rand.Rand
	// sentBytes contains the bytes sent by each address, IP and UDP headers
	// included.
	sentBytes map[string]int
}

func newNetwork(t *testing.T, zones, perZone int) *network {
	t.Helper()
	n := &network{
		detectors: make(map[string]*member.Detector),
		drop:      func(string, string) bool { return false },
		now:       time.Unix(1_800_000_000, 0),
		paused:    make(map[string]bool),
		random:    rand.New(rand.NewPCG(1, 2)),
		sentBytes: make(map[string]int),
	}
	for zone := range zones {
		for i := range perZone {
			n.hosts = append(n.hosts, hostlist.Host{
				Address:          fmt.Sprintf("10.1.%d.%d:80", zone, i),
				AvailabilityZone: fmt.Sprintf("zone-%d", zone),
				ID:               fmt.Sprintf("node-%d-%03d", zone, i),
				PeerAddress:      fmt.Sprintf("10.0.%d.%d:90", zone, i),
				Region:           fmt.Sprintf("region-%d", zone%2),
				Role:             hostlist.RoleEntry,
				State:            hostlist.StateLive,
			})
		}
	}
	for _, host := range n.hosts {
		n.start(host)
	}
	return n
}

func (n *network) start(host hostlist.Host) {
	d := &member.Detector{
		Config: member.DefaultConfig(),
		Random: rand.New(rand.NewPCG(uint64(len(n.detectors)), 7)),
		Self: member.Node{
			AvailabilityZone: host.AvailabilityZone, CallerAddress: host.Address, ID: host.ID,
			Incarnation: uint64(n.now.UnixMilli()), PeerAddress: host.PeerAddress, Region: host.Region,
		},
	}
	d.Start(n.now)
	d.SetHosts(n.now, n.hosts)
	n.detectors[host.PeerAddress] = d
}

func (n *network) addresses() []string {
	addresses := make([]string, 0, len(n.detectors))
	for address := range n.detectors {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (n *network) run(duration time.Duration) {
	addresses := n.addresses()
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(tickStep) {
		arrived := n.queue
		n.queue = nil
		for _, d := range arrived {
			if receiver, ok := n.detectors[d.to]; ok && !n.paused[d.to] && !n.drop(d.from, d.to) {
				n.enqueue(d.to, receiver.Receive(n.now, d.from, d.message))
			}
		}
		for _, address := range addresses {
			if !n.paused[address] {
				n.enqueue(address, n.detectors[address].Tick(n.now))
			}
		}
	}
}

func (n *network) enqueue(from string, datagrams []member.Datagram) {
	for _, d := range datagrams {
		n.sentBytes[from] += proto.Size(d.Message) + 28 // IP and UDP headers
		n.queue = append(n.queue, queuedDatagram{from: from, message: d.Message, to: d.To})
	}
}

// count returns the number of records in state across all detectors.
func (n *network) count(state member.State) int {
	total := 0
	for _, d := range n.detectors {
		for _, r := range d.Records() {
			if r.State == state {
				total++
			}
		}
	}
	return total
}
