package forward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httpconn/httpconntest"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// TestBrokenAnswersToRewardCallsAreNone guards against rewards that are taken from, and runs that are
// counted by, answers that are cut, reset or have a line that is no field.
func TestBrokenAnswersToRewardCallsAreNone(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		// reset resets the connection while the call is being sent.
		reset bool
	}{
		"reset success":      {answer: "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\npart", reset: true},
		"reset failure":      {answer: "HTTP/1.1 500 Internal Server Error\r\n\r\npart", reset: true},
		"cut success":        {answer: "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 9\r\n\r\npart"},
		"cut failure":        {answer: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\npart"},
		"cut refusal":        {answer: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\npart"},
		"blank in a success": {answer: "HTTP/1.1 200 OK\r\nStamp: s\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\npart"},
		"blank in a refusal": {answer: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nX-Odd : 1\r\nContent-Length: 4\r\n\r\npart"},
		"blank in a trailer": {answer: "HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX Odd: 1\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder()
			r, end := request(), httpconntest.EndStream
			if c.reset {
				r.Body, end = []byte(strings.Repeat("u", httpconntest.UploadBytes)), httpconntest.Reset
				f.Client = &plain.Client{Dial: httpconntest.Dialer{AnswerBytes: len(c.answer)}.DialContext}
			}
			server := inventory.Server{Address: httpconntest.ServeEarly(t, c.answer, end), ID: "raw", Service: "s", Slots: 4}
			f.Inventory.Set(server)
			outcome := f.Send(t.Context(), inventory.Candidate{Server: server}, r, time.Now().Add(time.Minute), true)
			is.True(outcome.Err != nil)
			is.Equal(outcome.Ran, kind.RanUnknown)
			is.Equal(outcome.Header, http.Header(nil))
			is.Equal(outcome.Status, 0)
		})
	}
}
