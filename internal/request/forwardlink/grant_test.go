package forwardlink_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/account"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/forwardlink/forwardlinkpb"
)

const (
	serveBound = 4 * time.Second
	copyAge    = time.Second
)

// newGrant returns a grant whose copy is copyAge old, and which ends when revoked returns true.
func newGrant(t *testing.T, revoked func() bool) *account.Grant {
	t.Helper()
	is := is.New(t)
	c := &config.Config{Accounts: []config.Account{{Keys: []config.Digest{config.DigestOf("k")}, Name: "a"}}}
	c.IndexAccounts()
	gate := &account.Gate{
		Age: func() account.Age { return account.Age{Known: true, Value: copyAge} }, Bounds: account.Bounds{Refuse: serveBound, Serve: serveBound},
		Config: func() *config.Config {
			if revoked() {
				other := &config.Config{Accounts: []config.Account{{Name: "a"}}}
				other.IndexAccounts()
				return other
			}
			return c
		}, Logger: slog.New(slog.DiscardHandler),
	}
	grant, err := gate.Authenticate("k")
	is.NoErr(err)
	return grant
}

func TestGrantPassesWithWhatIsLeft(t *testing.T) {
	is := is.New(t)
	var got *account.Grant
	entry, _, _ := start(t, "h1", &fakeHost{serve: func(_ context.Context, w http.ResponseWriter, r forward.Request) error {
		got = r.Grant
		w.WriteHeader(http.StatusOK)
		return nil
	}})
	request, before := newRequest(), boottime.Now()
	request.Grant = newGrant(t, func() bool { return false })
	response, _, err := newClient(t, entry).Forward(t.Context(), request, time.Now().Add(testTimeout), 1)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(got.Account, "a")
	is.Equal(got.Key, config.DigestOf("k"))
	is.True(got.Expires > before && got.Expires <= boottime.Now().Add(serveBound-copyAge))
}

// TestRevokedKeyIsNotHandedOn takes the key away while the request is on offer.
func TestRevokedKeyIsNotHandedOn(t *testing.T) {
	is := is.New(t)
	h := &fakeHost{}
	entry, _, _ := start(t, "h1", h)
	request := newRequest()
	request.Grant = newGrant(t, func() bool { offers, _ := h.counts(); return offers > 0 })
	_, _, err := newClient(t, entry).Forward(t.Context(), request, time.Now().Add(testTimeout), 1)
	is.True(kind.Is(err, kind.Unauthorized))
	_, served := h.counts()
	is.Equal(served, 0)
}

// earlierServer accepts requests as hosts do that know no client accounts.
type earlierServer struct {
	forwardlinkpb.UnimplementedForwardLinkServer

	requests atomic.Int64
}

func (s *earlierServer) Forward(stream forwardlinkpb.ForwardLink_ForwardServer) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	verdict := &forwardlinkpb.Verdict{Accepted: true}
	if err := stream.Send(&forwardlinkpb.AnswerPart{Part: &forwardlinkpb.AnswerPart_Verdict{Verdict: verdict}}); err != nil {
		return err
	}
	if _, err := stream.Recv(); err == nil {
		s.requests.Add(1)
	}
	return nil
}

// TestEarlierVersionGetsNoRequestsOfAccounts guards UNASKED: such a host names no account.
func TestEarlierVersionGetsNoRequestsOfAccounts(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	earlier := &earlierServer{}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		s := &peer.Server{Address: address, Register: func(s *grpc.Server) { forwardlinkpb.RegisterForwardLinkServer(s, earlier) }}
		return s.Run(ctx)
	})
	t.Cleanup(func() {
		cancel()
		is.NoErr(group.Wait())
	})
	request := newRequest()
	request.Grant = newGrant(t, func() bool { return false })
	c := newClient(t, roster.Host{ID: "h1", PeerAddress: address})
	for range 20 {
		_, _, err = c.Forward(t.Context(), request, time.Now().Add(testTimeout), 1)
		is.Equal(kind.Of(err).Ran, kind.RanNo)
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(earlier.requests.Load(), int64(0))
}
