package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// TestRequestBeforeDocumentsAreReadIsRefused checks that a request before the documents
// are read gets a retryable refusal rather than not found.
func TestRequestBeforeDocumentsAreReadIsRefused(t *testing.T) {
	is := is.New(t)
	ready := make(chan struct{})
	handler := refuseUntilReady(ready, http.NotFoundHandler())
	send := func() *http.Response {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/plain/portal/plots", nil))
		return recorder.Result()
	}
	refused := httperror.Read(send())
	is.Equal(refused.Kind, kind.Unavailable)
	is.Equal(refused.Ran, kind.RanNo)
	is.True(refused.RetryAfter > 0)
	close(ready)
	is.Equal(send().StatusCode, http.StatusNotFound)
}
