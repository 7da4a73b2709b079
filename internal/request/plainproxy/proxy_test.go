package plainproxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/plainproxy"
	standin "github.com/nutmegway/nutmegway/internal/standin/plain"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bench is a proxy before stand-ins of a plain service.
type bench struct {
	document document.Document
	plains   []*standin.Server
	servers  []server.Server
	url      string
}

func (b *bench) Document(service string) (document.Accepted, bool) {
	return document.Accepted{Document: b.document}, service == "portal"
}

func (b *bench) Documents() []document.Accepted { return nil }

func (b *bench) Server(string) (server.Server, bool) { return server.Server{}, false }

func (b *bench) Servers(string) []server.Server { return b.servers }

// newBench starts a number of stand-ins; further ones are added with add.
func newBench(t *testing.T, plains int) *bench {
	t.Helper()
	is := is.New(t)
	d, mistakes := document.Parse([]byte("[service]\nkind = plain\nname = portal\nteam = halvorsen\n" +
		"[retry]\ndefault = always\n[repeat \"POST /bookings\"]\nrepeat = never\n"))
	is.Equal(len(mistakes), 0)
	b := &bench{document: d}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	for range plains {
		s := &standin.Server{}
		is.NoErr(s.Listen())
		group.Go(func() error { return s.Run(ctx) })
		b.plains = append(b.plains, s)
		b.add(s.Address)
	}
	client := &plain.Client{}
	proxy := &plainproxy.Proxy{
		Client:    client,
		Documents: b,
		Logger:    slog.New(slog.DiscardHandler),
		Policy:    &balance.RoundRobin[plainproxy.Candidate]{},
		Servers:   b,
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/plain/{service}/", proxy)
	front := httptest.NewServer(mux)
	b.url = front.URL + "/v1/plain/portal"
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		front.Close()
		client.CloseIdle()
		cancel()
		is.NoErr(group.Wait())
	})
	return b
}

func (b *bench) add(address string) {
	b.servers = append(b.servers, server.Server{Address: address, ID: fmt.Sprint("s", len(b.servers))})
}

// addDown adds a server that refuses connections, before the others.
func (b *bench) addDown(t *testing.T) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(listener.Close())
	b.servers = append([]server.Server{{Address: listener.Addr().String(), ID: "down"}}, b.servers...)
}

func (b *bench) effects() int {
	total := 0
	for _, s := range b.plains {
		for _, n := range s.Truth().Effects {
			total += n
		}
	}
	return total
}

func (b *bench) do(t *testing.T, method, path, body string, header http.Header) (string, *kind.Error) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), method, b.url+path, strings.NewReader(body))
	is.NoErr(err)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { is.NoErr(response.Body.Close()) }()
	if response.StatusCode >= http.StatusBadRequest {
		return "", refusal.Read(response)
	}
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return string(text), nil
}

const bookingBody = `{"booking-id":"b1"}`

func fault(f standin.FaultKind) http.Header {
	return http.Header{standin.HeaderFault: {string(f)}}
}

func TestRefusedConnectionGoesElsewhereAlsoForABooking(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1)
	b.addDown(t)
	body, refused := b.do(t, http.MethodPost, "/bookings", bookingBody, nil)
	is.Equal(refused, nil)
	is.Equal(body, `{"booked":"b1"}`)
	is.Equal(b.effects(), 1)
}

func TestOnlyDownServersMeansNotRun(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0)
	b.addDown(t)
	_, refused := b.do(t, http.MethodPost, "/bookings", bookingBody, nil)
	is.Equal(refused.Kind, kind.Unavailable)
	is.Equal(refused.Ran, kind.RanNo)
	is.True(refused.RetryAfter > 0)
}

func TestBookingWithDoubtIsNotRepeated(t *testing.T) {
	for _, f := range []standin.FaultKind{standin.FaultReset, standin.FaultLoseReply} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 2)
			_, refused := b.do(t, http.MethodPost, "/bookings", bookingBody, fault(f))
			is.Equal(refused.Kind, kind.OutcomeUnknown)
			is.Equal(refused.Ran, kind.RanUnknown)
			is.True(b.effects() <= 1)
		})
	}
}

func TestLookUpIsRepeatedElsewhere(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2)
	b.plains[0].Inject(standin.FaultReset)
	b.plains[1].Inject(standin.FaultReset)
	_, refused := b.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused.Kind, kind.OutcomeUnknown)
	is.True(refused.RetryAfter > 0)
	b.plains[0].Inject(standin.FaultReset)
	body, refused := b.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused, nil)
	is.Equal(body, standin.LookupBody("/plots/7", 0))
}

// TestLaterRefusalDoesNotHideAnEarlierDoubt tries a server that breaks after the
// request and then one that refuses the connection.
func TestLaterRefusalDoesNotHideAnEarlierDoubt(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1)
	b.plains[0].Inject(standin.FaultReset)
	b.addDown(t)
	b.servers[0], b.servers[1] = b.servers[1], b.servers[0]
	_, refused := b.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused.Kind, kind.OutcomeUnknown)
	is.Equal(refused.Ran, kind.RanUnknown)
}

func TestAnswerCutShortIsNotTakenForAWholeOne(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, b.url+"/plots/7?bytes=100000", nil)
	is.NoErr(err)
	request.Header = fault(standin.FaultCutShort)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	is.NoErr(response.Body.Close())
}

func TestHungServerIsGivenUpForAnother(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2)
	for range 40 {
		_, refused := b.do(t, http.MethodGet, "/plots/7", "", nil)
		is.Equal(refused, nil)
	}
	b.plains[0].Inject(standin.FaultHang)
	body, refused := b.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused, nil)
	is.Equal(body, standin.LookupBody("/plots/7", 0))
}

// TestHungServerIsGivenUpBeforeAnythingIsKnown leaves half of the time to the
// second server.
func TestHungServerIsGivenUpBeforeAnythingIsKnown(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2)
	b.plains[0].Inject(standin.FaultHang)
	deadline := time.Now().Add(6 * time.Second).Format(time.RFC3339Nano)
	body, refused := b.do(t, http.MethodGet, "/plots/7", "", http.Header{refusal.HeaderDeadline: {deadline}})
	is.Equal(refused, nil)
	is.Equal(body, standin.LookupBody("/plots/7", 0))
}

func TestHedgeOvertakesASlowServer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2)
	b.document.Retry.Hedge = true
	b.plains[0].SlowTime, b.plains[1].SlowTime = time.Minute, time.Minute
	for range 40 {
		_, refused := b.do(t, http.MethodGet, "/plots/7", "", nil)
		is.Equal(refused, nil)
	}
	b.plains[0].Inject(standin.FaultHang)
	body, refused := b.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused, nil)
	is.Equal(body, standin.LookupBody("/plots/7", 0))
}

// TestUploadToADyingServer streams a body without a length. The server closes
// after its first part, and the caller hears of it while it still sends.
func TestUploadToADyingServer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	b.add(listener.Addr().String())
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		_, _ = bufio.NewReader(conn).ReadString('\n')
		return conn.Close()
	})
	reader, writer := io.Pipe()
	group.Go(func() error {
		for range 1000 {
			if _, err := writer.Write(make([]byte, 1000)); err != nil {
				return nil //nolint:nilerr // The proxy stops reading.
			}
		}
		return writer.Close()
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.url+"/bookings", reader)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		is.Equal(refusal.Read(response).Ran, kind.RanUnknown)
		is.NoErr(response.Body.Close())
	}
	is.NoErr(reader.Close())
	is.NoErr(group.Wait())
	is.NoErr(listener.Close())
}

func TestServersThatFailFastGetLittleWork(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 3)
	var failed atomic.Int32
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failed.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer broken.Close()
	b.add(broken.Listener.Addr().String())
	for range 200 {
		_, refused := b.do(t, http.MethodGet, "/plots/7", "", nil)
		is.Equal(refused, nil)
	}
	is.True(failed.Load() < 20)
}

// TestRefusedBodyLeavesItsConnectionInOrder refuses bookings whose bodies no
// backend server has read, and sends the next one over the same connection.
func TestRefusedBodyLeavesItsConnectionInOrder(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0)
	b.addDown(t)
	for i := range 5 {
		var reused bool
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
		})
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/bookings", strings.NewReader(`{"booking-id":"a"}`))
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(reused, i > 0) // the server did not end the connection
	}
}

// TestRequestThatEndsPlainServersIsNotSentOn repeats a request under which each server
// ends, beside sound ones.
func TestRequestThatEndsPlainServersIsNotSentOn(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 4)
	get := func(path string) int {
		response, err := http.Get(b.url + path)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	crashes := func() int {
		total := 0
		for _, s := range b.plains {
			total += s.Truth().Crashes
			s.Restart()
		}
		return total
	}
	for crashes() < 3 {
		is.True(get("/plots/[poison]") != http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	before, served := crashes(), 0
	for range 20 {
		is.True(get("/plots/[poison]") != http.StatusOK)
		if get("/plots/7") == http.StatusOK {
			served++
		}
		crashes()
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("servers ended %d times before and %d times after, %d of 20 other requests served", before, crashes()-before, served)
	is.True(crashes()-before <= 3)
	is.Equal(served, 20)
}
