// Package server knows the backend servers of each service.
package server

import "github.com/nutmegway/nutmegway/internal/external/hostlist"

// Server is one backend server.
type Server struct {
	// Address is its IP address and port.
	Address          string
	AvailabilityZone string
	ID               string
	// Leaving servers get no new work.
	Leaving bool
	Region  string
	Role    hostlist.Role
	Service string
}

// View is what a node knows of the backend servers now.
type View interface {
	// Server returns the server with the id.
	Server(id string) (Server, bool)
	// Servers returns the servers of service, sorted by id, leaving ones
	// included.
	Servers(service string) []Server
}

// FromHost converts a line of the host list.
func FromHost(host hostlist.Host) Server {
	return Server{
		Address:          host.Address,
		AvailabilityZone: host.AvailabilityZone,
		ID:               host.ID,
		Leaving:          host.State == hostlist.StateLeaving,
		Region:           host.Region,
		Role:             host.Role,
		Service:          host.Service,
	}
}
