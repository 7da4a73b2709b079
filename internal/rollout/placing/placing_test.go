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

func engine(id string, inFlight int, interval time.Duration, version int64) inventory.Candidate {
	return inventory.Candidate{
		InFlight: inFlight, EventInterval: interval, ReportedRequests: -1,
		Server: inventory.Server{ID: id, Slots: 4, Versions: map[string]int64{"m": version}},
	}
}

func TestChoose(t *testing.T) {
	suspect := engine("suspect", 0, 40*ms, 5)
	suspect.BackingOff = true
	reportsFull := engine("reports-full", 0, 40*ms, 5)
	reportsFull.ReportedRequests = 4
	cases := map[string]struct {
		candidates []inventory.Candidate
		demand     placing.Demand
		want       string
	}{
		"no engines": {},
		"less loaded of two with the same event interval": {candidates: []inventory.Candidate{engine("a", 2, 40*ms, 5), engine("b", 1, 40*ms, 5)}, want: "b"},
		"fast half full over slow idle":                   {candidates: []inventory.Candidate{engine("a", 2, 40*ms, 5), engine("b", 0, 80*ms, 5)}, want: "a"},
		"unknown event interval counts as median":         {candidates: []inventory.Candidate{engine("a", 1, 40*ms, 5), engine("b", 0, 0, 5)}, want: "b"},
		"full engines get no items":                       {candidates: []inventory.Candidate{engine("a", 4, 40*ms, 5), engine("b", 0, 160*ms, 5)}, want: "b"},
		"engine that reports to be full":                  {candidates: []inventory.Candidate{reportsFull, engine("b", 3, 40*ms, 5)}, want: "b"},
		"suspect engines get no items":                    {candidates: []inventory.Candidate{suspect}},
		"weights below the minimum version":               {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 3), engine("b", 3, 40*ms, 4)}, demand: placing.Demand{MinVersion: 4}, want: "b"},
		"only the required version":                       {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 6), engine("b", 3, 40*ms, 5)}, demand: placing.Demand{OnlyVersion: 5}, want: "b"},
		"not the engine that failed":                      {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 5), engine("b", 3, 60*ms, 5)}, demand: placing.Demand{Avoid: "a"}, want: "b"},
		"the engine that failed if alone":                 {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 5)}, demand: placing.Demand{Avoid: "a"}, want: "a"},
		"model that the engine lacks":                     {candidates: []inventory.Candidate{engine("a", 0, 40*ms, 5)}, demand: placing.Demand{Model: "other", MinVersion: 1}},
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

func TestMove(t *testing.T) {
	cases := map[string]struct {
		run    placing.Run
		others []inventory.Candidate
		want   bool
	}{
		"twice as slow as the others":                  {placing.Run{Events: 5, Intervals: 4, EventInterval: 90 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 5)}, true},
		"a single long pause at the start":             {placing.Run{Events: 2, Intervals: 1, EventInterval: 900 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 5)}, false},
		"a short run that is slightly slower":          {placing.Run{Events: 10, Intervals: 9, EventInterval: 50 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 5)}, false},
		"a long run that is slightly slower":           {placing.Run{Events: 60, Intervals: 59, EventInterval: 50 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 5)}, true},
		"no free slot on a faster engine":              {placing.Run{Events: 60, Intervals: 59, EventInterval: 50 * ms}, []inventory.Candidate{engine("b", 4, 40*ms, 5)}, false},
		"the others are no faster":                     {placing.Run{Events: 60, Intervals: 59, EventInterval: 90 * ms}, []inventory.Candidate{engine("b", 0, 85*ms, 5)}, false},
		"the weights of the faster engine are too old": {placing.Run{Events: 60, Intervals: 59, EventInterval: 90 * ms}, []inventory.Candidate{engine("b", 0, 40*ms, 2)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			demand := placing.Demand{Avoid: "a", MinVersion: 4, Model: "m"}
			got := placing.MayMove(c.run, 40*ms) && placing.HasFaster(c.others, demand, c.run)
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestOrderShortensMakespan simulates the items of a step on few slots. With the
// longest items first, the last one ends earlier than in submission order.
func TestOrderShortensMakespan(t *testing.T) {
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
	is.True(makespan(items, placing.StartOrder(items), 8) < makespan(items, submitted, 8))
}

// makespan returns when the last item ends if the items start in the given order
// on a number of slots that generate one token per unit of time.
func makespan(items []batch.Item, order []int, slots int) int {
	free := make([]int, slots)
	for _, i := range order {
		slices.Sort(free)
		free[0] += items[i].LengthHint
	}
	return slices.Max(free)
}
