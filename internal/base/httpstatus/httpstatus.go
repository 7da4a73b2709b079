// Package httpstatus tells which status codes of HTTP end an exchange.
package httpstatus

const (
	// minFinal and maxFinal are the bounds of the status codes of final answers (RFC 9110,
	// section 15).
	minFinal = 200
	maxFinal = 599
)

// IsFinal reports whether an answer with the code is a final answer in the protocol. Clients that
// asked for no other protocol get no answer with status 101 either.
func IsFinal(code int) bool { return code >= minFinal && code <= maxFinal }

// IsSuccess reports whether the code is one of the class 2xx.
func IsSuccess(code int) bool { return code/100 == 2 }
