package admission_test

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// simulation runs a queue in virtual time, one event at a time. Each request runs for its
// tokens times perToken.
type simulation struct {
	now      time.Time
	queue    admission.Queue
	items    map[uint64]admission.Item
	pushedAt map[uint64]time.Time
	ends     map[uint64]time.Time // of the requests in flight
	perToken time.Duration
	served   map[string]int // tokens by share
	waits    map[dispatch.Class][]time.Duration
	refused  map[uint64]kind.Kind
}

func newSimulation(settings admission.Settings, slots int) *simulation {
	s := &simulation{
		now: start, queue: admission.Queue{Settings: settings}, perToken: time.Millisecond,
		items: map[uint64]admission.Item{}, pushedAt: map[uint64]time.Time{}, ends: map[uint64]time.Time{},
		served: map[string]int{}, waits: map[dispatch.Class][]time.Duration{}, refused: map[uint64]kind.Kind{},
	}
	s.queue.ObserveLoad(s.now, engine.Load{Slots: slots})
	return s
}

// push adds an item now and starts what the queue allows.
func (s *simulation) push(item admission.Item) (uint64, *kind.Error) {
	id, decision, err := s.queue.Push(s.now, item)
	s.apply(decision)
	if err == nil {
		s.items[id], s.pushedAt[id] = item, s.now
	}
	s.apply(s.queue.Next(s.now))
	return id, err
}

func (s *simulation) apply(decision admission.Decision) {
	for _, refusal := range decision.Refused {
		s.refused[refusal.ID] = refusal.Err.Kind
	}
	for _, id := range decision.Start {
		item := s.items[id]
		s.ends[id] = s.now.Add(time.Duration(item.Tokens) * s.perToken)
		s.waits[item.Class] = append(s.waits[item.Class], s.now.Sub(s.pushedAt[id]))
	}
}

// advance moves the time to until and ends the requests that finish by then.
func (s *simulation) advance(until time.Time) {
	for {
		id, ok := s.nextEnd(until)
		if !ok {
			s.now = until
			return
		}
		s.now = s.ends[id]
		delete(s.ends, id)
		item := s.items[id]
		s.served[item.Share] += item.Tokens
		s.queue.Done(id, admission.Outcome{
			Duration: time.Duration(item.Tokens) * s.perToken, FirstToken: s.perToken, Tokens: item.Tokens,
		})
		s.apply(s.queue.Next(s.now))
	}
}

func (s *simulation) nextEnd(until time.Time) (uint64, bool) {
	var best uint64
	for id, end := range s.ends {
		if end.After(until) {
			continue
		}
		if best == 0 || cmp.Or(end.Compare(s.ends[best]), cmp.Compare(id, best)) < 0 {
			best = id
		}
	}
	return best, best != 0
}

func TestSharesGetTokensByWeight(t *testing.T) {
	is := is.New(t)
	s := newSimulation(admission.Settings{QueueLimit: 400, Shares: map[string]float64{"heavy": 2}}, 8)
	lengths := map[string]int{"heavy": 100, "long": 400, "short": 50}
	shares := []string{"heavy", "long", "short"}
	for range 300 {
		for _, share := range shares {
			for range 4 {
				_, _ = s.push(admission.Item{Class: dispatch.ClassRollout, Share: share, Tokens: lengths[share]})
			}
		}
		s.advance(s.now.Add(100 * time.Millisecond))
	}
	index := jainIndex([]float64{float64(s.served["heavy"]) / 2, float64(s.served["long"]), float64(s.served["short"])})
	if index < 0.98 {
		t.Fatalf("Jain index %.4f, want at least 0.98; tokens by share: %v", index, s.served)
	}
	is.True(s.served["heavy"] > s.served["long"])
}

func jainIndex(values []float64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(values)) * squares)
}

func TestRolloutsKeepFloorDuringBurstOfChecks(t *testing.T) {
	is := is.New(t)
	s := newSimulation(admission.Settings{QueueLimit: 64, RolloutFloor: 0.2}, 8)
	for i := range 2000 {
		_, _ = s.push(admission.Item{Class: dispatch.ClassRollout, Share: "trainer", Tokens: 120 + (i*53)%160})
		for k := range 3 {
			_, _ = s.push(admission.Item{Class: dispatch.ClassCheck, Share: "team", Tokens: 60 + (i*37+k*11)%80})
		}
		s.advance(s.now.Add(20 * time.Millisecond))
	}
	total := 0
	for _, tokens := range s.served {
		total += tokens
	}
	share := float64(s.served["trainer"]) / float64(total)
	is.True(share >= 0.195) // 0.2 less one rollout at the end of the run
	is.True(share <= 0.25)  // rollouts get little more than the floor
	slices.Sort(s.waits[dispatch.ClassCheck])
	waits := s.waits[dispatch.ClassCheck]
	is.True(waits[len(waits)*99/100] <= 50*time.Millisecond) // half of the run time of a check
}

func TestLoadOfAnotherOwnerHalvesLimit(t *testing.T) {
	is := is.New(t)
	s := newSimulation(admission.Settings{}, 16)
	is.Equal(s.queue.Summary(s.now).Limit, 16)
	s.queue.ObserveLoad(s.now, engine.Load{Running: 14, Slots: 16})
	is.Equal(s.queue.Summary(s.now).Limit, 8)
	is.Equal(s.queue.Summary(s.now.Add(time.Minute)).Limit, 16)
}

func TestLateFirstTokenDecreasesLimit(t *testing.T) {
	is := is.New(t)
	l := admission.ConcurrencyLimit{}
	for range 80 {
		l.Observe(admission.Outcome{Duration: time.Second, FirstToken: 50 * time.Millisecond, Tokens: 50}, 64)
	}
	high := l.Value(start)
	for range 400 {
		l.Observe(admission.Outcome{Duration: time.Second, FirstToken: 400 * time.Millisecond, Tokens: 50}, 64)
	}
	is.True(high > 8)
	is.True(l.Value(start) < high/2)
}

func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	s := newSimulation(admission.Settings{QueueLimit: 4}, 2)
	for range 3 { // observations for the estimates of the run time
		_, _ = s.push(admission.Item{Class: dispatch.ClassRollout, Tokens: 2000})
		s.advance(s.now.Add(3 * time.Second))
	}
	var last time.Duration
	refused := 0
	for range 40 {
		_, err := s.push(admission.Item{Class: dispatch.ClassRollout, Tokens: 2000})
		if err == nil {
			continue
		}
		refused++
		is.Equal(err.Kind, kind.Overloaded)
		is.Equal(err.Ran, kind.RanNo)
		is.True(err.RetryAfter >= last)
		last = err.RetryAfter
	}
	is.Equal(refused, 34)
	is.True(last > 30*time.Second) // the 34 refused requests take 2 s each on 2 slots
}

func TestIsolatedRequestRunsAlone(t *testing.T) {
	is := is.New(t)
	s := newSimulation(admission.Settings{}, 8)
	_, _ = s.push(admission.Item{Class: dispatch.ClassRollout, Tokens: 100})
	isolated, _ := s.push(admission.Item{Isolated: true, Class: dispatch.ClassRollout, Tokens: 100})
	after, _ := s.push(admission.Item{Class: dispatch.ClassCheck, Tokens: 100})
	is.Equal(len(s.ends), 1)
	s.advance(s.now.Add(150 * time.Millisecond))
	_, runs := s.ends[isolated]
	is.True(runs)
	is.Equal(len(s.ends), 1)
	s.advance(s.now.Add(100 * time.Millisecond))
	_, runs = s.ends[after]
	is.True(runs)
}

// TestQueueProperties checks with random sequences of requests that the requests in flight
// never exceed the slots, and that as many requests are started or refused as were added.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		s := newSimulation(admission.Settings{
			QueueLimit: rapid.IntRange(1, 20).Draw(t, "queue-limit"), RolloutFloor: 0.2,
		}, slots)
		pushed := 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			item := admission.Item{
				Isolated: rapid.IntRange(0, 20).Draw(t, "alone") == 0,
				Class:    rapid.SampledFrom([]dispatch.Class{dispatch.ClassCheck, dispatch.ClassRollout}).Draw(t, "class"),
				Share:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "share"),
				Tokens:   rapid.IntRange(1, 300).Draw(t, "tokens"),
			}
			if rapid.Bool().Draw(t, "has-deadline") {
				item.Deadline = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
			}
			if _, err := s.push(item); err == nil {
				pushed++
			}
			if len(s.ends) > slots {
				t.Fatalf("%d requests in flight, want at most %d", len(s.ends), slots)
			}
			s.advance(s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond))
		}
		s.advance(s.now.Add(time.Duration(math.MaxInt32) * time.Millisecond))
		started := len(s.waits[dispatch.ClassCheck]) + len(s.waits[dispatch.ClassRollout])
		if started+len(s.refused) != pushed {
			t.Fatalf("%d requests added, but %d started and %d refused", pushed, started, len(s.refused))
		}
	})
}
