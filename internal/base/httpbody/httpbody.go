// Package httpbody reads bodies of answers that count only if they are whole.
package httpbody

import (
	"io"
	"net/http"

	"github.com/zeebo/errs"
)

var classError = errs.Class("httpbody")

// ReadAll reads the body of an answer to its end. It returns an error if the body is cut or longer
// than maxBytes.
func ReadAll(response *http.Response, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, classError.New("the answer with status %d was cut after %d bytes: %w", response.StatusCode, len(data), err)
	}
	if int64(len(data)) > maxBytes {
		return nil, classError.New("the answer with status %d is longer than %d bytes", response.StatusCode, maxBytes)
	}
	return data, nil
}
