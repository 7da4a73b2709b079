package forward_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// TestRequestLargerThanEveryServerIsRefusedAtOnce guards against a request that is sent from server
// to server, each of which then gets fewer requests of others, though none has the memory for it.
func TestRequestLargerThanEveryServerIsRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		count          string
		told, reported int
		refused        bool
	}{
		"larger than the configuration says": {count: "900,101", told: 1000, refused: true},
		"as large as the configuration says": {count: "900,100", told: 1000},
		"smaller than the server reports":    {count: "900,101", told: 1000, reported: 2000},
		"larger than the server reports":     {count: "900,101", told: 2000, reported: 1000, refused: true},
		"nothing is known of the memory":     {count: "900,101"},
		"nothing is known of the request":    {told: 1000},
		"malformed":                          {count: "many,101", told: 1000},
		"negative":                           {count: "-1,9000", told: 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newServer(t, answerComplete)
			f := newForwarder(server)
			f.Dialect.Size = "Token-Count"
			f.KVTokens = func(string) int { return c.told }
			f.Inventory.RecordMemory("0", c.reported)
			r := request()
			r.Header.Set("Token-Count", c.count)
			err := f.Serve(t.Context(), httptest.NewRecorder(), r, config.Route{
				MaxAttempts: 2, Repeat: config.RepeatNever, Targets: []config.Target{{Service: "s", Weight: 1}},
			})
			if !c.refused {
				is.NoErr(err)
				return
			}
			is.True(kind.Is(err, kind.TooLarge))
			is.Equal(kind.Of(err).Ran, kind.RanNo)
			is.Equal(server.count(), 0)
			is.Equal(f.Inventory.Candidates("s")[0].BackingOff, false)
		})
	}
}

// TestLargeRequestGoesToTheServiceWithEnoughMemory guards against refusing a request by the memory
// of one of the services of its route.
func TestLargeRequestGoesToTheServiceWithEnoughMemory(t *testing.T) {
	is := is.New(t)
	small, large := newServer(t, answerNotRun), newServer(t, answerComplete)
	f := newForwarder(small)
	f.Inventory.Set(inventory.Server{Address: strings.TrimPrefix(large.URL, "http://"), ID: "large", Service: "large", Slots: 1, Zone: "z"})
	f.Dialect.Size = "Token-Count"
	f.KVTokens = func(service string) int { return map[string]int{"s": 500, "large": 2000}[service] }
	r := request()
	r.Header.Set("Token-Count", "900,101")
	is.NoErr(f.Serve(t.Context(), httptest.NewRecorder(), r, config.Route{
		MaxAttempts: 2, Repeat: config.RepeatNever, Targets: []config.Target{{Service: "s", Weight: 1e9}, {Service: "large", Weight: 1}},
	}))
	is.Equal(small.count(), 0)
	is.Equal(large.count(), 1)
}
