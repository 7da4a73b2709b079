package usage_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/request/usage"
)

var windows = usage.Windows{Length: 5 * time.Second}

func TestWindows(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	is.Equal(windows.At(start), int64(200))
	is.Equal(windows.At(start.Add(-time.Nanosecond)), int64(199))
	is.Equal(windows.At(time.Unix(-1, 0)), int64(-1))
	is.True(windows.End(199).Equal(start))
}

// TestClockFollowsMedian steps the clocks of some hosts. The time of the fleet stays that of
// the majority, also at a host whose own clock was stepped.
func TestClockFollowsMedian(t *testing.T) {
	cases := map[string]struct {
		// steps are the steps of the clocks of the other hosts.
		steps []time.Duration
		want  time.Duration
	}{
		"none":           {steps: []time.Duration{0, 0, 0, 0}},
		"two ahead":      {steps: []time.Duration{2400 * time.Millisecond, 2400 * time.Millisecond, 0, 0}},
		"two behind":     {steps: []time.Duration{-2400 * time.Millisecond, -3 * time.Second, 0, 0}},
		"most ahead":     {steps: []time.Duration{time.Second, time.Second, time.Second, 0}, want: time.Second},
		"small skews":    {steps: []time.Duration{-9 * time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 40 * time.Millisecond}, want: 2 * time.Millisecond},
		"one other host": {steps: []time.Duration{2400 * time.Millisecond}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			leader := &usage.Clock{Now: func() time.Time { return now }}
			for i, step := range c.steps {
				leader.Observe(strconv.Itoa(i), now.Add(step).Round(0))
			}
			leader.Lead()
			is.Equal(leader.Time(now).Sub(now.Round(0)), c.want)
			follower := &usage.Clock{Now: func() time.Time { return now }}
			follower.Follow(leader.Time(now), now, now)
			is.Equal(follower.Time(now.Add(time.Second)).Sub(now.Round(0)), c.want+time.Second)
		})
	}
}

// TestClockSteps steps the clock of the host whose time the others take over.
func TestClockSteps(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var step time.Duration
	clock := &usage.Clock{Now: func() time.Time { return now }, Wall: func() time.Time { return now.Add(step).Round(0) }}
	clock.Observe("a", now.Round(0))
	clock.Observe("b", now.Round(0))
	clock.Lead()
	step = 2400 * time.Millisecond
	is.True(clock.Time(now).Equal(now)) // between two agreements
	clock.Lead()
	is.True(clock.Time(now).Equal(now)) // outvoted
}

func TestClockWithoutAgreement(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	clock := &usage.Clock{Now: func() time.Time { return now }}
	is.True(!clock.Agreed())
	is.True(clock.Time(now).Equal(now))
	clock.Follow(now.Add(time.Second), now, now)
	is.True(clock.Agreed())
	clock.Follow(now.Add(2*time.Second), now, now.Add(time.Second)) // A slow answer isn't taken over.
	is.True(clock.Time(now).Equal(now.Add(time.Second)))
	now = now.Add(time.Minute)
	is.True(!clock.Agreed())
	is.True(clock.Time(now).Equal(now))
}

// TestRequestWaitsForTime counts a request before the host knows the time of the fleet.
func TestRequestWaitsForTime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	clock := &usage.Clock{Now: func() time.Time { return now }}
	recorder := &usage.Recorder{Clock: clock, Windows: windows}
	recorder.Began("a", now)
	counts, revision, waiting := recorder.Snapshot(now)
	is.Equal(len(counts), 0)
	is.Equal(revision, int64(1))
	is.True(waiting)
	fleet := now.Add(time.Minute)
	clock.Follow(fleet, now, now)
	counts, _, waiting = recorder.Snapshot(now)
	is.Equal(counts, usage.Counts{windows.At(fleet): {"a": 1}})
	is.True(!waiting)
	is.Equal(recorder.Close(windows.At(fleet)+1), int64(0))
	recorder.Began("a", now) // The window is closed.
	counts, _, _ = recorder.Snapshot(now)
	is.Equal(len(counts), 0)
	is.Equal(recorder.Close(0), int64(1))
}

// TestCollector adds up cumulative counts that come twice, out of order and too late.
func TestCollector(t *testing.T) {
	is := is.New(t)
	var collector usage.Collector
	collector.Merge("host a", usage.Counts{7: {"x": 2, "y": 1}})
	collector.Merge("host a", usage.Counts{7: {"x": 1}, 8: {"x": 5}}) // an earlier report that comes late
	collector.Merge("host b", usage.Counts{7: {"x": 3}})
	collector.Merge("host b", usage.Counts{7: {"x": 3}}) // sent again
	is.Equal(collector.Sum(7), map[string]int64{"x": 5, "y": 1})
	is.Equal(collector.Close(8), int64(0))
	collector.Merge("host b", usage.Counts{7: {"x": 4}, 8: {"x": 1}})
	is.Equal(collector.Sum(8), map[string]int64{"x": 6})
	is.Equal(collector.Close(8), int64(1))
}

func TestLedger(t *testing.T) {
	const delay = 2 * time.Second
	none := func(int64) map[string]int64 { return nil }
	cases := map[string]struct {
		ledger  usage.Ledger
		now     time.Time
		next    int64
		pending []int64
		lost    []int64
		ok      bool
	}{
		"window open":       {ledger: usage.Ledger{Next: 10}, now: windows.End(9).Add(delay), next: 10},
		"counts may follow": {ledger: usage.Ledger{Next: 10}, now: windows.End(10).Add(delay - 1), next: 10},
		"one due":           {ledger: usage.Ledger{Next: 10}, now: windows.End(10).Add(delay), next: 11, pending: []int64{10}, ok: true},
		"two due":           {ledger: usage.Ledger{Next: 10}, now: windows.End(11).Add(delay), next: 12, pending: []int64{10, 11}, ok: true},
		"earlier pending":   {ledger: usage.Ledger{Next: 10, Pending: []usage.Closed{{Window: 9}}}, now: windows.End(10).Add(delay), next: 11, pending: []int64{9, 10}, ok: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed, lost, ok := c.ledger.Due(c.now, windows, delay, none)
			is.Equal(ok, c.ok)
			is.Equal(closed.Next, c.next)
			is.Equal(lost, c.lost)
			var pending []int64
			for _, window := range closed.Pending {
				pending = append(pending, window.Window)
			}
			is.Equal(pending, c.pending)
		})
	}
	t.Run("too old", func(t *testing.T) {
		is := is.New(t)
		closed, lost, ok := usage.Ledger{Next: 10}.Due(windows.End(110).Add(delay), windows, delay, none)
		is.True(ok)
		is.Equal(closed.Next, int64(111))
		is.Equal(lost[0], int64(10))
		is.Equal(len(lost)+len(closed.Pending), 101) // each window is pending or lost
	})
}
