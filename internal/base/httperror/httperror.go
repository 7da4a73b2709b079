// Package httperror encodes errors of package kind as HTTP error responses and decodes
// them.
package httperror

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/httpbody"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// maxBodyBytes bounds the body of an error response.
const maxBodyBytes = 64 << 10

// Body is the JSON body of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail holds the properties of an error that callers see. It includes the defaults of the
// error's kind.
type Detail struct {
	Kind    kind.Kind `json:"kind"`
	Message string    `json:"message"`
	Ran     kind.Ran  `json:"ran"`
	// RetryAfterSeconds is zero if the request should not be retried.
	RetryAfterSeconds float64 `json:"retry-after-seconds"`
}

// New returns the body that describes err.
func New(err error) Body {
	e := kind.Of(err)
	return Body{Error: Detail{Kind: e.Kind, Message: e.Message, Ran: e.Ran, RetryAfterSeconds: e.RetryAfter.Seconds()}}
}

// Write writes an error response with err's status, Retry-After header and JSON body.
func Write(w http.ResponseWriter, err error) {
	body := New(err)
	w.Header().Set("Content-Type", "application/json")
	if s := body.Error.RetryAfterSeconds; s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(s))))
	}
	w.WriteHeader(body.Error.Kind.Properties().Status)
	_ = json.NewEncoder(w).Encode(body) // An error means that the caller has closed the connection.
}

// Err returns the error that the body describes.
func (b Body) Err() *kind.Error {
	e := kind.New(b.Error.Kind, "%s", b.Error.Message)
	return e.WithRan(b.Error.Ran).WithRetryAfter(time.Duration(b.Error.RetryAfterSeconds * float64(time.Second)))
}

// Read returns the error in the body of an error response. If the body doesn't have the
// form that Write uses, the error is of kind BackendFailed. If it is cut, it says nothing, and the
// error is of kind OutcomeUnknown.
func Read(response *http.Response) *kind.Error {
	data, err := httpbody.ReadAll(response, maxBodyBytes)
	if err != nil {
		return kind.New(kind.OutcomeUnknown, "%v", err)
	}
	var body Body
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Kind == "" {
		return kind.New(kind.BackendFailed, "status %d without an error in the response body", response.StatusCode)
	}
	return body.Err()
}
