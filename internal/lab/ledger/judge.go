package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

// Limits are the times within which the guarantees must hold.
type Limits struct {
	// InForce is how long an accepted edit may take to be in force on all entry hosts.
	InForce time.Duration
	// Leaving is how long a leaving server may still receive new requests.
	Leaving time.Duration
}

// DefaultLimits returns the limits that the product guarantees.
func DefaultLimits() Limits {
	return Limits{InForce: 11 * time.Second, Leaving: 5 * time.Second}
}

// Finding is the result of the checks of one guarantee.
type Finding struct {
	Broken  int
	Checked int
	// FirstViolation describes the first failed check.
	FirstViolation string
	Invariant      string
	// Timed is true if the guarantee has a time bound, so that an overloaded machine
	// can break it too.
	Timed bool
}

// Checkf counts one check and records the description of the first one that failed.
func (f *Finding) Checkf(held bool, format string, args ...any) {
	f.Checked++
	if held {
		return
	}
	f.Broken++
	if f.FirstViolation == "" {
		f.FirstViolation = fmt.Sprintf(format, args...)
	}
}

// The invariants, in the order of Judge.
const (
	SamplesNameVersions  = "samples-name-versions"
	SamplesWithinBound   = "samples-within-bound"
	SamplesExactlyOnce   = "samples-exactly-once"
	AnswersComplete      = "answers-whole"
	RefusedNotRun        = "not-run-is-true"
	AtMostOnce           = "at-most-once"
	LeavingGetsNoWork    = "leaving-gets-no-work"
	StopsDrain           = "stops-cut-nothing"
	AcceptedStaysInForce = "accepted-stays-in-force"
)

// Judge returns one finding for each guarantee.
func (r *Records) Judge(limits Limits) []Finding {
	verdict := r.samples()
	return []Finding{
		{Invariant: SamplesNameVersions, Checked: verdict.Delivered, Broken: verdict.Mislabelled, FirstViolation: firstOf(verdict.Mislabelled, verdict)},
		{Invariant: SamplesWithinBound, Checked: verdict.Delivered, Broken: verdict.OverStalenessBound, FirstViolation: firstOf(verdict.OverStalenessBound, verdict)},
		{
			Invariant: SamplesExactlyOnce, Checked: verdict.Delivered + verdict.Lost, Broken: verdict.Lost + verdict.Duplicated,
			FirstViolation: firstOf(verdict.Lost+verdict.Duplicated, verdict),
		},
		r.answersComplete(verdict),
		r.refusedNotRun(),
		r.atMostOnce(),
		r.leaving(limits),
		r.stopsDrain(),
		r.inForce(limits),
	}
}

func firstOf(broken int, verdict trainer.CheckResult) string {
	if broken == 0 {
		return ""
	}
	return verdict.FirstViolation
}

func (r *Records) samples() trainer.CheckResult {
	truths := make([]engine.GroundTruth, 0, len(r.Engines))
	for _, truth := range r.Engines {
		truths = append(truths, truth)
	}
	var sum trainer.CheckResult
	for _, log := range r.Trainers {
		sum = sum.Add(trainer.Check(log, truths...))
	}
	return sum
}

func (r *Records) answersComplete(samples trainer.CheckResult) Finding {
	f := Finding{Invariant: AnswersComplete, Checked: samples.Delivered, Broken: samples.Wrong, FirstViolation: firstOf(samples.Wrong, samples)}
	for _, request := range r.Requests {
		if request.Outcome.Answered {
			f.Checkf(request.Answer == request.Want, "%s %q was answered with %.60q, expected %.60q", request.Kind, request.ID, request.Answer, request.Want)
		}
	}
	return f
}

// runs returns how often the backend servers ran each request.
func (r *Records) runs() map[string]int {
	runs := map[string]int{}
	for _, truth := range r.Engines {
		for _, list := range truth.Runs {
			for _, run := range list {
				runs[run.Prompt]++
			}
		}
	}
	for _, truth := range r.Plains {
		for id, count := range truth.Effects {
			runs[id] += count
		}
		for path, count := range truth.Lookups {
			runs[path] += count
		}
	}
	return runs
}

// refusedNotRun checks that no backend server ran a request if an entry host refused
// each of its tries as not run.
func (r *Records) refusedNotRun() Finding {
	f := Finding{Invariant: RefusedNotRun}
	runs := r.runs()
	for _, request := range r.Requests {
		tries := request.Outcome.Attempts
		refused := len(tries) > 0 && !request.Outcome.Answered
		for _, try := range tries {
			refused = refused && try.Refused && try.Ran == kind.RanNo
		}
		if refused {
			f.Checkf(runs[request.ID] == 0, "%s %q was refused as not run but ran %d times: %s", request.Kind, request.ID, runs[request.ID], describe(request))
		}
	}
	return f
}

// describe formats the tries of a request.
func describe(request Request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "repeatable=%t faulty=%t answered=%t", request.Outcome.Request.Idempotent, request.Faulty, request.Outcome.Answered)
	for _, try := range request.Outcome.Attempts {
		fmt.Fprintf(&b, "; %s on %s took %s: refused=%t kind=%s ran=%s",
			try.At.Format(time.StampMilli), try.Address, try.Duration.Round(time.Millisecond), try.Refused, try.Kind, try.Ran)
	}
	return b.String()
}

func (r *Records) atMostOnce() Finding {
	f := Finding{Invariant: AtMostOnce}
	runs := r.runs()
	for _, request := range r.Requests {
		if request.Kind == RequestBooking {
			f.Checkf(runs[request.ID] <= 1, "booking %q ran %d times, expected at most once: %s", request.ID, runs[request.ID], describe(request))
		}
	}
	return f
}

// leaving checks that no run begins on an engine that has been leaving for longer than
// the limit.
func (r *Records) leaving(limits Limits) Finding {
	f := Finding{Invariant: LeavingGetsNoWork}
	for address, truth := range r.Engines {
		for id, runs := range truth.Runs {
			for _, run := range runs {
				for _, d := range r.Departures {
					if d.covers(run.Started, limits.Leaving) {
						f.Checkf(d.Address != address, "engine %s began request %s %s after it was marked as leaving, limit is %s", address, id, run.Started.Sub(d.At), limits.Leaving)
					}
				}
			}
		}
	}
	return f
}

func (d Departure) covers(at time.Time, limit time.Duration) bool {
	return at.After(d.At.Add(limit)) && (d.Until.IsZero() || at.Before(d.Until))
}

// stopsDrain checks that a planned stop of an entry host cuts off no try that is in
// flight on the host. Refused tries and tries that timed out at the caller don't count
// as cut off.
func (r *Records) stopsDrain() Finding {
	f := Finding{Invariant: StopsDrain}
	for _, request := range r.Requests {
		if request.Faulty {
			continue
		}
		for i, try := range request.Outcome.Attempts {
			for _, drain := range r.Drains {
				inFlight := try.Address == drain.Address && try.At.Before(drain.Until) && try.At.Add(try.Duration).After(drain.At)
				if !inFlight || try.TimedOut {
					continue
				}
				last := i == len(request.Outcome.Attempts)-1
				complete := last && request.Outcome.Answered || try.Ran == kind.RanNo || try.Refused
				f.Checkf(complete, "%s %q on %s was cut off by the planned stop of this host: %s", request.Kind, request.ID, try.Address, describe(request))
			}
		}
	}
	return f
}

// inForce checks that the edit in force on a node never goes back to an older one between
// two starts of the node. It also checks that an accepted edit, or a later one, is in
// force once the limit has passed. The limit counts from the acceptance of the edit or
// from the start of the node, whichever is later.
func (r *Records) inForce(limits Limits) Finding {
	f := Finding{Invariant: AcceptedStaysInForce}
	observations := slices.Clone(r.Observations)
	slices.SortStableFunc(observations, func(a, b Observation) int { return a.Sent.Compare(b.Sent) })
	type series struct {
		node  string
		since time.Time
	}
	highest := map[series]int{}
	for _, o := range observations {
		key := series{node: o.Node, since: o.Since}
		due := highest[key]
		for _, a := range r.Acceptances {
			since := a.At
			if o.Since.After(since) {
				since = o.Since
			}
			if o.Sent.After(since.Add(limits.InForce)) {
				due = max(due, a.Number)
			}
		}
		f.Checkf(o.Number >= due, "node %s shows edit %d, expected edit %d or later", o.Node, o.Number, due)
		highest[key] = max(highest[key], o.Number)
	}
	return f
}
