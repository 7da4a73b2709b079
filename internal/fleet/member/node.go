// Package member tracks the membership of the entry hosts and detects failed
// ones by gossip.
package member

// Node is one entry host.
type Node struct {
	AvailabilityZone string
	// CallerAddress is the IP address and port that callers connect to.
	CallerAddress string
	ID            string
	// Incarnation grows with each start of the process, with each refutation of a
	// false update, and when the node announces that it is leaving.
	Incarnation uint64
	// PeerAddress is the IP address and port that other entry hosts connect to.
	PeerAddress string
	Region      string
}
