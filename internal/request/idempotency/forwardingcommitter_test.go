package idempotency_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/request/idempotency"
	standin "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

// TestForwardingCommitterRunsEachRequestOnce sends requests to eight nodes, two of which
// write for all, while the store loses replies and one node is down. Each request must
// run once, in fewer transactions than two per request.
func TestForwardingCommitterRunsEachRequestOnce(t *testing.T) {
	is := is.New(t)
	store := &standin.Server{Seed: 1}
	is.NoErr(store.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return store.Run(ctx) })
	store.SetFault(standin.MethodTxn, standin.Fault{LoseReply: true, Probability: 0.1})

	const nodes = 8
	var all []member.Node
	var listeners []net.Listener
	for i := range nodes {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, listener)
		all = append(all, member.Node{ID: fmt.Sprint("node-", i), Incarnation: 1, PeerAddress: listener.Addr().String()})
	}
	var guards []*idempotency.Guard
	for i := range nodes {
		client := &etcd.Store{Endpoints: []string{store.Address()}}
		t.Cleanup(func() { _ = client.Close() })
		pool := &peer.Pool{}
		t.Cleanup(func() { _ = pool.Close() })
		view := &members{nodes: all, self: all[i]}
		g := &idempotency.ForwardingCommitter{Members: view, Pool: pool, Writers: 2}
		g.Batcher = &idempotency.Batcher{
			Logger: slog.New(slog.DiscardHandler),
			Rate:   func() float64 { return 100 },
			Store:  client,
		}
		guard := &idempotency.Guard{Committer: g, IntentTimeout: 15 * time.Second, Logger: slog.New(slog.DiscardHandler), Members: view, Store: client}
		guards = append(guards, guard)
		server := grpc.NewServer()
		g.Register(server)
		if i == 0 {
			is.NoErr(listeners[0].Close())
			continue
		}
		group.Go(func() error { return guard.Run(ctx) })
		group.Go(func() error { return server.Serve(listeners[i]) })
		group.Go(func() error {
			<-ctx.Done()
			server.Stop()
			return nil
		})
	}

	var runs [40]atomic.Int32
	var work errgroup.Group
	for i := range runs {
		for repeat := range 2 {
			guard := guards[1+(i+repeat)%(nodes-1)]
			work.Go(func() error {
				_, err := guard.Do(ctx, request(fmt.Sprint("booking-", i)), func(context.Context) (idempotency.Answer, error) {
					time.Sleep(time.Millisecond)
					runs[i].Add(1)
					return idempotency.Answer{Status: 200}, nil
				})
				return err
			})
		}
	}
	is.NoErr(work.Wait())
	for i := range runs {
		is.Equal(runs[i].Load(), int32(1))
	}
	is.True(store.Calls()[standin.MethodTxn] < 2*int64(len(runs)))
	cancel()
	is.NoErr(group.Wait())
}
