package forwardlink_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/forwardlink"
	"github.com/nutmegway/nutmegway/internal/request/forwardlink/forwardlinkpb"
)

// testTimeout bounds what a test waits for.
const testTimeout = 30 * time.Second

// fakeHost is a host that takes requests.
type fakeHost struct {
	refuse error
	serve  func(ctx context.Context, w http.ResponseWriter, request forward.Request) error

	mu      sync.Mutex
	offers  int
	serving int
}

func (h *fakeHost) AcceptForwarded(int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offers++
	return h.refuse
}

func (h *fakeHost) ServeForwarded(ctx context.Context, w http.ResponseWriter, request forward.Request) error {
	h.mu.Lock()
	h.serving++
	h.mu.Unlock()
	return h.serve(ctx, w, request)
}

func (h *fakeHost) ReachesServers(context.Context) bool { return h.refuse == nil }

func (h *fakeHost) counts() (offers, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.offers, h.serving
}

// start serves h and returns its entry, its server and a function that ends its process.
func start(t *testing.T, id string, h *fakeHost) (entry roster.Host, server *forwardlink.Server, stop func()) {
	t.Helper()
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	server = &forwardlink.Server{Host: h, Logger: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	registered := make(chan struct{})
	group.Go(func() error {
		s := &peer.Server{Address: address, Register: func(s *grpc.Server) {
			server.Register(s)
			close(registered)
		}}
		return s.Run(ctx)
	})
	<-registered
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			is.NoErr(group.Wait())
		})
	}
	t.Cleanup(stop)
	return roster.Host{ID: id, PeerAddress: address}, server, stop
}

func newClient(t *testing.T, hosts ...roster.Host) *forwardlink.Client {
	t.Helper()
	links := &peer.Links{Options: peer.LocalDialOptions()}
	t.Cleanup(links.Close)
	return &forwardlink.Client{
		ConfigVersion: func() int64 { return 7 }, Hosts: func() []roster.Host { return hosts }, Links: links,
		Logger: slog.New(slog.DiscardHandler),
	}
}

func newRequest() forward.Request {
	return forward.Request{
		Body: []byte("body"), Header: http.Header{"X-A": {"1", "2\xe9"}}, Host: "h", ID: "r1", Leaving: map[string]int64{"s2": 7}, Method: http.MethodPost, Target: "/n/x?y=%2F\xff",
	}
}

func forwardTo(t *testing.T, c *forwardlink.Client) (*http.Response, error) {
	t.Helper()
	response, _, err := c.Forward(t.Context(), newRequest(), time.Now().Add(testTimeout), 2)
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	return response, err
}

// TestOddStatusOverTheLinkIsNoAnswer guards against a host of an earlier version that hands back an
// answer whose status ends no exchange.
func TestOddStatusOverTheLinkIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999, -1} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			entry, _, _ := start(t, "h1", &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, _ forward.Request) error {
				w.WriteHeader(status)
				_, err := io.WriteString(w, "odd")
				return err
			}})
			_, err := forwardTo(t, newClient(t, entry))
			is.True(kind.Is(err, kind.OutcomeUnknown))
			is.Equal(kind.Of(err).Ran, kind.RanUnknown)
		})
	}
}

// TestOddFieldOverTheLinkIsNoAnswer guards against a host of an earlier version that hands back an
// answer in whose head a line was no field.
func TestOddFieldOverTheLinkIsNoAnswer(t *testing.T) {
	for _, name := range []string{"X-Odd ", "X Odd", "Transfer-Encoding ", " X-Odd", "X-\x01Odd", ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry, _, _ := start(t, "h1", &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, _ forward.Request) error {
				w.Header()[name] = []string{"1"}
				_, err := io.WriteString(w, "odd")
				return err
			}})
			_, err := forwardTo(t, newClient(t, entry))
			is.True(kind.Is(err, kind.OutcomeUnknown))
			is.Equal(kind.Of(err).Ran, kind.RanUnknown)
		})
	}
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	is := is.New(t)
	var got forward.Request
	entry, _, _ := start(t, "h1", &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, r forward.Request) error {
		got = r
		if recorder, ok := w.(forward.ServerRecorder); ok {
			recorder.RecordServer("s1")
		}
		w.Header()["X-B"] = []string{"3", "4\xe9"}
		w.WriteHeader(http.StatusTeapot)
		_, err := io.WriteString(w, "answer")
		return err
	}})
	response, server, err := newClient(t, entry).Forward(t.Context(), newRequest(), time.Now().Add(testTimeout), 2)
	is.NoErr(err)
	defer func() { is.NoErr(response.Body.Close()) }()
	is.Equal(server, "s1")
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "answer")
	is.Equal(response.StatusCode, http.StatusTeapot)
	is.Equal(response.Header.Values("X-B"), []string{"3", "4\xe9"})
	want := newRequest()
	want.Arrived, want.Budget, want.Relayed, want.MaxAttempts = got.Arrived, got.Budget, true, 2
	is.Equal(got, want)
	is.True(got.Budget > 0 && got.Budget <= testTimeout)
	is.True(time.Until(got.Arrived.Add(got.Budget)) <= testTimeout) // the time budget doesn't start anew
}

// TestEventsPassAsTheyAreWritten has a server write each event only once the caller has the one
// before it.
func TestEventsPassAsTheyAreWritten(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	entry, _, _ := start(t, "h1", &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, _ forward.Request) error {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range 3 {
			fmt.Fprintf(w, "id: %d\n\n", n)
			if err := http.NewResponseController(w).Flush(); err != nil {
				return err
			}
			<-next
		}
		return nil
	}})
	response, err := forwardTo(t, newClient(t, entry))
	is.NoErr(err)
	for n := range 3 {
		event := fmt.Sprintf("id: %d\n\n", n)
		got := make([]byte, len(event))
		_, err := io.ReadFull(response.Body, got)
		is.NoErr(err)
		is.Equal(string(got), event)
		next <- struct{}{}
	}
	_, err = response.Body.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
}

func TestInterruptedAnswerIsNotComplete(t *testing.T) {
	is := is.New(t)
	entry, _, _ := start(t, "h1", &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, _ forward.Request) error {
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	}})
	response, err := forwardTo(t, newClient(t, entry))
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.Equal(string(body), "part")
	is.True(err != nil)
}

func TestRequestEndsWhenItsCallerLeaves(t *testing.T) {
	is := is.New(t)
	begun, ended := make(chan struct{}), make(chan struct{})
	entry, _, _ := start(t, "h1", &fakeHost{serve: func(ctx context.Context, _ http.ResponseWriter, _ forward.Request) error {
		close(begun)
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	}})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		<-begun
		cancel()
		return nil
	})
	_, _, err := newClient(t, entry).Forward(ctx, newRequest(), time.Now().Add(testTimeout), 2)
	is.Equal(kind.Of(err).Kind, kind.Cancelled)
	is.NoErr(group.Wait())
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the request still runs")
	}
}

// TestRequestThatNobodyTakesHasNotRun offers a request to hosts that refuse, that are gone and
// that don't answer.
func TestRequestThatNobodyTakesHasNotRun(t *testing.T) {
	is := is.New(t)
	refusing := &fakeHost{refuse: errors.New("isolated too")}
	entry, _, _ := start(t, "h1", refusing)
	gone, _, stop := start(t, "h2", &fakeHost{})
	stop()
	silent, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	began := time.Now()
	_, err = forwardTo(t, newClient(t, entry, gone, roster.Host{ID: "h3", PeerAddress: silent.Addr().String()}))
	is.Equal(kind.Of(err).Ran, kind.RanNo)
	is.Equal(kind.Of(err).Kind, kind.Unavailable)
	is.True(time.Since(began) < 5*time.Second)
	offers, served := refusing.counts()
	is.Equal(offers, 1)
	is.Equal(served, 0)
}

func TestRequestGoesToAnotherHostAfterARefusal(t *testing.T) {
	is := is.New(t)
	refusing := &fakeHost{refuse: errors.New("leaving")}
	serving := &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, _ forward.Request) error {
		w.WriteHeader(http.StatusOK)
		return nil
	}}
	first, _, _ := start(t, "h1", refusing)
	second, _, _ := start(t, "h2", serving)
	client := newClient(t, first, second)
	const requests = 20
	for range requests {
		response, err := forwardTo(t, client)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	offers, _ := refusing.counts()
	_, served := serving.counts()
	is.Equal(served, requests)
	is.True(offers <= 2) // a host that refused is tried last for a while
}

func TestRequestsSpreadOverHosts(t *testing.T) {
	is := is.New(t)
	var entries []roster.Host
	var hosts []*fakeHost
	for n := range 4 {
		h := &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, _ forward.Request) error {
			w.WriteHeader(http.StatusOK)
			return nil
		}}
		entry, _, _ := start(t, fmt.Sprint("h", n), h)
		entries, hosts = append(entries, entry), append(hosts, h)
	}
	client := newClient(t, entries...)
	const requests = 100
	for range requests {
		_, err := forwardTo(t, client)
		is.NoErr(err)
	}
	for _, h := range hosts {
		_, served := h.counts()
		is.True(served >= requests/len(hosts)/3)
	}
}

// TestRequestOnLinkThatBreaksMayHaveRun ends the process of a host that has a request.
func TestRequestOnLinkThatBreaksMayHaveRun(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	entry, _, stop := start(t, "h1", &fakeHost{serve: func(ctx context.Context, _ http.ResponseWriter, _ forward.Request) error {
		close(begun)
		<-ctx.Done()
		return ctx.Err()
	}})
	var group errgroup.Group
	group.Go(func() error {
		<-begun
		stop()
		return nil
	})
	_, err := forwardTo(t, newClient(t, entry))
	is.NoErr(group.Wait())
	is.Equal(kind.Of(err).Ran, kind.RanUnknown)
	is.Equal(kind.Of(err).Kind, kind.OutcomeUnknown)
}

// TestRequestThatAStalledLinkDeliversLateIsNotRun sends the request long after its offer was
// accepted. Its caller may have left by then.
func TestRequestThatAStalledLinkDeliversLateIsNotRun(t *testing.T) {
	is := is.New(t)
	h := &fakeHost{}
	entry, _, _ := start(t, "h1", h)
	links := &peer.Links{Options: peer.LocalDialOptions()}
	defer links.Close()
	link, err := links.Acquire(entry.PeerAddress)
	is.NoErr(err)
	defer links.Release(link, false)
	stream, err := forwardlinkpb.NewForwardLinkClient(link.Conn).Forward(t.Context())
	is.NoErr(err)
	is.NoErr(stream.Send(&forwardlinkpb.ForwardPart{Part: &forwardlinkpb.ForwardPart_Offer{Offer: &forwardlinkpb.Offer{RequestId: "r1"}}}))
	verdict, err := stream.Recv()
	is.NoErr(err)
	is.True(verdict.GetVerdict().GetAccepted())
	time.Sleep(1200 * time.Millisecond)
	request := &forwardlinkpb.Request{BudgetMicros: time.Minute.Microseconds(), Host: []byte("h"), MaxAttempts: 2, Method: http.MethodPost, Target: []byte("/n/x")}
	is.NoErr(stream.Send(&forwardlinkpb.ForwardPart{Part: &forwardlinkpb.ForwardPart_Request{Request: request}}))
	answer, err := stream.Recv()
	is.NoErr(err)
	is.Equal(answer.GetFailure().GetRan(), string(kind.RanNo))
	_, served := h.counts()
	is.Equal(served, 0)
}

func TestHostConfirmsThatItReachesServers(t *testing.T) {
	is := is.New(t)
	connected, _, _ := start(t, "h1", &fakeHost{})
	isolated, _, _ := start(t, "h2", &fakeHost{refuse: errors.New("isolated too")})
	gone, _, stop := start(t, "h3", &fakeHost{})
	stop()
	client := newClient(t)
	is.True(client.ReachesServers(t.Context(), connected))
	is.True(!client.ReachesServers(t.Context(), isolated))
	is.True(!client.ReachesServers(t.Context(), gone))
}

func TestFailureKeepsItsKind(t *testing.T) {
	is := is.New(t)
	failure := kind.New(kind.Quarantined, "refused for now").WithRetryAfter(1234 * time.Millisecond)
	entry, _, _ := start(t, "h1", &fakeHost{serve: func(context.Context, http.ResponseWriter, forward.Request) error { return failure }})
	_, err := forwardTo(t, newClient(t, entry))
	got := kind.Of(err)
	is.Equal(got.Kind, kind.Quarantined)
	is.Equal(got.Ran, kind.RanNo)
	is.Equal(got.RetryAfter, 1234*time.Millisecond)
}

func TestLeavingHostWaitsForRequestsOfOthers(t *testing.T) {
	is := is.New(t)
	begun, finish := make(chan struct{}), make(chan struct{})
	entry, server, _ := start(t, "h1", &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, _ forward.Request) error {
		close(begun)
		<-finish
		w.WriteHeader(http.StatusOK)
		return nil
	}})
	client := newClient(t, entry)
	var group errgroup.Group
	group.Go(func() error {
		_, err := forwardTo(t, client)
		return err
	})
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	server.AwaitIdle(ctx)
	is.True(ctx.Err() != nil) // it still waits
	cancel()
	close(finish)
	server.AwaitIdle(t.Context())
	is.NoErr(group.Wait())
}
