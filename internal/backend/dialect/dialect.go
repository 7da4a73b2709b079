// Package dialect holds the names of the HTTP headers that a deployment's backend servers
// use.
package dialect

import "net/http"

// Dialect holds header names. An empty name means that the servers don't support the
// header.
type Dialect struct {
	// BudgetMillis is the header of a request for the time that the caller still waits, in
	// milliseconds.
	BudgetMillis string
	// ExpectServer is the header of a request for the id of the only server that may run it.
	ExpectServer string
	// Leaving is the header that marks the answers of a leaving server.
	Leaving string
	// Load is the header of an answer for the numbers of running requests, waiting requests
	// and slots, separated by commas.
	Load string
	// NotRun is the header that marks an answer of a server that did not run the request.
	NotRun string
	// ResumeAfter is the header of a request for the id of the last event that the caller
	// received.
	ResumeAfter string
	// Signature is the header of an answer for its signature by the server.
	Signature string
	// WeightVersion is the header of an answer for its weight version. The events of a
	// stream use it as a field name, in lower case.
	WeightVersion string
}

// IsLeaving reports whether the header of an answer marks its server as leaving. A value of
// "0" counts as unset.
func (d Dialect) IsLeaving(header http.Header) bool {
	if d.Leaving == "" {
		return false
	}
	value := header.Get(d.Leaving)
	return value != "" && value != "0"
}
