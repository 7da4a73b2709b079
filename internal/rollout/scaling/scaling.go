// Package scaling decides how many servers of a service each availability zone has, and
// orders them. Forecast, Plan and Decider do no I/O.
//
// It is designed for this load: a few trainers submit a batch of some hundred generations
// every few seconds, and a step is late if its last generations wait for a slot. A server
// serves some seconds after it was ordered. Cheap servers may be reclaimed, all those of a
// zone at once; then none are available there, or in any zone, for a while.
package scaling

import (
	"time"
)

// Batch is what an open batch still needs.
type Batch struct {
	// Age is the time since the submission of the batch.
	Age time.Duration
	ID  string
	// Items is the number of items of the batch, and Unfinished the number of those that
	// still need an engine.
	Items, Unfinished int
	Model             string
	// RunTarget is the target time from the submission to the results.
	RunTarget time.Duration
	Service   string
	// Waiting is the number of items that wait for a slot although no engine that may run them
	// is missing.
	Waiting int
}

// Pace is what the finished items of a service took.
type Pace struct {
	// Busy is the time for which the items occupied a slot, at all servers.
	Busy time.Duration
	// Items is the weight of the items. Older items count less.
	Items   float64
	Service string
}

// Demand is what the hosts that run batches report.
type Demand struct {
	Batches []Batch
	// Complete is set if the runners of all open batches have reported.
	Complete bool
	Paces    []Pace
}

// RunTime returns the mean time for which an item of the service occupies a slot, or zero
// if it isn't known.
func (d Demand) RunTime(service string) time.Duration {
	var busy time.Duration
	var items float64
	for _, pace := range d.Paces {
		if pace.Service == service {
			busy += pace.Busy
			items += pace.Items
		}
	}
	if items <= 0 {
		return 0
	}
	return time.Duration(float64(busy) / items)
}

// Pool names the servers of one zone that may be reclaimed (Spot), or the others.
type Pool struct {
	Zone string
	Spot bool
}

// Order sets the number of servers of a pool. Sending it again changes nothing.
type Order struct {
	Pool
	Service string
	Servers int
}

// Outcome is the outcome of an order.
type Outcome string

// The outcomes.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeNotSent means that the order wasn't carried out and wasn't refused for want
	// of servers.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeRefused means that no such servers are available now.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the order may be carried out, at any later time.
	OutcomeUnknown Outcome = "unknown"
)
