package placing_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/placing"
)

const ms = time.Millisecond

func engine(id string, inFlight int, pace time.Duration, version int64) inventory.Candidate {
	return inventory.Candidate{
		InFlight: inFlight, Pace: pace, Reported: -1,
		Server: inventory.Server{ID: id, Slots: 4, Versions: map[string]int64{"m": version}},
	}
}

func TestChoose(t *testing.T) {
	suspect := engine("suspect", 0, 40*ms, 5)
	suspect.Suspect = true
	told := engine("told", 0, 40*ms, 5)
	told.Reported = 4
	cases := map[string]struct {
		candidates []inventory.Candidate
		demand     placing.Demand
		want       string
	}{
		"none":                            {},
		"emptier of two of one pace":      {candidates: []inventory.Candidate{engine("a", 2, 40*ms, 5), engine("b", 1, 40*ms, 5)}, want: "b"},
		"fast and half full before slow":  {candidates: []inventory.Candidate{engine("a", 2, 40*ms, 5), engine("b", 0, 80*ms, 5)}, want: "a"},
		"unknown pace counts as typical":  {candidates: []inventory.Candidate{engine("a", 1, 40*ms, 5), engine("b", 0, 0, 5)}, want: "b"},
		"full engines are left":           {candidates: []inventory.Candidate{engine("a", 4, 40*ms, 5), engine("b", 0, 160*ms, 5)}, want: "b"},
		"an engine that told to be full":  {candidates: []inventory.Candidate{told, engine("b", 3, 40*ms, 5)}, want: "b"},
		"suspect engines are left":        {candidates: []inventory.Candidate{suspect}},
		"old weights are not used":        {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 3), engine("b", 3, 40*ms, 4)}, demand: placing.Demand{MinVersion: 4}, want: "b"},
		"only the version of the text":    {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 6), engine("b", 3, 40*ms, 5)}, demand: placing.Demand{OnlyVersion: 5}, want: "b"},
		"not where it failed":             {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 5), engine("b", 3, 60*ms, 5)}, demand: placing.Demand{Avoid: "a"}, want: "b"},
		"where it failed if nothing else": {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 5)}, demand: placing.Demand{Avoid: "a"}, want: "a"},
		"a model that the engine hasn't":  {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 5)}, demand: placing.Demand{Model: "other", MinVersion: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if c.demand.Model == "" {
				c.demand.Model = "m"
			}
			got, ok := placing.Choose(c.candidates, c.demand)
			is.Equal(ok, c.want != "")
			is.Equal(got.ID, c.want)
		})
	}
}

func TestMoving(t *testing.T) {
	cases := map[string]struct {
		run    placing.Run
		others []inventory.Candidate
		want   bool
	}{
		"twice as slow as the others":             {placing.Run{Events: 5, Intervals: 4, Pace: 90 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 5)}, true},
		"one long pause at the start":             {placing.Run{Events: 2, Intervals: 1, Pace: 900 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 5)}, false},
		"a short run a little slower stays":       {placing.Run{Events: 10, Intervals: 9, Pace: 50 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 5)}, false},
		"a long run a little slower moves":        {placing.Run{Events: 60, Intervals: 59, Pace: 50 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 5)}, true},
		"no free slot on a faster engine":         {placing.Run{Events: 60, Intervals: 59, Pace: 50 * ms}, []inventory.Candidate{engine("b", 4, 40*ms, 5)}, false},
		"the others are no faster":                {placing.Run{Events: 60, Intervals: 59, Pace: 90 * ms}, []inventory.Candidate{engine("b", 0, 85*ms, 5)}, false},
		"the faster engine holds too old weights": {placing.Run{Events: 60, Intervals: 59, Pace: 90 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 2)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			demand := placing.Demand{Avoid: "a", MinVersion: 4, Model: "m"}
			got := placing.MayMove(c.run, 40*ms) && placing.HasFaster(c.others, demand, c.run)
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestOrderOfALoad plays a step on few slots: with the longest items first the
// step ends sooner than in the order of submission.
func TestOrderOfALoad(t *testing.T) {
	is := is.New(t)
	var items []batch.Item
	for n := range 48 {
		tokens := 1000 + 37*(n%10)
		if n%12 == 11 {
			tokens = 12000
		}
		items = append(items, batch.Item{ID: strconv.Itoa(n), LengthHint: tokens})
	}
	submitted := make([]int, len(items))
	for i := range submitted {
		submitted[i] = i
	}
	is.True(lastEnd(items, placing.Order(items), 8) < lastEnd(items, submitted, 8))
}

// lastEnd returns when the last item ends if they start in order on slots.
func lastEnd(items []batch.Item, order []int, slots int) int {
	free := make([]int, slots)
	for _, i := range order {
		slices.Sort(free)
		free[0] += items[i].LengthHint
	}
	return slices.Max(free)
}
