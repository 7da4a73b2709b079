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

// limits are the bounds within which the guarantees must hold.
type limits struct {
	// apply is the time until a configuration is in force, and applyAfterFault the
	// time added to it after a recent disturbance.
	apply, applyAfterFault time.Duration
	// cancel is how long after the confirmed end of a batch its items may still start.
	cancel time.Duration
	// recovery is the undisturbed time after which a host must meet the guarantees again.
	recovery time.Duration
	// drain is how long a server may still be used after it has announced that it leaves.
	drain time.Duration
	// closeRace is how long after it was sent a request that did not run may be cut off
	// by a planned stop. The host may close the connection at the moment at which the
	// caller sends the request on it.
	closeRace time.Duration
	// told is how long after it has passed on the first answer with a request limit a host
	// must keep the limit, and named how long after its first such answer a server is
	// judged. A server may get limitTolerance times its limit over limitWindow, and
	// limitSlack requests more.
	told, named, limitWindow time.Duration
	limitTolerance           float64
	limitSlack               int
	// poisonRepeats is how many poison requests may reach servers after requests with the
	// same content have crashed three servers.
	poisonRepeats int
	// regress is how long after a newer configuration an older one may still be seen.
	regress time.Duration
	// settle is the time after which an accepted batch is known on all hosts.
	settle time.Duration
	// spacing is the minimum time between orders of different hosts to a server. Orders
	// that arrive within resume after the end of a pause of a host or of a fault of a
	// link are exempt, because they may have been delayed.
	spacing, resume time.Duration
}

// platformLimits returns the limits from the platform's rules and settings.
func platformLimits() limits {
	return limits{
		apply: 3 * time.Second, applyAfterFault: 6 * time.Second, cancel: 3 * time.Second, recovery: 4 * time.Second, drain: drainBound,
		closeRace: 200 * time.Millisecond, regress: 250 * time.Millisecond,
		told: 500 * time.Millisecond, named: limitNotice, limitWindow: 4 * time.Second, limitTolerance: 1.5, limitSlack: 5, poisonRepeats: 3, settle: time.Second, spacing: orderSpacing, resume: 300 * time.Millisecond,
	}
}

// The guarantees, in the order of judge.
const (
	AnswersComplete      = "answers-whole"
	RefusedNotRun        = "not-run-is-true"
	AtMostOnce           = "at-most-once"
	OnlyRequested        = "only-what-was-asked"
	StopsDrain           = "stops-cut-nothing"
	ConfigInForce        = "config-in-force"
	SingleHolder         = "one-giver-of-orders"
	BatchesKept          = "accepted-batches-kept"
	RefusedBatchesNotRun = "refused-batches-do-not-run"
	PositionsFixed       = "positions-fixed"
	TextsComplete        = "texts-whole"
	VersionsCorrect      = "versions-true"
	EndsHonored          = "ends-kept"
	BatchesComplete      = "batches-run-to-the-end"
	BodiesKept           = "bodies-kept"
	ScoresCorrect        = "scores-true"
	PoisonStopped        = "poison-stopped"
	LeavingHonored       = "leaving-heard"
	LimitsKept           = "limits-kept"
)

// judge returns one finding for each guarantee.
func (r *records) judge(l limits) []ledger.Finding {
	return []ledger.Finding{
		r.answersComplete(), r.refusedNotRun(), r.atMostOnce(), r.onlyRequested(), r.stopsDrain(l), r.configInForce(l), r.singleHolder(l),
		r.batchesKept(l), r.refusedBatchesNotRun(), r.positionsFixed(), r.textsComplete(), r.versionsCorrect(), r.endsHonored(l),
		r.batchesComplete(), r.bodiesKept(), r.scoresCorrect(), r.poisonStopped(l), r.leavingHonored(l), r.limitsKept(l),
	}
}

// undisturbed reports whether no disturbance affected the host or the store between from
// and to. For allHosts, it reports whether there was no disturbance at all.
func (r *records) undisturbed(host int, from, to time.Time) bool {
	return !slices.ContainsFunc(r.disturbances, func(d *disturbance) bool { return d.affects(host, from, to) })
}

func (r *records) runsByID() map[string][]platformtest.Run {
	runs := map[string][]platformtest.Run{}
	for _, run := range r.runs {
		runs[run.ID] = append(runs[run.ID], run)
	}
	return runs
}

// items returns the submission of each item by the item's id.
func (r *records) items() map[string]*submission {
	items := map[string]*submission{}
	for _, s := range r.submissions {
		for _, i := range s.batch.Items {
			items[i.ID] = s
		}
	}
	return items
}

func (r *records) answersComplete() ledger.Finding {
	f := ledger.Finding{Invariant: AnswersComplete}
	for _, q := range r.requests {
		if !q.broken && q.answer.Status == http.StatusOK {
			want := platformtest.PlainResponse(q.id, q.method, q.target, q.body)
			f.Checkf(string(q.answer.Body) == want && q.answer.Signature != "", "request %s got %.60q", q.id, q.answer.Body)
		}
	}
	return f
}

func (r *records) refusedNotRun() ledger.Finding {
	f := ledger.Finding{Invariant: RefusedNotRun}
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

// onlyRequested compares each run with what a caller or trainer sent under its id.
func (r *records) onlyRequested() ledger.Finding {
	f := ledger.Finding{Invariant: OnlyRequested}
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
		f.Checkf(sent[run.ID] == got, "server %s ran %s as %q, expected %q as sent", run.Server, run.ID, got, sent[run.ID])
	}
	return f
}

// stopsDrain checks that a planned stop of a host cuts off no request in flight on the
// host, apart from the race that limits.closeRace allows. A request counts if no
// disturbance occurred during the request and for l.recovery before it.
func (r *records) stopsDrain(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: StopsDrain, Timed: true}
	runs := r.runsByID()
	for _, s := range r.stops {
		for _, q := range r.requests {
			inFlight := q.host == s.host && q.sent.Before(s.ended) && q.ended.After(s.at)
			if inFlight && r.undisturbed(allHosts, q.sent.Add(-l.recovery), q.ended) {
				crossed := len(runs[q.id]) == 0 && q.ended.Sub(q.sent) <= l.closeRace
				f.Checkf(!q.broken || crossed, "request %s, sent %s after host %d was asked to stop, was cut", q.id, q.sent.Sub(s.at), s.host)
			}
		}
	}
	return f
}

// configInForce checks that a process does not go back to an older configuration, except
// within l.regress. It also checks that a confirmed configuration, or a later one, is in
// force after l.apply on a host that was undisturbed for l.recovery. After an earlier
// disturbance, l.applyAfterFault is added.
func (r *records) configInForce(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: ConfigInForce, Timed: true}
	probes := slices.Clone(r.configProbes)
	slices.SortStableFunc(probes, func(a, b configProbe) int { return a.sent.Compare(b.sent) })
	type process struct {
		host    int
		started time.Time
	}
	type observation struct {
		at      time.Time
		version int64
	}
	seen := map[process]observation{}
	for _, p := range probes {
		key := process{p.host, p.started}
		before := seen[key]
		f.Checkf(p.version >= before.version || p.sent.Before(before.at.Add(l.regress)),
			"host %d went back from configuration version %d to %d", p.host, before.version, p.version)
		if p.version > before.version {
			seen[key] = observation{p.sent, p.version}
		}
		if !r.undisturbed(p.host, p.sent.Add(-l.recovery), p.sent) {
			continue
		}
		due := l.apply
		if !r.undisturbed(p.host, p.sent.Add(-l.recovery-l.applyAfterFault), p.sent) {
			due += l.applyAfterFault
		}
		for _, e := range r.configChanges {
			if e.at.Add(due).Before(p.sent) {
				f.Checkf(p.version >= e.version, "host %d has configuration version %d, version %d was confirmed %s before",
					p.host, p.version, e.version, p.sent.Sub(e.at))
			}
		}
	}
	return f
}

// singleHolder checks that two consecutive orders to a server come from the same holder
// or arrive at least l.spacing apart. It also checks that all orders to a server with the
// same fencing token come from one holder.
func (r *records) singleHolder(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: SingleHolder, Timed: true}
	last := map[string]platformtest.Order{}
	fences := map[string]map[int64]string{}
	orders := slices.Clone(r.orders)
	slices.SortStableFunc(orders, func(a, b platformtest.Order) int { return a.Received.Compare(b.Received) })
	for _, o := range orders {
		if r.justResumed(o.Received, l.resume) {
			continue
		}
		if before, ok := last[o.Server]; ok {
			f.Checkf(before.Holder == o.Holder || o.Received.Sub(before.Received) >= l.spacing,
				"server %s got orders from holders %s and %s within %s", o.Server, before.Holder, o.Holder, o.Received.Sub(before.Received))
		}
		last[o.Server] = o
		if fences[o.Server] == nil {
			fences[o.Server] = map[int64]string{}
		}
		holder := cmp.Or(fences[o.Server][o.Fence], o.Holder)
		f.Checkf(holder == o.Holder, "server %s got orders from holders %s and %s under fencing token %d", o.Server, holder, o.Holder, o.Fence)
		fences[o.Server][o.Fence] = holder
	}
	return f
}

// justResumed reports whether, at most window before at, a fault ended that can delay
// orders without the host noticing.
func (r *records) justResumed(at time.Time, window time.Duration) bool {
	return slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		return delaysUnnoticed(d.action) && !d.until.IsZero() && !at.Before(d.until) && at.Before(d.until.Add(window))
	})
}

// poisonStopped checks that hosts stop sending requests to servers once requests with
// the same content have crashed three servers. A request counts if it was sent at least
// l.recovery after the third crash, to a host that was undisturbed for l.recovery before.
// Up to l.poisonRepeats of these requests may still reach servers.
func (r *records) poisonStopped(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: PoisonStopped, Timed: true}
	crashTimes := map[string][]time.Time{}
	for _, run := range r.runs {
		if strings.Contains(run.Body, platformtest.PoisonMarker) {
			crashTimes[run.Body] = append(crashTimes[run.Body], run.Started)
		}
	}
	runs := r.runsByID()
	late := map[string]int{}
	for _, q := range r.requests {
		times := crashTimes[q.body]
		if len(times) < poisonLimit {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		third := times[poisonLimit-1]
		if q.sent.Before(third.Add(l.recovery)) || !r.undisturbed(q.host, q.sent.Add(-l.recovery), q.sent) {
			continue
		}
		if len(runs[q.id]) > 0 {
			late[q.body]++
		}
		f.Checkf(len(runs[q.id]) == 0 || late[q.body] <= l.poisonRepeats, "request %s reached %d servers, %s after content %q had crashed the third",
			q.id, len(runs[q.id]), q.sent.Sub(third), q.body)
	}
	return f
}

// poisonLimit is the number of servers that requests with the same content may crash.
const poisonLimit = 3

// leavingHonored checks that a host stops using a server that leaves. The host has
// learned that the server leaves when it passes on a response with the announcement.
// Requests that are sent to the host more than l.drain later must not reach the server,
// unless the host was restarted or paused in between.
func (r *records) leavingHonored(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: LeavingHonored, Timed: true}
	type announcement struct {
		host   int
		server string
	}
	announced := map[announcement]time.Time{}
	for _, q := range r.requests {
		key := announcement{q.host, q.answer.Server()}
		if at, ok := announced[key]; !q.broken && q.answer.Leaving && (!ok || q.ended.Before(at)) {
			announced[key] = q.ended
		}
	}
	runs := r.runsByID()
	for _, q := range r.requests {
		for _, run := range runs[q.id] {
			at, ok := announced[announcement{q.host, run.Server}]
			if ok && !r.interrupted(q.host, at, q.sent) {
				f.Checkf(!q.sent.After(at.Add(l.drain)), "request %s reached server %s, %s after host %d had passed on its announcement that it leaves",
					q.id, run.Server, q.sent.Sub(at), q.host)
			}
		}
	}
	return f
}

// interrupted reports whether a host was restarted or paused between from and to.
func (r *records) interrupted(host int, from, to time.Time) bool {
	stopped := slices.ContainsFunc(r.stops, func(s plannedStop) bool { return s.host == host && s.at.Before(to) && s.ended.After(from) })
	return stopped || slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		switch d.action {
		case ActionAllKill, ActionHostKill, ActionHostPause, ActionHostSeries:
			return (d.host == host || d.host == allHosts) && d.affects(host, from, to)
		default:
			return false
		}
	})
}
