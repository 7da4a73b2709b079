// Package dialect holds the names of the HTTP headers that a deployment's backend servers
// use.
package dialect

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

// Dialect holds header names. An empty name means that the servers don't support the
// header.
type Dialect struct {
	// Account is the request header with the name of the client account.
	Account string
	// BudgetMillis is the request header with the time that the caller still waits, in
	// milliseconds.
	BudgetMillis string
	// Credential is the header in which callers send their API key. Servers don't get it.
	Credential string
	// ExpectServer is the request header with the id of the only server that may run the
	// request.
	ExpectServer string
	// Leaving is the response header that marks the answers of a leaving server.
	Leaving string
	// Load is the response header with the numbers of running requests, waiting requests
	// and slots, separated by commas.
	Load string
	// NotRun is the response header that marks an answer of a server that did not run the
	// request.
	NotRun string
	// RequestLimit is the response header with the number of requests per second, a decimal
	// number, that the server accepts from all hosts together. A server without a limit
	// omits it.
	RequestLimit string
	// ResumeAfter is the request header with the id of the last event that the caller
	// received.
	ResumeAfter string
	// ResumedAttempt is the request header with the id of the attempt that brought the first
	// event of a stream that the caller resumes.
	ResumedAttempt string
	// Signature is the response header with the server's signature of the answer.
	Signature string
	// Size is the request header with the number of tokens of the prompt and the largest number of
	// tokens to generate, separated by a comma.
	Size string
	// WeightVersion is the response header with the weight version of the answer. The
	// events of a stream use it as a field name, in lower case.
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

// ParseSize returns the memory that a request needs in tokens, or zero if its header doesn't say
// so.
func (d Dialect) ParseSize(header http.Header) int {
	if d.Size == "" {
		return 0
	}
	prompt, output, ok := strings.Cut(header.Get(d.Size), ",")
	p, errPrompt := strconv.Atoi(strings.TrimSpace(prompt))
	o, errOutput := strconv.Atoi(strings.TrimSpace(output))
	if !ok || errPrompt != nil || errOutput != nil || p < 0 || o < 0 || p+o < 0 {
		return 0
	}
	return p + o
}

// ParseRequestLimit returns the number of requests per second that the server accepts from
// all hosts together. It returns false if the header names no limit or a malformed one.
func (d Dialect) ParseRequestLimit(header http.Header) (perSecond float64, ok bool) {
	if d.RequestLimit == "" {
		return 0, false
	}
	perSecond, err := strconv.ParseFloat(header.Get(d.RequestLimit), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, false
	}
	return perSecond, true
}
