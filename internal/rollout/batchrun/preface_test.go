package batchrun_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/rollout/batchlink"
)

// TestEngineCountsNoConnectionsOfOtherProtocols connects a client of hosts to an engine, as one of
// another test may whose host had the engine's port before.
func TestEngineCountsNoConnectionsOfOtherProtocols(t *testing.T) {
	is := is.New(t)
	engine := newEngine(t)
	pool := &peer.Pool{Options: peer.LocalDialOptions()}
	defer func() { is.NoErr(pool.Close()) }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := (&batchlink.Client{Pool: pool}).Ping(ctx, engine.Listener.Addr().String())
	is.True(err != nil) // an engine answers no pings
	is.Equal(engine.requests(), nil)
}
