// Package criticalpath tells from the logs of the hosts what each step of a trainer waited
// for. A step lasts as long as the last item of the groups that its trainer waits for, so
// the time of that item, from its batch's submission to the storage of its result, is
// split by cause.
package criticalpath

import (
	"slices"
	"strconv"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/logline"
)

// Cause is what a part of a step's time went to.
type Cause string

// The causes, in the order in which they occur.
const (
	// CauseRefused is the time from the first refusal of the batch to its acceptance.
	CauseRefused Cause = "refused"
	// CauseHandover is the time from the acceptance to the start of the batch at its owner.
	CauseHandover Cause = "handover"
	// CauseTakeover is the time from the item's last known run at one owner to the
	// adoption of the batch by the next one. The log lacks the run that the owner lost.
	CauseTakeover Cause = "takeover"
	// The waits for an engine, by the obstacle in the log; CauseWait has none.
	CauseWait         Cause = "wait"
	CauseWaitBackoff  Cause = "wait-back-off"
	CauseWaitNoEngine Cause = "wait-no-engine"
	CauseWaitSlots    Cause = "wait-slots"
	CauseWaitWeights  Cause = "wait-weights"
	// CauseNotRun is the time of runs that engines refused.
	CauseNotRun Cause = "not-run"
	// CauseFirstEvent is the time from the start of runs to their first event.
	CauseFirstEvent Cause = "first-event"
	// CauseGeneration is the time of the events at the pace of the fastest engine.
	CauseGeneration Cause = "generation"
	// CauseSlowEngine is what the chosen engine's known pace added to that.
	CauseSlowEngine Cause = "slow-engine"
	// CauseSlowRun is what runs took beyond their engine's known pace.
	CauseSlowRun Cause = "slow-run"
	// CauseSilence is the time without an event before runs were given up.
	CauseSilence Cause = "silence"
	// CauseReward is the time from the complete text to its score.
	CauseReward Cause = "reward"
	// CauseListing is the time from the score to the storage of the result.
	CauseListing Cause = "listing"
)

// Causes lists all causes in the order in which they occur.
func Causes() []Cause {
	return []Cause{
		CauseRefused, CauseHandover, CauseTakeover, CauseWait, CauseWaitBackoff, CauseWaitNoEngine, CauseWaitSlots, CauseWaitWeights,
		CauseNotRun, CauseFirstEvent, CauseGeneration, CauseSlowEngine, CauseSlowRun, CauseSilence, CauseReward, CauseListing,
	}
}

// Path is the critical path of one step.
type Path struct {
	Batch string
	// Item is the last item of the groups that the trainer waits for.
	Item  string
	Step  string
	Spent map[Cause]time.Duration
	// Submitted is the first time at which a log mentions the batch.
	Submitted time.Time
}

// Total returns the time of the step.
func (p Path) Total() time.Duration {
	var total time.Duration
	for _, spent := range p.Spent {
		total += spent
	}
	return total
}

// Sum returns the times of all paths by cause.
func Sum(paths []Path) map[Cause]time.Duration {
	sums := make(map[Cause]time.Duration)
	for _, p := range paths {
		for cause, spent := range p.Spent {
			sums[cause] += spent
		}
	}
	return sums
}

// Find returns the critical paths of the batches whose awaited groups became complete and
// were stored, in order of their submission.
func Find(lines []logline.Line) []Path {
	byBatch := make(map[string][]logline.Line)
	for _, line := range lines {
		if id := line.Attrs["batch"]; id != "" {
			byBatch[id] = append(byBatch[id], line)
		}
	}
	pace := typicalBestPace(lines)
	var paths []Path
	for id, of := range byBatch {
		slices.SortStableFunc(of, func(a, b logline.Line) int { return a.Time.Compare(b.Time) })
		if p, ok := find(id, of, pace); ok {
			paths = append(paths, p)
		}
	}
	slices.SortFunc(paths, func(a, b Path) int { return a.Submitted.Compare(b.Submitted) })
	return paths
}

// typicalBestPace returns the median of the fastest engine's event interval over all runs
// whose host knew it, or zero.
func typicalBestPace(lines []logline.Line) time.Duration {
	var known []time.Duration
	for _, line := range lines {
		if pace := duration(line, "best-pace"); pace > 0 {
			known = append(known, pace)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// find returns the critical path of one batch from its lines in order of time. bestPace
// stands for the pace of the fastest engine where the host knew none.
func find(id string, lines []logline.Line, bestPace time.Duration) (Path, bool) {
	complete := slices.IndexFunc(lines, func(l logline.Line) bool { return l.Message == "awaited groups complete" })
	if complete < 0 {
		return Path{}, false
	}
	stored := slices.IndexFunc(lines[complete:], func(l logline.Line) bool { return l.Message == "results stored" })
	accepted := slices.IndexFunc(lines, func(l logline.Line) bool { return l.Message == "batch accepted" })
	if stored < 0 || accepted < 0 || accepted > complete {
		return Path{}, false
	}
	w := walk{
		bestPace: bestPace,
		at:       lines[0].Time,
		path:     Path{Batch: id, Item: lines[complete].Attrs["item"], Spent: make(map[Cause]time.Duration), Submitted: lines[0].Time},
	}
	w.until(lines[accepted].Time, CauseRefused)
	adopted := false
	for _, l := range lines[:complete] {
		switch {
		case l.Message == "batch adopted":
			cause := CauseHandover
			if adopted {
				cause = CauseTakeover
			}
			adopted, w.path.Step = true, l.Attrs["step"]
			w.until(l.Time, cause)
		case l.Message == "item run ended" && l.Attrs["item"] == w.path.Item:
			w.addRun(l)
		}
	}
	w.until(lines[complete].Time, CauseReward)
	w.until(lines[complete+stored].Time, CauseListing)
	return w.path, true
}

// walk follows the last item of a step through time.
type walk struct {
	at       time.Time
	bestPace time.Duration
	path     Path
}

// until attributes the time up to t to a cause. An earlier time, as from a host whose
// clock is behind, adds nothing.
func (w *walk) until(t time.Time, cause Cause) {
	if t.After(w.at) {
		w.path.Spent[cause] += t.Sub(w.at)
		w.at = t
	}
}

// addRun attributes the wait before a run and the time of the run.
func (w *walk) addRun(l logline.Line) {
	took := duration(l, "after")
	w.until(l.Time.Add(-took), waitCause(l.Attrs["waited-for"]))
	events, _ := strconv.Atoi(l.Attrs["events"]) // A line without the count counts as silent.
	switch {
	case l.Attrs["outcome"] == "not-run":
		w.until(l.Time, CauseNotRun)
		return
	case events == 0:
		w.until(l.Time, CauseSilence)
		return
	}
	w.until(w.at.Add(duration(l, "to-first-event")), CauseFirstEvent)
	last := l.Time
	if l.Attrs["outcome"] != "completed" {
		last = last.Add(-duration(l, "silent"))
	}
	best, engine := duration(l, "best-pace"), duration(l, "server-pace")
	intervals := int64(events - 1)
	if best == 0 {
		best = w.bestPace
	}
	w.until(earlier(w.at.Add(times(best, intervals)), last), CauseGeneration)
	w.until(earlier(w.at.Add(times(max(engine-best, 0), intervals)), last), CauseSlowEngine)
	w.until(last, CauseSlowRun)
	w.until(l.Time, CauseSilence)
}

func waitCause(obstacle string) Cause {
	if obstacle == "" {
		return CauseWait
	}
	return CauseWait + "-" + Cause(obstacle)
}

func times(d time.Duration, n int64) time.Duration { return time.Duration(n * d.Nanoseconds()) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// duration returns the value of an attribute, or zero if it is no duration.
func duration(l logline.Line, key string) time.Duration {
	d, err := time.ParseDuration(l.Attrs[key])
	if err != nil {
		return 0
	}
	return d
}
