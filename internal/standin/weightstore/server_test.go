package weightstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
	standin "github.com/nutmegway/nutmegway/internal/standin/weightstore"
)

func TestVersionsAreOrderedAndTheRateIsLimited(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{Burst: 5, Rate: 1e-6}
	is.NoErr(server.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx) })
	defer func() {
		cancel()
		is.NoErr(group.Wait())
	}()
	client := weightstore.Client{BaseURL: server.URL()}

	for _, number := range []int64{2, 1} {
		is.NoErr(client.Publish(ctx, weightstore.Version{Model: "m/1", Number: number, Bytes: 10}))
	}
	is.NoErr(client.Publish(ctx, weightstore.Version{Model: "m/1", Number: 2, Bytes: 10}))
	err := client.Publish(ctx, weightstore.Version{Model: "m/1", Number: 2, Bytes: 11})
	is.True(kind.Is(err, kind.Conflict))
	versions, err := client.Versions(ctx, "m/1")
	is.NoErr(err)
	is.Equal(len(versions), 2)
	is.Equal(versions[0].Number, int64(1))

	_, err = client.Versions(ctx, "m/1")
	is.True(kind.Is(err, kind.Overloaded))
	is.Equal(kind.Of(err).RetryAfter, time.Second)
	calls, limited := server.Calls()
	is.Equal(calls, int64(6))
	is.Equal(limited, int64(1))
}
