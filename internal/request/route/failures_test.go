package route_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	standin "github.com/nutmegway/nutmegway/internal/standin/engine"
)

// TestCallerSeesOneAnswer makes each engine fail in the middle of a stream and
// expects the whole answer, put together from two engines.
func TestCallerSeesOneAnswer(t *testing.T) {
	for _, fault := range []standin.FaultKind{
		standin.FaultCrash, standin.FaultCrossed, standin.FaultHang, standin.FaultReset, standin.FaultLoseReply,
	} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3, engines(4, &standin.Engine{TokensPerSecond: 2000}))
			call := check("r", "[tokens=300] assess the extension", 400)
			// The fault is on one engine, the first that gets the call.
			_, servers, err := ask(t.Context(), c.nodes[0], check("warm", call.Request.Prompt, 400))
			is.NoErr(err)
			for _, e := range c.engines {
				if e.ID == servers[0] {
					e.Inject(standin.Fault{AfterTokens: 100, Kind: fault})
				}
			}
			call.Request.ID = "second"
			text, servers, err := ask(t.Context(), c.nodes[1], call)
			is.NoErr(err)
			is.Equal(text, expected(call))
			is.True(len(servers) <= 2)
		})
	}
}

// TestOwnerDiesMidStream kills the node that owns the engine's queue while it
// forwards answers; the callers' node goes on through another owner.
func TestOwnerDiesMidStream(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, engines(3, &standin.Engine{TokensPerSecond: 400}))
	var group errgroup.Group
	for i := range 6 {
		group.Go(func() error {
			call := check(fmt.Sprint("r", i), fmt.Sprintf("[tokens=300] plot %d", i), 400)
			text, _, err := ask(t.Context(), c.nodes[0], call)
			if err == nil && text != expected(call) {
				err = fmt.Errorf("answer %d is wrong", i)
			}
			return err
		})
	}
	time.Sleep(200 * time.Millisecond)
	c.kill(c.nodes[1])
	c.kill(c.nodes[2])
	c.leave(c.nodes[1])
	c.leave(c.nodes[2])
	is.NoErr(group.Wait())
}

// TestPoisonLosesFewServers sends one poisonous request 30 times through 6
// nodes, under new ids, beside harmless ones.
func TestPoisonLosesFewServers(t *testing.T) {
	for _, together := range []bool{false, true} {
		t.Run(fmt.Sprintf("together=%t", together), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 6, engines(10, &standin.Engine{TokensPerSecond: 2000}))
			var mu sync.Mutex
			kinds := map[kind.Kind]int{}
			send := func(i int) error {
				call := check(fmt.Sprint("poison", i), fmt.Sprintf("[poison] filing %08d", i), 100)
				_, _, err := ask(t.Context(), c.nodes[i%len(c.nodes)], call)
				mu.Lock()
				defer mu.Unlock()
				kinds[kind.Of(err).Kind]++
				return nil
			}
			var group, harmless errgroup.Group
			for i := range 60 {
				harmless.Go(func() error {
					time.Sleep(time.Duration(i) * 5 * time.Millisecond)
					call := check(fmt.Sprint("good", i), fmt.Sprintf("[tokens=100] harmless question of caller %d", i), 200)
					text, _, err := ask(t.Context(), c.nodes[i%len(c.nodes)], call)
					if err == nil && text != expected(call) {
						err = fmt.Errorf("answer %d is wrong", i)
					}
					return err
				})
			}
			for i := range 30 {
				if together {
					group.Go(func() error { return send(i) })
					continue
				}
				is.NoErr(send(i))
			}
			is.NoErr(group.Wait())
			is.NoErr(harmless.Wait())
			t.Log("crashes", c.crashes(), "answers", kinds)
			is.True(c.crashes() <= 3)
			is.True(kinds[kind.Quarantined] >= 20)
		})
	}
}

// TestSampleIsOwedAfterCrashes crashes engines under a sound sample of a trainer. Once
// the engines are back it is made.
func TestSampleIsOwedAfterCrashes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, engines(3, &standin.Engine{TokensPerSecond: 2000}))
	call := check("sample", "[tokens=100] assess the extension", 200)
	call.Class = dispatch.ClassRollout
	for round := range 4 {
		for _, e := range c.engines {
			e.Inject(standin.Fault{AfterTokens: 20, Count: 1, Kind: standin.FaultCrash})
		}
		call.Request.ID = fmt.Sprint("sample", round)
		_, _, err := ask(t.Context(), c.nodes[round%3], call)
		is.True(err != nil)
		for _, e := range c.engines {
			e.Restart()
		}
		time.Sleep(time.Second) // Owners of queues look again four times in it.
	}
	t.Log("crashes", c.crashes())
	is.True(c.crashes() >= 3)
	for i, n := range c.nodes {
		call.Request.ID = fmt.Sprint("again", i)
		text, _, err := ask(t.Context(), n, call)
		is.NoErr(err)
		is.Equal(text, expected(call))
	}
	// A check beside it that crashes engines is still found.
	poisonous := check("poison", "[poison] filing", 100)
	for i := range 6 {
		poisonous.Request.ID = fmt.Sprint("poison", i)
		_, _, err := ask(t.Context(), c.nodes[i%3], poisonous)
		is.True(err != nil)
		for _, e := range c.engines {
			e.Restart()
		}
		time.Sleep(400 * time.Millisecond)
	}
	_, _, err := ask(t.Context(), c.nodes[0], poisonous)
	is.True(kind.Is(err, kind.Quarantined))
}

// TestEngineThatStopsAnswering stops one engine without closing a connection.
// Its answers go on elsewhere, and it gets no new work.
func TestEngineThatStopsAnswering(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, engines(4, &standin.Engine{TokensPerSecond: 400}))
	var group errgroup.Group
	for i := range 12 {
		group.Go(func() error {
			call := check(fmt.Sprint("r", i), fmt.Sprintf("[tokens=200] plot of family %d", i), 400)
			text, _, err := ask(t.Context(), c.nodes[i%3], call)
			if err == nil && text != expected(call) {
				err = fmt.Errorf("answer %d is wrong", i)
			}
			return err
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.engines[1].Hang(true)
	is.NoErr(group.Wait())
	c.engines[1].Hang(false)
}

// TestSlowEngineFinishes lets one engine produce at a tenth of its speed: it is
// alive, so its answer isn't cut.
func TestSlowEngineFinishes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, engines(1, &standin.Engine{TokensPerSecond: 1000}))
	c.engines[0].Inject(standin.Fault{AfterTokens: 10, Kind: standin.FaultSlow})
	call := check("slow", "[tokens=100] assess the extension", 400)
	text, _, err := ask(t.Context(), c.nodes[0], call)
	is.NoErr(err)
	is.Equal(text, expected(call))
	is.Equal(len(c.engines[0].Truth().Runs), 1)
}

// TestRefusalTellsTheTruth fills the only engine and expects that what was
// refused as not run did not run.
func TestRefusalTellsTheTruth(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, engines(1, &standin.Engine{Slots: 2, TokensPerSecond: 400}))
	var mu sync.Mutex
	refused := map[string]bool{}
	var group errgroup.Group
	for i := range 40 {
		group.Go(func() error {
			call := check(fmt.Sprint("r", i), fmt.Sprintf("[tokens=100] filing of clerk %d", i), 400)
			text, _, err := ask(t.Context(), c.nodes[i%2], call)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && text != expected(call):
				return fmt.Errorf("answer %d is wrong", i)
			case err != nil && kind.Of(err).Ran == kind.RanNo:
				refused[call.Request.Prompt] = true
				if kind.Of(err).RetryAfter < time.Second {
					return fmt.Errorf("refusal %d says to come back after %s", i, kind.Of(err).RetryAfter)
				}
			case err != nil:
				return err
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	for _, runs := range c.engines[0].Truth().Runs {
		is.True(!refused[runs[0].Prompt])
	}
}
