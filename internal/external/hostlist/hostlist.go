// Package hostlist reads the platform's host list over HTTP. The list contains
// live and leaving hosts and may be stale.
package hostlist

import "context"

// Role is the kind of server that a host runs.
type Role string

// The roles of hosts.
const (
	RoleEngine Role = "engine"
	RoleEntry  Role = "entry"
	RolePlain  Role = "plain"
)

// State is the state of a host as the platform reports it.
type State string

// The states of hosts.
const (
	StateLeaving State = "leaving"
	StateLive    State = "live"
)

// Host is an entry of the list.
type Host struct {
	// Address is the IP address and port at which the host serves requests.
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	ID               string `json:"id"`
	// PeerAddress is the address for traffic between entry hosts. It is empty for
	// backend servers.
	PeerAddress string `json:"peer-address,omitempty"`
	Region      string `json:"region"`
	Role        Role   `json:"role"`
	// Service is the service that a backend server belongs to.
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
}

// List is the host list at one revision.
type List struct {
	Hosts    []Host `json:"hosts"`
	Revision int64  `json:"revision"`
}

// Reader reads the host list.
type Reader interface {
	// Read returns the list if its revision is above after, else an empty list
	// with the current revision.
	Read(ctx context.Context, after int64) (List, error)
}
