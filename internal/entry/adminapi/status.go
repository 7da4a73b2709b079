package adminapi

// Status is one node's view of the fleet.
type Status struct {
	AvailabilityZone string `json:"availability-zone"`
	ID               string `json:"id"`
	// Members are this node and all others that it knows.
	Members  []MemberStatus  `json:"members"`
	Region   string          `json:"region"`
	Services []ServiceStatus `json:"services"`
	// State is this node's state: starting, serving, withdrawn, draining or stopped.
	State string `json:"state"`
}

// MemberStatus is the status of an entry host from the node's view.
type MemberStatus struct {
	AvailabilityZone string `json:"availability-zone"`
	CallerAddress    string `json:"caller-address"`
	ID               string `json:"id"`
	// State is alive, leaving, suspect, unreachable or gone.
	State string `json:"state"`
}

// ServerStatus is the status of a backend server from the node's view.
type ServerStatus struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	ID               string `json:"id"`
	Leaving          bool   `json:"leaving"`
}

// ServiceStatus is the status of a service from the node's view.
type ServiceStatus struct {
	Kind     string         `json:"kind"`
	Name     string         `json:"name"`
	Revision int64          `json:"revision"`
	Servers  []ServerStatus `json:"servers"`
	Team     string         `json:"team"`
}
