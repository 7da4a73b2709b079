package hostlist_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	standin "github.com/nutmegway/nutmegway/internal/standin/hostlist"
)

func start(t *testing.T, lag time.Duration) (*standin.Server, hostlist.Client) {
	t.Helper()
	is := is.New(t)
	server := &standin.Server{Lag: lag}
	is.NoErr(server.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		is.NoErr(group.Wait())
	})
	return server, hostlist.Client{BaseURL: server.URL()}
}

func TestReadOmitsHostsOfKnownRevision(t *testing.T) {
	is := is.New(t)
	server, client := start(t, 0)
	server.Set(hostlist.Host{ID: "b", State: hostlist.StateLive}, hostlist.Host{ID: "a", State: hostlist.StateLive})
	server.SetState("a", hostlist.StateLeaving)

	list, err := client.Read(t.Context(), 0)
	is.NoErr(err)
	is.Equal(list.Revision, int64(2))
	is.Equal(list.Hosts[0], hostlist.Host{ID: "a", State: hostlist.StateLeaving})

	again, err := client.Read(t.Context(), list.Revision)
	is.NoErr(err)
	is.Equal(again.Revision, list.Revision)
	is.Equal(len(again.Hosts), 0)
}

func TestChangeIsHiddenDuringLag(t *testing.T) {
	is := is.New(t)
	server, client := start(t, time.Hour)
	server.Set(hostlist.Host{ID: "a"})
	list, err := client.Read(t.Context(), 0)
	is.NoErr(err)
	is.Equal(len(list.Hosts), 0)
}

func TestDownListIsUnavailable(t *testing.T) {
	is := is.New(t)
	server, client := start(t, 0)
	server.SetDown(true)
	_, err := client.Read(t.Context(), 0)
	is.True(kind.Is(err, kind.Unavailable))
}
