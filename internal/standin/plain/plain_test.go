package plain_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/standin/plain"
)

func TestEffectsAreCountedDespiteFaults(t *testing.T) {
	is := is.New(t)
	server := &plain.Server{}
	is.NoErr(server.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	book := func(id string, fault plain.FaultKind) bool {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address+"/bookings", strings.NewReader(`{"booking-id":"`+id+`"}`))
		is.NoErr(err)
		request.Header.Set(plain.HeaderFault, string(fault))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close() //nolint:errcheck // The body has been read.
		_, err = io.ReadAll(response.Body)
		return err == nil
	}
	is.True(book("a", ""))
	is.True(!book("b", plain.FaultLoseReply))
	is.True(!book("c", plain.FaultReset))
	is.True(!book("d", plain.FaultCutShort))
	is.True(!book("e", plain.FaultCrash))
	server.Restart()
	for !book("f", "") {
	}
	is.Equal(server.GroundTruth().Effects, map[string]int{"a": 1, "b": 1, "d": 1, "f": 1})
	is.Equal(server.GroundTruth().Crashes, 1)
	cancel()
	is.NoErr(group.Wait())
}
