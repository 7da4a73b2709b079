package node

import (
	"net/http"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// refuseUntilReady answers requests with an error of kind unavailable until ready is closed,
// which means that the documents have been read. Before that, requests for existing services
// would be answered with not-found, which callers don't retry.
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
