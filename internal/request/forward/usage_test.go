package forward_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/account"
)

// usageRecorder keeps the times at which requests began.
type usageRecorder struct {
	mu    sync.Mutex
	began map[string][]time.Time
}

func (u *usageRecorder) Began(account string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.began[account] = append(u.began[account], at)
}

// streamAfterPause answers with an event stream whose first event comes after a pause.
func streamAfterPause(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	time.Sleep(streamPause)
	fmt.Fprint(w, "data: 1\n\n")
}

// streamWithoutEvent answers with an event stream that breaks off before its first event.
func streamWithoutEvent(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// grantOf returns the grant of a request with a key of an account.
func grantOf(t *testing.T, name string) *account.Grant {
	t.Helper()
	c := &config.Config{Accounts: []config.Account{{Keys: []config.Digest{config.DigestOf("key")}, Name: name}}}
	c.IndexAccounts()
	gate := &account.Gate{
		Age: func() account.Age { return account.Age{Known: true} }, Config: func() *config.Config { return c }, Logger: slog.New(slog.DiscardHandler),
	}
	grant, err := gate.Authenticate("key")
	if err != nil {
		t.Fatal(err)
	}
	return grant
}

const streamPause = 50 * time.Millisecond

// TestUsageOfAttempts counts how often servers began a request.
func TestUsageOfAttempts(t *testing.T) {
	cases := map[string]struct {
		first  handler
		repeat config.RepeatPolicy
		public bool
		want   int
		// after is the least time from the request to the last beginning.
		after time.Duration
	}{
		"answered":               {first: answerComplete, repeat: config.RepeatIdempotent, want: 1},
		"answered, at most once": {first: answerComplete, want: 1},
		"no account":             {first: answerComplete, repeat: config.RepeatIdempotent, public: true},
		"not run, then answered": {first: answerNotRun, repeat: config.RepeatIdempotent, want: 1},
		"misdirected":            {first: answerMisdirected, repeat: config.RepeatIdempotent, want: 1},
		"failed, then answered":  {first: answerInternalError, repeat: config.RepeatIdempotent, want: 2},
		"broken, then answered":  {first: resetConnection, repeat: config.RepeatIdempotent, want: 2},
		"broken, at most once":   {first: resetConnection, want: 1},
		"stream":                 {first: streamAfterPause, want: 1, after: streamPause},
		"stream without event":   {first: streamWithoutEvent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recorder := &usageRecorder{began: make(map[string][]time.Time)}
			f := newForwarder(newServer(t, c.first), newServer(t, answerComplete))
			f.Dialect.Account, f.Usage = "Account", recorder
			r := request()
			if !c.public {
				r.Grant = grantOf(t, "acme")
			}
			start := time.Now()
			func() {
				defer func() { _ = recover() }() // An answer that breaks off panics.
				_ = f.Serve(t.Context(), httptest.NewRecorder(), r, config.Route{MaxAttempts: 2, Repeat: c.repeat, Targets: []config.Target{{Service: "s", Weight: 1}}})
			}()
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			is.Equal(len(recorder.began["acme"]), c.want)
			is.Equal(len(recorder.began[""]), 0)
			if c.want > 0 {
				is.True(recorder.began["acme"][c.want-1].Sub(start) >= c.after)
			}
		})
	}
}
