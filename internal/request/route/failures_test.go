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

// TestStreamFailsOverMidAnswer makes an engine fail in the middle of a stream.
// The caller must still receive the complete answer, from at most two engines.
func TestStreamFailsOverMidAnswer(t *testing.T) {
	for _, fault := range []standin.FaultKind{
		standin.FaultCrash, standin.FaultCrossed, standin.FaultHang, standin.FaultReset, standin.FaultLoseReply,
	} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3, newEngines(4, &standin.Engine{TokensPerSecond: 2000}))
			call := checkCall("r", "[tokens=300] assess the extension", 400)
			// Inject the fault into the engine that the first call ran on, since
			// the second call goes to it too.
			_, servers, err := runCall(t.Context(), c.nodes[0], checkCall("warm", call.Request.Prompt, 400))
			is.NoErr(err)
			for _, e := range c.engines {
				if e.ID == servers[0] {
					e.Inject(standin.Fault{AfterTokens: 100, Kind: fault})
				}
			}
			call.Request.ID = "second"
			text, servers, err := runCall(t.Context(), c.nodes[1], call)
			is.NoErr(err)
			is.Equal(text, expectedText(call))
			is.True(len(servers) <= 2)
		})
	}
}

// TestQueueOwnerDiesMidStream kills the nodes that own engines' queues while they
// forward answers. The node that serves the callers must resume the answers
// through another owner.
func TestQueueOwnerDiesMidStream(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, newEngines(3, &standin.Engine{TokensPerSecond: 400}))
	var group errgroup.Group
	for i := range 6 {
		group.Go(func() error {
			call := checkCall(fmt.Sprint("r", i), fmt.Sprintf("[tokens=300] plot %d", i), 400)
			text, _, err := runCall(t.Context(), c.nodes[0], call)
			if err == nil && text != expectedText(call) {
				err = fmt.Errorf("answer %d: got %q, want %q", i, text, expectedText(call))
			}
			return err
		})
	}
	time.Sleep(200 * time.Millisecond)
	c.kill(c.nodes[1])
	c.kill(c.nodes[2])
	c.removeMember(c.nodes[1])
	c.removeMember(c.nodes[2])
	is.NoErr(group.Wait())
}

// TestPoisonLosesFewServers sends the same poison request 30 times through 6
// nodes, under new IDs and among harmless requests. At most three servers may
// crash.
func TestPoisonLosesFewServers(t *testing.T) {
	for _, together := range []bool{false, true} {
		t.Run(fmt.Sprintf("together=%t", together), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 6, newEngines(10, &standin.Engine{TokensPerSecond: 2000}))
			var mu sync.Mutex
			kinds := map[kind.Kind]int{}
			send := func(i int) error {
				call := checkCall(fmt.Sprint("poison", i), fmt.Sprintf("[poison] filing %08d", i), 100)
				_, _, err := runCall(t.Context(), c.nodes[i%len(c.nodes)], call)
				mu.Lock()
				defer mu.Unlock()
				kinds[kind.Of(err).Kind]++
				return nil
			}
			var group, harmless errgroup.Group
			for i := range 60 {
				harmless.Go(func() error {
					time.Sleep(time.Duration(i) * 5 * time.Millisecond)
					call := checkCall(fmt.Sprint("good", i), fmt.Sprintf("[tokens=100] harmless question of caller %d", i), 200)
					text, _, err := runCall(t.Context(), c.nodes[i%len(c.nodes)], call)
					if err == nil && text != expectedText(call) {
						err = fmt.Errorf("answer %d: got %q, want %q", i, text, expectedText(call))
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

// TestRolloutSampleRunsAfterCrashes crashes engines while they run a harmless
// rollout sample. The crashes must not count against the sample: it has to run once
// the engines are back.
func TestRolloutSampleRunsAfterCrashes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, newEngines(3, &standin.Engine{TokensPerSecond: 2000}))
	call := checkCall("sample", "[tokens=100] assess the extension", 200)
	call.Class = dispatch.ClassRollout
	for round := range 4 {
		for _, e := range c.engines {
			e.Inject(standin.Fault{AfterTokens: 20, Count: 1, Kind: standin.FaultCrash})
		}
		call.Request.ID = fmt.Sprint("sample", round)
		_, _, err := runCall(t.Context(), c.nodes[round%3], call)
		is.True(err != nil)
		for _, e := range c.engines {
			e.Restart()
		}
		time.Sleep(time.Second) // Queue owners poll engines that are down four times in a second.
	}
	t.Log("crashes", c.crashes())
	is.True(c.crashes() >= 3)
	for i, n := range c.nodes {
		call.Request.ID = fmt.Sprint("again", i)
		text, _, err := runCall(t.Context(), n, call)
		is.NoErr(err)
		is.Equal(text, expectedText(call))
	}
	// A check that crashes engines must still be quarantined.
	poisonous := checkCall("poison", "[poison] filing", 100)
	for i := range 6 {
		poisonous.Request.ID = fmt.Sprint("poison", i)
		_, _, err := runCall(t.Context(), c.nodes[i%3], poisonous)
		is.True(err != nil)
		for _, e := range c.engines {
			e.Restart()
		}
		time.Sleep(400 * time.Millisecond)
	}
	_, _, err := runCall(t.Context(), c.nodes[0], poisonous)
	is.True(kind.Is(err, kind.Quarantined))
}

// TestHungEngine makes one engine stop answering without closing its connections.
// All calls must still be answered in full, by other engines.
func TestHungEngine(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, newEngines(4, &standin.Engine{TokensPerSecond: 400}))
	var group errgroup.Group
	for i := range 12 {
		group.Go(func() error {
			call := checkCall(fmt.Sprint("r", i), fmt.Sprintf("[tokens=200] plot of family %d", i), 400)
			text, _, err := runCall(t.Context(), c.nodes[i%3], call)
			if err == nil && text != expectedText(call) {
				err = fmt.Errorf("answer %d: got %q, want %q", i, text, expectedText(call))
			}
			return err
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.engines[1].Hang(true)
	is.NoErr(group.Wait())
	c.engines[1].Hang(false)
}

// TestSlowEngineIsNotCutOff slows the only engine down to a tenth of its speed. It
// is alive, so its answer must not be cut off and run again.
func TestSlowEngineIsNotCutOff(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, newEngines(1, &standin.Engine{TokensPerSecond: 1000}))
	c.engines[0].Inject(standin.Fault{AfterTokens: 10, Kind: standin.FaultSlow})
	call := checkCall("slow", "[tokens=100] assess the extension", 400)
	text, _, err := runCall(t.Context(), c.nodes[0], call)
	is.NoErr(err)
	is.Equal(text, expectedText(call))
	is.Equal(len(c.engines[0].GroundTruth().Runs), 1)
}

// TestRefusedRequestsDidNotRun overloads the only engine. A request whose refusal
// says that it did not run must not have run.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, newEngines(1, &standin.Engine{Slots: 2, TokensPerSecond: 400}))
	var mu sync.Mutex
	refused := map[string]bool{}
	var group errgroup.Group
	for i := range 40 {
		group.Go(func() error {
			call := checkCall(fmt.Sprint("r", i), fmt.Sprintf("[tokens=100] filing of clerk %d", i), 400)
			text, _, err := runCall(t.Context(), c.nodes[i%2], call)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && text != expectedText(call):
				return fmt.Errorf("answer %d: got %q, want %q", i, text, expectedText(call))
			case err != nil && kind.Of(err).Ran == kind.RanNo:
				refused[call.Request.Prompt] = true
				if kind.Of(err).RetryAfter < time.Second {
					return fmt.Errorf("refusal %d has a retry-after of %s, want at least 1 s", i, kind.Of(err).RetryAfter)
				}
			case err != nil:
				return err
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	for _, runs := range c.engines[0].GroundTruth().Runs {
		is.True(!refused[runs[0].Prompt])
	}
}
