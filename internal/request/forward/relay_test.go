package forward_test

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/backend/reach"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
)

// fakeRelay records how many attempts were handed on, and answers with err or with "relayed".
type fakeRelay struct {
	attempts []int
	err      error
	header   http.Header
}

func (r *fakeRelay) Forward(_ context.Context, _ forward.Request, _ time.Time, maxAttempts int) (*http.Response, string, error) {
	r.attempts = append(r.attempts, maxAttempts)
	if r.err != nil {
		return nil, "", r.err
	}
	header := http.Header{}
	maps.Copy(header, r.header)
	return &http.Response{Body: io.NopCloser(strings.NewReader("relayed")), Header: header, StatusCode: http.StatusOK}, "a", nil
}

// relayingForwarder is a Forwarder with one server, whose links can be cut.
type relayingForwarder struct {
	*forward.Forwarder

	cut     atomic.Bool
	monitor *reach.Monitor
	relay   *fakeRelay
}

func newRelayingForwarder(t *testing.T, server *testServer) *relayingForwarder {
	t.Helper()
	f := &relayingForwarder{relay: &fakeRelay{}}
	address := strings.TrimPrefix(server.URL, "http://")
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if f.cut.Load() {
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	f.monitor = &reach.Monitor{
		Dial: dial, Logger: slog.New(slog.DiscardHandler), Targets: func() []reach.Target { return []reach.Target{{Address: address, Service: "s"}} },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.monitor.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(group.Wait())
	})
	servers := &inventory.Inventory{}
	servers.Set(inventory.Server{Address: address, ID: "a", Service: "s", Slots: 8})
	f.Forwarder = &forward.Forwarder{
		Client: &plain.Client{Dial: dial, Reach: f.monitor}, Dialect: headers, Inventory: servers,
		Logger: slog.New(slog.DiscardHandler), Relay: f.relay,
	}
	return f
}

// isolate cuts the links and waits until the host knows.
func (f *relayingForwarder) isolate(t *testing.T) {
	t.Helper()
	changed := f.monitor.Changed()
	f.cut.Store(true)
	f.monitor.Suspect("", reach.ReasonConnect)
	select {
	case <-changed:
	case <-time.After(30 * time.Second):
		t.Fatal("the host does not know that it is isolated")
	}
}

func (f *relayingForwarder) serve(t *testing.T, repeat config.RepeatPolicy, request forward.Request) (string, error) {
	t.Helper()
	request.Header = http.Header{}
	request.Arrived, request.ID, request.Method, request.Target, request.Host = time.Now(), "r1", http.MethodPost, "/x", "h"
	route := config.Route{
		LatencySLO: 100 * time.Millisecond, MaxAttempts: 3, Name: "r", Repeat: repeat, Targets: []config.Target{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second,
	}
	recorder := httptest.NewRecorder()
	err := f.Serve(t.Context(), recorder, request, route)
	return recorder.Body.String(), err
}

func TestIsolatedHostHandsRequestsOn(t *testing.T) {
	for _, repeat := range []config.RepeatPolicy{config.RepeatIdempotent, config.RepeatNever} {
		is := is.New(t)
		f := newRelayingForwarder(t, newServer(t, answerComplete))
		body, err := f.serve(t, repeat, forward.Request{})
		is.NoErr(err)
		is.Equal(body, "complete")
		f.isolate(t)
		body, err = f.serve(t, repeat, forward.Request{})
		is.NoErr(err)
		is.Equal(body, "relayed")
		is.Equal(f.relay.attempts, []int{3})
	}
}

// TestRelayedRequestAvoidsServersThatLeave has a request come over a host to which its only server
// has announced that it leaves. There is no other server, so it gets work for the drain bound.
func TestRelayedRequestAvoidsServersThatLeave(t *testing.T) {
	is := is.New(t)
	f := newRelayingForwarder(t, newServer(t, answerComplete))
	f.Inventory.DrainBound = time.Nanosecond
	_, err := f.serve(t, config.RepeatIdempotent, forward.Request{Leaving: map[string]int64{"a": 0}, Relayed: true})
	is.Equal(kind.Of(err).Ran, kind.RanNo)
	is.Equal(f.Inventory.Leaving("s")[0].ID, "a")
}

// TestRequestOfLimitedServerIsNotHandedOn has one server without a free permit and another one that
// refuses connections. The other host may not know of the limit.
func TestRequestOfLimitedServerIsNotHandedOn(t *testing.T) {
	is := is.New(t)
	f := newRelayingForwarder(t, newServer(t, answerComplete))
	f.Client.Gate = limitedGate{}
	f.Inventory.Set(inventory.Server{Address: "127.0.0.1:1", ID: "b", Service: "s", Slots: 8})
	_, err := f.serve(t, config.RepeatNever, forward.Request{})
	is.Equal(kind.Of(err).Kind, kind.Unavailable)
	is.Equal(len(f.relay.attempts), 0)
}

// limitedGate has no permit for server a.
type limitedGate struct{}

func (limitedGate) Admit(_ context.Context, server string, _ plain.Purpose) (plain.Permit, error) {
	if server == "a" {
		return plain.Permit{}, plain.NewNotAdmitted(time.Second, "no permit")
	}
	return plain.Permit{}, nil
}

func (limitedGate) Observe(string, http.Header, time.Time) {}

// TestServerThatLeavesIsHeardOverAnotherHost has a server say in a relayed answer that it leaves.
func TestServerThatLeavesIsHeardOverAnotherHost(t *testing.T) {
	is := is.New(t)
	f := newRelayingForwarder(t, newServer(t, answerComplete))
	var left []string
	f.Client.IsLeaving = func(header http.Header) bool { return header.Get("Leaving") != "" }
	f.Client.OnLeaving = func(server string) { left = append(left, server) }
	f.relay.header = http.Header{"Leaving": {"1"}}
	f.isolate(t)
	_, err := f.serve(t, config.RepeatIdempotent, forward.Request{})
	is.NoErr(err)
	is.Equal(left, []string{"a"})
}

// TestRequestThatMayHaveRunIsNotHandedOn cuts the links while a server has the request. One
// that may be repeated is handed on for the attempts that are left.
func TestRequestThatMayHaveRunIsNotHandedOn(t *testing.T) {
	for repeat, want := range map[config.RepeatPolicy][]int{config.RepeatNever: nil, config.RepeatIdempotent: {2}} {
		is := is.New(t)
		var f *relayingForwarder
		server := newServer(t, func(w http.ResponseWriter, r *http.Request) {
			f.isolate(t)
			hang(w, r)
		})
		f = newRelayingForwarder(t, server)
		body, err := f.serve(t, repeat, forward.Request{})
		is.Equal(f.relay.attempts, want)
		is.Equal(server.count(), 1)
		if want == nil {
			is.Equal(kind.Of(err).Kind, kind.DeadlineExceeded)
			is.Equal(kind.Of(err).Ran, kind.RanUnknown)
			continue
		}
		is.NoErr(err)
		is.Equal(body, "relayed")
	}
}

// TestRequestOnLostLinksIsGivenUpAtOnce cuts the links while the only server that may run the
// request has it. A caller that may repeat it need not wait for its deadline.
func TestRequestOnLostLinksIsGivenUpAtOnce(t *testing.T) {
	is := is.New(t)
	var f *relayingForwarder
	f = newRelayingForwarder(t, newServer(t, func(w http.ResponseWriter, r *http.Request) {
		f.isolate(t)
		hang(w, r)
	}))
	began := time.Now()
	_, err := f.serve(t, config.RepeatIdempotent, forward.Request{MaxAttempts: 1})
	is.Equal(kind.Of(err).Kind, kind.OutcomeUnknown)
	is.Equal(kind.Of(err).Ran, kind.RanUnknown)
	is.Equal(len(f.relay.attempts), 0)
	is.True(time.Since(began) < 1500*time.Millisecond) // its deadline is after 2 s
}

func TestRequestIsNotHandedOnTwice(t *testing.T) {
	is := is.New(t)
	f := newRelayingForwarder(t, newServer(t, answerComplete))
	f.isolate(t)
	_, err := f.serve(t, config.RepeatIdempotent, forward.Request{Relayed: true})
	is.Equal(kind.Of(err).Ran, kind.RanNo)
	is.Equal(len(f.relay.attempts), 0)
}

// TestRelayWithUnknownOutcomeIsNotRepeated has the link to the other host break.
func TestRelayWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	for _, repeat := range []config.RepeatPolicy{config.RepeatIdempotent, config.RepeatNever} {
		is := is.New(t)
		f := newRelayingForwarder(t, newServer(t, answerComplete))
		f.isolate(t)
		f.relay.err = kind.New(kind.OutcomeUnknown, "link broke")
		_, err := f.serve(t, repeat, forward.Request{})
		is.Equal(kind.Of(err).Kind, kind.OutcomeUnknown)
		is.Equal(len(f.relay.attempts), 1)
	}
}

func TestRequestThatNoHostTakesIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newRelayingForwarder(t, newServer(t, answerComplete))
	f.isolate(t)
	f.relay.err = kind.New(kind.Unavailable, "no other host")
	began := time.Now()
	_, err := f.serve(t, config.RepeatNever, forward.Request{})
	is.Equal(kind.Of(err).Kind, kind.Unavailable)
	is.Equal(kind.Of(err).Ran, kind.RanNo)
	is.True(kind.Of(err).RetryAfter > 0)
	is.True(time.Since(began) < time.Second)
}
