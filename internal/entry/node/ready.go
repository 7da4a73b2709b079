package node

import (
	"net/http"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// refuseUntilReady refuses requests as unavailable until the documents have been read.
// Otherwise requests for an existing service would be answered as not found, which
// callers don't retry.
func refuseUntilReady(ready <-chan struct{}, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-ready:
			next.ServeHTTP(w, r)
		default:
			httperror.Write(w, kind.New(kind.Unavailable, "this entry host has not read the documents yet"))
		}
	})
}
