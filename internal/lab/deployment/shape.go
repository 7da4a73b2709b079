// Package deployment starts a complete deployment on loopback: stand-ins for the
// platform's services and the backend servers, and entry hosts that run the product's
// code over real sockets, in this process or in processes of their own.
package deployment

import "time"

// Shape is the size and layout of a deployment.
type Shape struct {
	// Engines and Plains are the numbers of backend servers.
	Engines int
	// EngineService and PlainService are the names of the two services.
	EngineService string
	// Grace bounds how long a draining node waits for requests in flight.
	Grace time.Duration
	// AddressTTL is how long callers keep an address.
	AddressTTL time.Duration
	Name       string
	// Nodes is the number of entry hosts.
	Nodes        int
	PlainService string
	Plains       int
	// StalenessWeight and IdleWeight are settings of the model service's document.
	StalenessWeight float64
	IdleWeight      float64
	Team            string
	// Zones are the availability zones; hosts are assigned to them round-robin.
	Zones []string
}

// Brazos returns the shape of the deployment named "brazos".
func Brazos() Shape {
	return Shape{
		EngineService:   "reviewer",
		Engines:         10,
		IdleWeight:      1,
		AddressTTL:      2 * time.Second,
		Name:            "brazos",
		Nodes:           6,
		PlainService:    "records",
		Plains:          3,
		StalenessWeight: 3,
		Team:            "brazos-basin",
		Zones:           []string{"waco-a", "temple-b", "bryan-c"},
	}
}

// Halvorsen returns the shape of the deployment named "halvorsen".
func Halvorsen() Shape {
	return Shape{
		EngineService:   "care-notes",
		Engines:         10,
		IdleWeight:      3,
		AddressTTL:      2 * time.Second,
		Name:            "halvorsen",
		Nodes:           8,
		PlainService:    "portal",
		Plains:          4,
		StalenessWeight: 1,
		Team:            "halvorsen",
		Zones:           []string{"fraser-a", "fraser-b", "fraser-c", "fraser-d"},
	}
}

// Named returns the shape with the given name and whether it exists.
func Named(name string) (Shape, bool) {
	for _, shape := range []Shape{Brazos(), Halvorsen()} {
		if shape.Name == name {
			return shape, true
		}
	}
	return Shape{}, false
}

func (s Shape) zone(i int) string { return s.Zones[i%len(s.Zones)] }

// region returns the region of all hosts of the deployment.
func (s Shape) region() string { return s.Name }
