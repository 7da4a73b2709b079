package httperror_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

func TestWriteAndReadKeepEveryKind(t *testing.T) {
	for _, k := range kind.All() {
		is := is.New(t)
		recorder := httptest.NewRecorder()
		httperror.Write(recorder, kind.New(k, "why").WithRan(kind.RanNo).WithRetryAfter(1500*time.Millisecond))
		response := recorder.Result()
		got := httperror.Read(response)
		is.NoErr(response.Body.Close())
		is.Equal(response.Header.Get("Retry-After"), "2")
		is.Equal(got.Kind, k)
		is.Equal(got.Ran, kind.RanNo)
		is.Equal(got.RetryAfter, 1500*time.Millisecond)
	}
}
