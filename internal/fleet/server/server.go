// Package server maintains the directory of the backend servers of each service.
package server

import "github.com/nutmegway/nutmegway/internal/external/hostlist"

// Server is one backend server.
type Server struct {
	// Address is its IP address and port.
	Address          string
	AvailabilityZone string
	ID               string
	// Leaving reports that the server gets no new work.
	Leaving bool
	Region  string
	Role    hostlist.Role
	Service string
}

// View is a node's current view of the backend servers.
type View interface {
	// Server returns the server with the id and reports whether there is one.
	Server(id string) (Server, bool)
	// Servers returns the servers of service, including leaving ones, sorted by id.
	Servers(service string) []Server
}

// FromHost converts an entry of the host list.
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
