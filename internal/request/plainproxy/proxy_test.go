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
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/plainproxy"
	standin "github.com/nutmegway/nutmegway/internal/standin/plain"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a proxy in front of stand-ins for the servers of a plain service. It
// implements the views of documents and servers.
type fixture struct {
	document document.Document
	standins []*standin.Server
	servers  []server.Server
	url      string
}

func (fx *fixture) Document(service string) (document.Accepted, bool) {
	return document.Accepted{Document: fx.document}, service == "portal"
}

func (fx *fixture) Documents() []document.Accepted { return nil }

func (fx *fixture) Server(string) (server.Server, bool) { return server.Server{}, false }

func (fx *fixture) Servers(string) []server.Server { return fx.servers }

// newFixture starts a proxy and a number of stand-ins. Further servers are added with
// addServer and addRefusing.
func newFixture(t *testing.T, servers int) *fixture {
	t.Helper()
	return newFixtureWith(t, servers, &plain.Client{}, slog.DiscardHandler)
}

// newFixtureWith is newFixture with the proxy's client and the handler of its log.
func newFixtureWith(t *testing.T, servers int, client *plain.Client, log slog.Handler) *fixture {
	t.Helper()
	is := is.New(t)
	d, mistakes := document.Parse([]byte("[service]\nkind = plain\nname = portal\nteam = halvorsen\n" +
		"[retry]\ndefault = always\n[repeat \"POST /bookings\"]\nrepeat = never\n"))
	is.Equal(len(mistakes), 0)
	fx := &fixture{document: d}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	for range servers {
		s := &standin.Server{}
		is.NoErr(s.Listen())
		group.Go(func() error { return s.Run(ctx) })
		fx.standins = append(fx.standins, s)
		fx.addServer(s.Address)
	}
	proxy := &plainproxy.Proxy{
		Client:    client,
		Documents: fx,
		Logger:    slog.New(log),
		Policy:    &balance.RoundRobin[plainproxy.Candidate]{},
		Servers:   fx,
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/plain/{service}/", proxy)
	front := httptest.NewServer(mux)
	fx.url = front.URL + "/v1/plain/portal"
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		front.Close()
		client.CloseIdle()
		cancel()
		is.NoErr(group.Wait())
	})
	return fx
}

// addServer adds a server after the others.
func (fx *fixture) addServer(address string) {
	fx.servers = append(fx.servers, server.Server{Address: address, ID: fmt.Sprint("s", len(fx.servers))})
}

// addRefusing adds a server that refuses connections before the others.
func (fx *fixture) addRefusing(t *testing.T) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(listener.Close())
	fx.servers = append([]server.Server{{Address: listener.Addr().String(), ID: "down"}}, fx.servers...)
}

// effects returns how often requests have taken effect, in total over all stand-ins.
func (fx *fixture) effects() int {
	total := 0
	for _, s := range fx.standins {
		for _, n := range s.GroundTruth().Effects {
			total += n
		}
	}
	return total
}

// do sends a request and returns the response body or the error of the proxy.
func (fx *fixture) do(t *testing.T, method, path, body string, header http.Header) (string, *kind.Error) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), method, fx.url+path, strings.NewReader(body))
	is.NoErr(err)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { is.NoErr(response.Body.Close()) }()
	if response.StatusCode >= http.StatusBadRequest {
		return "", httperror.Read(response)
	}
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return string(text), nil
}

const bookingBody = `{"booking-id":"b1"}`

// fault returns the header that requests a fault from the stand-in.
func fault(f standin.FaultKind) http.Header {
	return http.Header{standin.HeaderFault: {string(f)}}
}

func TestRefusedConnectionIsRetriedForNonRepeatableRequest(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	fx.addRefusing(t)
	body, refused := fx.do(t, http.MethodPost, "/bookings", bookingBody, nil)
	is.Equal(refused, nil)
	is.Equal(body, `{"booked":"b1"}`)
	is.Equal(fx.effects(), 1)
}

func TestRequestIsNotRunWhenAllServersRefuse(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0)
	fx.addRefusing(t)
	_, refused := fx.do(t, http.MethodPost, "/bookings", bookingBody, nil)
	is.Equal(refused.Kind, kind.Unavailable)
	is.Equal(refused.Ran, kind.RanNo)
	is.True(refused.RetryAfter > 0)
}

func TestBookingOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	for _, f := range []standin.FaultKind{standin.FaultReset, standin.FaultLoseReply} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 2)
			_, refused := fx.do(t, http.MethodPost, "/bookings", bookingBody, fault(f))
			is.Equal(refused.Kind, kind.OutcomeUnknown)
			is.Equal(refused.Ran, kind.RanUnknown)
			is.True(fx.effects() <= 1)
		})
	}
}

func TestLookUpIsRepeatedOnAnotherServer(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 2)
	fx.standins[0].Inject(standin.FaultReset)
	fx.standins[1].Inject(standin.FaultReset)
	_, refused := fx.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused.Kind, kind.OutcomeUnknown)
	is.True(refused.RetryAfter > 0)
	fx.standins[0].Inject(standin.FaultReset)
	body, refused := fx.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused, nil)
	is.Equal(body, standin.LookupBody("/plots/7", 0))
}

// TestRefusalDoesNotHideEarlierUnknownOutcome has the first server reset the connection
// after the request, and the second one refuse it.
func TestRefusalDoesNotHideEarlierUnknownOutcome(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	fx.standins[0].Inject(standin.FaultReset)
	fx.addRefusing(t)
	fx.servers[0], fx.servers[1] = fx.servers[1], fx.servers[0]
	_, refused := fx.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused.Kind, kind.OutcomeUnknown)
	is.Equal(refused.Ran, kind.RanUnknown)
}

func TestTruncatedResponseFailsForCaller(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fx.url+"/plots/7?bytes=100000", nil)
	is.NoErr(err)
	request.Header = fault(standin.FaultCutShort)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	is.NoErr(response.Body.Close())
}

func TestAttemptAtHungServerTimesOut(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 2)
	for range 40 {
		_, refused := fx.do(t, http.MethodGet, "/plots/7", "", nil)
		is.Equal(refused, nil)
	}
	fx.standins[0].Inject(standin.FaultHang)
	body, refused := fx.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused, nil)
	is.Equal(body, standin.LookupBody("/plots/7", 0))
}

// TestAttemptAtHungServerTimesOutWithoutLatencyData checks that the attempt is cancelled
// after half of the time left, before any response times are known.
func TestAttemptAtHungServerTimesOutWithoutLatencyData(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 2)
	fx.standins[0].Inject(standin.FaultHang)
	deadline := time.Now().Add(6 * time.Second).Format(time.RFC3339Nano)
	body, refused := fx.do(t, http.MethodGet, "/plots/7", "", http.Header{httperror.HeaderDeadline: {deadline}})
	is.Equal(refused, nil)
	is.Equal(body, standin.LookupBody("/plots/7", 0))
}

func TestHedgedRequestWinsAgainstHungServer(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 2)
	fx.document.Retry.Hedge = true
	fx.standins[0].SlowTime, fx.standins[1].SlowTime = time.Minute, time.Minute
	for range 40 {
		_, refused := fx.do(t, http.MethodGet, "/plots/7", "", nil)
		is.Equal(refused, nil)
	}
	fx.standins[0].Inject(standin.FaultHang)
	body, refused := fx.do(t, http.MethodGet, "/plots/7", "", nil)
	is.Equal(refused, nil)
	is.Equal(body, standin.LookupBody("/plots/7", 0))
}

// TestServerClosesDuringUpload streams a body of unknown length. The server closes the
// connection after the first part, and the caller gets the error while it still sends.
func TestServerClosesDuringUpload(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	fx.addServer(listener.Addr().String())
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
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fx.url+"/bookings", reader)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		is.Equal(httperror.Read(response).Ran, kind.RanUnknown)
		is.NoErr(response.Body.Close())
	}
	is.NoErr(reader.Close())
	is.NoErr(group.Wait())
	is.NoErr(listener.Close())
}

func TestFastFailingServerGetsFewRequests(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 3)
	var failed atomic.Int32
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failed.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer broken.Close()
	fx.addServer(broken.Listener.Addr().String())
	for range 200 {
		_, refused := fx.do(t, http.MethodGet, "/plots/7", "", nil)
		is.Equal(refused, nil)
	}
	is.True(failed.Load() < 20)
}

// TestConnectionIsReusedAfterRefusedRequest checks that the proxy drains the bodies of
// refused requests that no backend server has read, so that the next request can use the
// same connection.
func TestConnectionIsReusedAfterRefusedRequest(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0)
	fx.addRefusing(t)
	for i := range 5 {
		var reused bool
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
		})
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, fx.url+"/bookings", strings.NewReader(`{"booking-id":"a"}`))
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(reused, i > 0) // the proxy has kept the connection open
	}
}

// TestRequestThatEndsPlainServersIsNotSentOn repeats a request that crashes each server it
// reaches, beside harmless requests.
func TestRequestThatEndsPlainServersIsNotSentOn(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 4)
	get := func(path string) int {
		response, err := http.Get(fx.url + path)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	crashes := func() int {
		total := 0
		for _, s := range fx.standins {
			total += s.GroundTruth().Crashes
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
	t.Logf("servers crashed %d times before and %d times after, %d of 20 other requests served", before, crashes()-before, served)
	is.True(crashes()-before <= 3)
	is.Equal(served, 20)
}
