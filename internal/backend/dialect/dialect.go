// Package dialect names the headers that a deployment's backend servers use.
package dialect

import "net/http"

// Dialect holds header names. An empty name means that the servers know no
// such header.
type Dialect struct {
	// BudgetMillis carries the milliseconds that the caller still waits.
	BudgetMillis string
	// ExpectServer carries the id of the only server that may run the request.
	ExpectServer string
	// Leaving marks the answers of a server that leaves.
	Leaving string
	// Load is an answer's count of running and waiting requests and slots,
	// separated by commas.
	Load string
	// NotRun marks an answer of a server that did not run the request.
	NotRun string
	// ResumeAfter carries the id of the last event that the caller has.
	ResumeAfter string
	// Signature is the signature by which a server vouches for its answer.
	Signature string
	// WeightVersion is an answer's weight version, also in its events.
	WeightVersion string
}

// IsLeaving reports whether an answer with the header says that its server leaves.
func (d Dialect) IsLeaving(header http.Header) bool {
	if d.Leaving == "" {
		return false
	}
	value := header.Get(d.Leaving)
	return value != "" && value != "0"
}
