package host

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// TestCallerAddressesOfLargeFleet asks each host of a fleet of 300 twice. Each answer
// must hold maxAddresses addresses and must not change between the two calls, and all
// answers together must name every host about equally often.
func TestCallerAddressesOfLargeFleet(t *testing.T) {
	is := is.New(t)
	const hosts = 300
	var change mirror.Change
	for i := range hosts {
		id := fmt.Sprintf("h%03d", i)
		value, err := json.Marshal(roster.Host{Address: id + ":80", ID: id, Incarnation: id})
		is.NoErr(err)
		change.Events = append(change.Events, kv.Event{Entry: kv.Entry{Key: roster.Prefix + id, ModRevision: 1, Value: value}})
	}
	counts := map[string]int{}
	for i := range hosts {
		h := &Host{
			DirectStore: &kvmemory.Store{}, Logger: slog.New(slog.DiscardHandler), Plain: &plain.Client{},
			Settings: Settings{CallerAddress: fmt.Sprintf("h%03d:80", i), ID: fmt.Sprintf("h%03d", i)},
		}
		h.SetUp()
		h.config.Store(&config.Config{})
		h.roster.Apply(change)
		first, _, err := h.CallerAddresses()
		is.NoErr(err)
		second, _, err := h.CallerAddresses()
		is.NoErr(err)
		is.Equal(len(first), maxAddresses)
		is.True(slices.Equal(first, second))
		for _, address := range first {
			counts[address]++
		}
	}
	is.Equal(len(counts), hosts)
	for _, n := range counts {
		is.True(n > maxAddresses/2 && n < 2*maxAddresses)
	}
}
