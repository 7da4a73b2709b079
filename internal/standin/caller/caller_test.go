package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
)

// startEntryHost starts an entry host that serves requests with handler and counts
// them.
func startEntryHost(t *testing.T, handler http.HandlerFunc) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

func TestRetryDependsOnRefusal(t *testing.T) {
	tests := []struct {
		ran        kind.Ran
		idempotent bool
		retried    bool
	}{
		{ran: kind.RanNo, retried: true},
		{ran: kind.RanUnknown},
		{ran: kind.RanUnknown, idempotent: true, retried: true},
		{ran: kind.RanYes},
	}
	for _, test := range tests {
		is := is.New(t)
		var entries []string
		good, answered := startEntryHost(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		bad, refused := startEntryHost(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q},{"address":%q}],"keep-seconds":60}`, entries[0], entries[1])
				return
			}
			httperror.Write(w, kind.New(kind.Unavailable, "busy").WithRan(test.ran))
		})
		entries = []string{bad, good}
		c := &caller.Caller{EntryHosts: entries[:1], Service: "records"}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		outcome := c.Do(ctx, caller.Request{Idempotent: test.idempotent, Method: http.MethodPost, Path: "/v1/plain/records/bookings"})
		cancel()
		is.Equal(outcome.Answered, test.retried)
		is.Equal(outcome.Attempts[0].Ran, test.ran)
		is.Equal(refused.Load(), int64(2)) // The list of addresses and the booking.
		is.Equal(answered.Load() == 1, test.retried)
	}
}
