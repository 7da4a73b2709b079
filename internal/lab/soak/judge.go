package soak

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

// limits are the times within which the promises must hold.
type limits struct {
	// apply is the time until a configuration is in force, and unstable what is
	// added after trouble with the store.
	apply, unstable time.Duration
	// cancel is the time after a confirmed end until no item starts.
	cancel time.Duration
	// contact is the calm before a host's answers count.
	contact time.Duration
	// drain is how long a server that has said that it leaves may still be used.
	drain time.Duration
	// loss is how soon a request may be cut that crossed the close of its connection.
	loss time.Duration
	// repeats is how many requests may reach servers after others like them have ended
	// three of them.
	repeats int
	// regress is how late an older configuration may still be met.
	regress time.Duration
	// settle is the time after which an accepted batch is known everywhere.
	settle time.Duration
	// spacing is the least time between orders of two hosts to a server, but for
	// those that arrive within thaw after their sender went on.
	spacing, thaw time.Duration
}

// platformLimits are those of the platform's rules and settings.
func platformLimits() limits {
	return limits{
		apply: 3 * time.Second, unstable: 6 * time.Second, cancel: 3 * time.Second, contact: 4 * time.Second, drain: drainBound,
		loss: 200 * time.Millisecond, regress: 250 * time.Millisecond, repeats: 3, settle: time.Second, spacing: orderSpacing, thaw: 300 * time.Millisecond,
	}
}

// The promises, in the order of judge.
const (
	AnswersWhole    = "answers-whole"
	NotRunIsTrue    = "not-run-is-true"
	AtMostOnce      = "at-most-once"
	OnlyAsked       = "only-what-was-asked"
	StopsCutNothing = "stops-cut-nothing"
	ConfigInForce   = "config-in-force"
	OneGiver        = "one-giver-of-orders"
	BatchesKept     = "accepted-batches-kept"
	RefusedDontRun  = "refused-batches-do-not-run"
	PositionsFixed  = "positions-fixed"
	TextsWhole      = "texts-whole"
	VersionsTrue    = "versions-true"
	EndsKept        = "ends-kept"
	RunsToTheEnd    = "batches-run-to-the-end"
	BodiesKept      = "bodies-kept"
	ScoresTrue      = "scores-true"
	PoisonStopped   = "poison-stopped"
	LeavingHeard    = "leaving-heard"
)

// judge returns one finding for each promise.
func (r *records) judge(l limits) []ledger.Finding {
	return []ledger.Finding{
		r.answersWhole(), r.notRunIsTrue(), r.atMostOnce(), r.onlyAsked(), r.stopsCutNothing(l), r.configInForce(l), r.oneGiver(l),
		r.batchesKept(l), r.refusedDontRun(), r.positionsFixed(), r.textsWhole(), r.versionsTrue(), r.endsKept(l),
		r.runsToTheEnd(), r.bodiesKept(), r.scoresTrue(), r.poisonStopped(l), r.leavingHeard(l),
	}
}

// calm reports whether nothing befell the host, the store or the servers in a span.
func (r *records) calm(host int, from, to time.Time) bool {
	return !slices.ContainsFunc(r.disturbances, func(d *disturbance) bool { return d.touches(host, from, to) })
}

func (r *records) runsByID() map[string][]platformtest.Run {
	runs := map[string][]platformtest.Run{}
	for _, run := range r.runs {
		runs[run.ID] = append(runs[run.ID], run)
	}
	return runs
}

// items returns every item that was ever submitted and its batch.
func (r *records) items() map[string]*submission {
	items := map[string]*submission{}
	for _, s := range r.submissions {
		for _, i := range s.batch.Items {
			items[i.ID] = s
		}
	}
	return items
}

func (r *records) answersWhole() ledger.Finding {
	f := ledger.Finding{Invariant: AnswersWhole}
	for _, q := range r.requests {
		if !q.broken && q.answer.Status == http.StatusOK {
			want := platformtest.PlainResponse(q.id, q.method, q.target, q.body)
			f.Checkf(string(q.answer.Body) == want && q.answer.Stamp != "", "request %s got %.60q", q.id, q.answer.Body)
		}
	}
	return f
}

func (r *records) notRunIsTrue() ledger.Finding {
	f := ledger.Finding{Invariant: NotRunIsTrue}
	runs := r.runsByID()
	for _, q := range r.requests {
		if !q.broken && q.answer.NotRun() {
			f.Checkf(len(runs[q.id]) == 0, "request %s was refused with %d by host %d and ran %d times",
				q.id, q.answer.Status, q.host, len(runs[q.id]))
		}
	}
	return f
}

func (r *records) atMostOnce() ledger.Finding {
	f := ledger.Finding{Invariant: AtMostOnce}
	runs := r.runsByID()
	for _, q := range r.requests {
		if q.repeat == platformtest.RepeatNever {
			f.Checkf(len(runs[q.id]) <= 1, "request %s ran %d times", q.id, len(runs[q.id]))
		}
	}
	return f
}

// onlyAsked judges each run by what a caller or trainer sent under its id.
func (r *records) onlyAsked() ledger.Finding {
	f := ledger.Finding{Invariant: OnlyAsked}
	sent := map[string]string{}
	for _, q := range r.requests {
		sent[q.id] = strings.Join([]string{q.method, q.target, q.body}, " ")
	}
	for _, s := range r.submissions {
		for _, i := range s.batch.Items {
			sent[i.ID] = strings.Join([]string{http.MethodPost, s.batch.Prefix + "x", i.Body}, " ")
			if i.Reward != nil {
				sent[i.Reward.ID] = strings.Join([]string{http.MethodPost, i.Reward.Target, i.Reward.Body}, " ")
			}
		}
	}
	for _, run := range r.runs {
		got := strings.Join([]string{run.Method, run.Target, run.Body}, " ")
		f.Checkf(sent[run.ID] == got, "server %s ran %s as %q, sent was %q", run.Server, run.ID, got, sent[run.ID])
	}
	return f
}

// stopsCutNothing judges the requests in flight on a host at its planned stop,
// if nothing else befell anybody from the contact time before the request on.
func (r *records) stopsCutNothing(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: StopsCutNothing, Timed: true}
	runs := r.runsByID()
	for _, s := range r.stops {
		for _, q := range r.requests {
			inFlight := q.host == s.host && q.sent.Before(s.ended) && q.ended.After(s.at)
			if inFlight && r.calm(everyone, q.sent.Add(-l.contact), q.ended) {
				crossed := len(runs[q.id]) == 0 && q.ended.Sub(q.sent) <= l.loss
				f.Checkf(!q.broken || crossed, "request %s, sent %s after the order to stop to host %d, was cut", q.id, q.sent.Sub(s.at), s.host)
			}
		}
	}
	return f
}

// configInForce judges each look: never older than an earlier one at the same
// process, nor than a version confirmed long enough ago.
func (r *records) configInForce(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: ConfigInForce, Timed: true}
	probings := slices.Clone(r.probings)
	slices.SortStableFunc(probings, func(a, b probing) int { return a.sent.Compare(b.sent) })
	type process struct {
		host    int
		started time.Time
	}
	type sight struct {
		at      time.Time
		version int64
	}
	seen := map[process]sight{}
	for _, p := range probings {
		key := process{p.host, p.started}
		before := seen[key]
		f.Checkf(p.version >= before.version || p.sent.Before(before.at.Add(l.regress)),
			"host %d went back from version %d to %d", p.host, before.version, p.version)
		if p.version > before.version {
			seen[key] = sight{p.sent, p.version}
		}
		if !r.calm(p.host, p.sent.Add(-l.contact), p.sent) {
			continue
		}
		due := l.apply
		if !r.calm(p.host, p.sent.Add(-l.contact-l.unstable), p.sent) {
			due += l.unstable
		}
		for _, e := range r.edits {
			if e.at.Add(due).Before(p.sent) {
				f.Checkf(p.version >= e.version, "host %d has version %d, version %d was confirmed %s before",
					p.host, p.version, e.version, p.sent.Sub(e.at))
			}
		}
	}
	return f
}

// oneGiver judges neighbouring orders to a server.
func (r *records) oneGiver(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: OneGiver, Timed: true}
	last := map[string]platformtest.Order{}
	fences := map[string]map[int64]string{}
	orders := slices.Clone(r.orders)
	slices.SortStableFunc(orders, func(a, b platformtest.Order) int { return a.Received.Compare(b.Received) })
	for _, o := range orders {
		if r.justResumed(o.Received, l.thaw) {
			continue
		}
		if before, ok := last[o.Server]; ok {
			f.Checkf(before.Holder == o.Holder || o.Received.Sub(before.Received) >= l.spacing,
				"server %s got orders of %s and %s within %s", o.Server, before.Holder, o.Holder, o.Received.Sub(before.Received))
		}
		last[o.Server] = o
		if fences[o.Server] == nil {
			fences[o.Server] = map[int64]string{}
		}
		holder := cmp.Or(fences[o.Server][o.Fence], o.Holder)
		f.Checkf(holder == o.Holder, "server %s got orders of %s and %s under fence %d", o.Server, holder, o.Holder, o.Fence)
		fences[o.Server][o.Fence] = holder
	}
	return f
}

// justResumed reports whether some process went on, or a link was mended, shortly before.
func (r *records) justResumed(at time.Time, thaw time.Duration) bool {
	return slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		return suspends(d.action) && !d.until.IsZero() && !at.Before(d.until) && at.Before(d.until.Add(thaw))
	})
}

// poisonStopped judges requests that end their servers, from the contact time after the
// third end on, at hosts that nothing befell meanwhile.
func (r *records) poisonStopped(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: PoisonStopped, Timed: true}
	ends := map[string][]time.Time{}
	for _, run := range r.runs {
		if strings.Contains(run.Body, platformtest.PoisonMarker) {
			ends[run.Body] = append(ends[run.Body], run.Started)
		}
	}
	runs := r.runsByID()
	late := map[string]int{}
	for _, q := range r.requests {
		times := ends[q.body]
		if len(times) < poisonLimit {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		third := times[poisonLimit-1]
		if q.sent.Before(third.Add(l.contact)) || !r.calm(q.host, q.sent.Add(-l.contact), q.sent) {
			continue
		}
		if len(runs[q.id]) > 0 {
			late[q.body]++
		}
		f.Checkf(len(runs[q.id]) == 0 || late[q.body] <= l.repeats, "request %s reached %d servers, %s after %q had ended the third",
			q.id, len(runs[q.id]), q.sent.Sub(third), q.body)
	}
	return f
}

// poisonLimit is the number of servers that a content may end.
const poisonLimit = 3

// leavingHeard judges requests at hosts that have passed on the word of a server that it
// leaves, and have not been restarted or paused since.
func (r *records) leavingHeard(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: LeavingHeard, Timed: true}
	type word struct {
		host   int
		server string
	}
	heard := map[word]time.Time{}
	for _, q := range r.requests {
		w := word{q.host, q.answer.Server()}
		if at, ok := heard[w]; !q.broken && q.answer.Leaving && (!ok || q.ended.Before(at)) {
			heard[w] = q.ended
		}
	}
	runs := r.runsByID()
	for _, q := range r.requests {
		for _, run := range runs[q.id] {
			at, ok := heard[word{q.host, run.Server}]
			if ok && !r.interrupted(q.host, at, q.sent) {
				f.Checkf(!q.sent.After(at.Add(l.drain)), "request %s reached server %s, %s after host %d had passed on that it leaves",
					q.id, run.Server, q.sent.Sub(at), q.host)
			}
		}
	}
	return f
}

// interrupted reports whether a host was restarted or paused in a span.
func (r *records) interrupted(host int, from, to time.Time) bool {
	stopped := slices.ContainsFunc(r.stops, func(s stop) bool { return s.host == host && s.at.Before(to) && s.ended.After(from) })
	return stopped || slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		switch d.action {
		case ActionAllKill, ActionHostKill, ActionHostPause, ActionHostSeries:
			return (d.host == host || d.host == everyone) && d.touches(host, from, to)
		default:
			return false
		}
	})
}
