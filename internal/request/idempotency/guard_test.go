package idempotency_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/request/idempotency"
	standin "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

// members is a member.View that a test can change.
type members struct {
	self member.Node

	mu    sync.Mutex
	nodes []member.Node
}

func (m *members) Nodes() []member.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes
}

func (m *members) Self() member.Node { return m.self }

func (m *members) set(nodes ...member.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes = nodes
}

// cluster is a set of nodes with one guard each. The guards share a stand-in for the
// key-value store.
type cluster struct {
	guards  []*idempotency.Guard
	members []*members
	server  *standin.Server
	stop    []context.CancelFunc
}

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	is := is.New(t)
	c := &cluster{server: &standin.Server{Seed: 1}}
	is.NoErr(c.server.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.server.Run(ctx) })
	var all []member.Node
	for i := range nodes {
		all = append(all, member.Node{ID: fmt.Sprint("node-", i), Incarnation: 1})
	}
	for i := range nodes {
		store := &etcd.Store{CallTimeout: 2 * time.Second, Endpoints: []string{c.server.Address()}}
		view := &members{nodes: all, self: all[i]}
		guard := &idempotency.Guard{
			Committer: &idempotency.Batcher{Logger: slog.New(slog.DiscardHandler), Rate: func() float64 { return 200 }, Store: store},
			// Long enough that writing an intent does not time out on a busy machine.
			IntentTimeout: 15 * time.Second,
			Logger:        slog.New(slog.DiscardHandler),
			Members:       view,
			Store:         store,
		}
		nodeCtx, stop := context.WithCancel(ctx)
		group.Go(func() error { return guard.Run(nodeCtx) })
		t.Cleanup(func() { _ = store.Close() })
		c.guards, c.members, c.stop = append(c.guards, guard), append(c.members, view), append(c.stop, stop)
	}
	t.Cleanup(func() {
		cancel()
		is.NoErr(group.Wait())
	})
	return c
}

func request(key string) idempotency.Request {
	return idempotency.Request{
		Deadline:    time.Now().Add(20 * time.Second),
		Fingerprint: "f",
		Retention:   time.Minute,
		Key:         idempotency.Key{Service: "portal", Team: "halvorsen", Value: key},
	}
}

// TestRepeatsOnSeveralNodesRunOnce sends each of 60 bookings to three nodes at once
// while the store loses a fifth of its replies.
func TestRepeatsOnSeveralNodesRunOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.server.SetFault(standin.MethodTxn, standin.Fault{LoseReply: true, Probability: 0.2})
	var runs [60]atomic.Int32
	var answered atomic.Int32
	group, ctx := errgroup.WithContext(t.Context())
	for i := range runs {
		for _, guard := range c.guards {
			group.Go(func() error {
				result, err := guard.Do(ctx, request(fmt.Sprint("booking-", i)), func(context.Context) (idempotency.Answer, error) {
					time.Sleep(5 * time.Millisecond)
					return idempotency.Answer{Body: fmt.Append(nil, runs[i].Add(1)), Status: 201}, nil
				})
				if err != nil {
					return err
				}
				if string(result.Answer.Body) != "1" || result.Answer.Status != 201 {
					return fmt.Errorf("got an answer with body %q, want body 1 and status 201", result.Answer.Body)
				}
				answered.Add(1)
				return nil
			})
		}
	}
	is.NoErr(group.Wait())
	for i := range runs {
		is.Equal(runs[i].Load(), int32(1))
	}
	is.Equal(answered.Load(), int32(3*len(runs)))
}

func TestOutcomeIsUnknownAfterNodeRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	dispatched := make(chan struct{})
	var group errgroup.Group
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() error {
		_, err := c.guards[0].Do(ctx, request("k"), func(context.Context) (idempotency.Answer, error) {
			close(dispatched)
			<-ctx.Done()
			return idempotency.Answer{}, kind.New(kind.OutcomeUnknown, "the process ended")
		})
		return err
	})
	<-dispatched
	// A newer process of the first node has replaced the one that sent the request.
	c.members[1].set(member.Node{ID: "node-0", Incarnation: 1001}, c.members[1].self)
	mustNotRun := func(context.Context) (idempotency.Answer, error) {
		t.Error("the repeated request ran")
		return idempotency.Answer{}, nil
	}
	_, err := c.guards[1].Do(t.Context(), request("k"), mustNotRun)
	is.True(kind.Is(err, kind.OutcomeUnknown))
	other := request("k")
	other.Fingerprint = "g"
	_, err = c.guards[1].Do(t.Context(), other, mustNotRun)
	is.True(kind.Is(err, kind.KeyReused))
	cancel()
	is.True(kind.Is(group.Wait(), kind.OutcomeUnknown))
}

func TestRequestIsNotSentDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.server.SetDown(true)
	_, err := c.guards[0].Do(t.Context(), request("k"), func(context.Context) (idempotency.Answer, error) {
		t.Error("the request was sent")
		return idempotency.Answer{}, nil
	})
	is.True(kind.Is(err, kind.StoreUnavailable))
	is.Equal(kind.Of(err).Ran, kind.RanNo)
}

// TestIntentIsRevertedAfterLostReply loses the replies to the writes of an intent. After
// the store answers again, another attempt with the key may run.
func TestIntentIsRevertedAfterLostReply(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.guards[0].IntentTimeout = 300 * time.Millisecond
	c.server.SetFault(standin.MethodTxn, standin.Fault{LoseReply: true})
	_, err := c.guards[0].Do(t.Context(), request("k"), func(context.Context) (idempotency.Answer, error) {
		t.Error("the request was sent")
		return idempotency.Answer{}, nil
	})
	if err == nil {
		t.Fatal("got no error although the replies of the store were lost")
	}
	is.True(kind.Is(err, kind.StoreUnavailable))
	is.Equal(kind.Of(err).Ran, kind.RanNo)
	c.server.SetFault(standin.MethodTxn, standin.Fault{})
	result, err := c.guards[1].Do(t.Context(), request("k"), func(context.Context) (idempotency.Answer, error) {
		return idempotency.Answer{Status: 200}, nil
	})
	is.NoErr(err)
	is.Equal(result, idempotency.Result{Answer: idempotency.Answer{Status: 200}})
}

// TestAnswerIsRecordedAfterStoreOutage takes the store down while the request runs. The
// caller gets the answer at once, and the answer is recorded after the outage.
func TestAnswerIsRecordedAfterStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.guards[0].RecordWait = time.Millisecond
	result, err := c.guards[0].Do(t.Context(), request("k"), func(context.Context) (idempotency.Answer, error) {
		c.server.SetDown(true)
		return idempotency.Answer{Body: []byte("booked"), Status: 200}, nil
	})
	is.NoErr(err)
	is.Equal(string(result.Answer.Body), "booked")
	c.server.SetDown(false)
	for {
		result, err = c.guards[1].Do(t.Context(), request("k"), func(context.Context) (idempotency.Answer, error) {
			t.Error("the repeated request ran")
			return idempotency.Answer{}, nil
		})
		if !kind.Is(err, kind.StoreUnavailable) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(err)
	is.True(result.Replayed)
	is.Equal(string(result.Answer.Body), "booked")
}
