package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/lab/chaos"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

// validRecords returns the records of a short run in which every guarantee was checked
// and held. Times are given in seconds after zero.
func validRecords(zero time.Time) *records {
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	item := func(id string) platformtest.Item {
		return platformtest.Item{Body: "2", Group: "g", ID: id, Reward: &platformtest.Reward{Body: "b", ID: "r" + id, Target: "/f/r"}}
	}
	ran := func(id, target, body string, started float64) platformtest.Run {
		return platformtest.Run{
			Body: body, ID: id, Method: http.MethodPost, Server: "s", Signature: "s." + id, Started: at(started), Target: target,
			Versions: map[int64]bool{3: true}, Completed: at(started + 0.5),
		}
	}
	poison := func(id string, sent float64) request {
		return request{
			answer: platformtest.Response{Status: http.StatusBadGateway}, body: platformtest.PoisonMarker, ended: at(sent), host: 1, id: id,
			method: "POST", sent: at(sent), target: "/f/p",
		}
	}
	leaving := func(id string, sent float64) request {
		return request{
			answer: platformtest.Response{Body: []byte(platformtest.PlainResponse(id, "POST", "/f/l", "b")), Leaving: true, Signature: "s.9", Status: http.StatusOK},
			body:   "b", ended: at(sent), host: 1, id: id, method: "POST", sent: at(sent), target: "/f/l",
		}
	}
	limited := func(id string, sent float64) request {
		return request{
			answer: platformtest.Response{Body: []byte(platformtest.PlainResponse(id, "POST", "/f/m", "b")), Limited: true, Signature: "t.9", Status: http.StatusOK},
			body:   "b", ended: at(sent), host: 1, id: id, method: "POST", sent: at(sent), target: "/f/m",
		}
	}
	answered := platformtest.Response{Body: []byte(platformtest.PlainResponse("q1", "POST", "/n/q1", "b")), Signature: "s", Status: http.StatusOK}
	result := platformtest.Result{
		Completed: true, Item: "i1", Score: "s.ri1", Text: platformtest.ItemText("i1", "2", "v1"), Versions: []int64{3},
	}
	page := platformtest.Page{Next: 1, Results: []platformtest.Result{result}, Total: 1}
	open := platformtest.Batch{ID: "open", Items: []platformtest.Item{item("i1")}, MinVersion: 2, Prefix: "/b/"}
	ended := platformtest.Batch{ID: "ended", Items: []platformtest.Item{item("i2")}, Prefix: "/b/"}
	refused := platformtest.Batch{ID: "refused", Items: []platformtest.Item{item("i3")}, Prefix: "/b/"}
	return &records{
		arrivals: []platformtest.Arrival{
			{At: at(50), ID: "m1", PerSecond: 0.25, Server: "t"}, {At: at(54), ID: "m2", PerSecond: 0.25, Server: "t"},
		},
		bodies:        []bodyReading{{batch: "open", body: "2", item: "i1", status: http.StatusOK}},
		configChanges: []configChange{{at: at(1), version: 2}},
		orders: []platformtest.Order{
			{Received: at(1), Fence: 1, Holder: "h1", Server: "s"}, {Received: at(5), Fence: 2, Holder: "h2", Server: "s"},
		},
		configProbes: []configProbe{{host: 0, sent: at(10), version: 2}, {host: 0, sent: at(11), version: 2}},
		readings: []reading{
			{batch: "open", host: 0, page: page, sent: at(10), status: http.StatusOK},
			{batch: "open", final: true, host: 1, page: page, sent: at(30), status: http.StatusOK},
		},
		requests: []request{
			{answer: answered, body: "b", ended: at(10.1), host: 0, id: "q1", method: "POST", repeat: platformtest.RepeatNever, sent: at(10), target: "/n/q1"},
			{answer: platformtest.Response{Status: http.StatusServiceUnavailable}, ended: at(10.1), host: 1, id: "q2", method: "POST", sent: at(10), target: "/n/q2"},
			poison("p1", 20), poison("p2", 20.1), poison("p3", 20.2), poison("p4", 30), poison("p5", 31), poison("p6", 32), poison("p7", 33),
			leaving("l1", 40), leaving("l2", 42), leaving("l3", 44), limited("m1", 50), limited("m2", 54),
		},
		runs: []platformtest.Run{
			ran("q1", "/n/q1", "b", 10), ran("i1", "/b/x", "2", 9), ran("i2", "/b/x", "2", 9),
			ran("ri1", "/f/r", "b", 9.5),
			ran("p1", "/f/p", platformtest.PoisonMarker, 20), ran("p2", "/f/p", platformtest.PoisonMarker, 20.1),
			ran("p3", "/f/p", platformtest.PoisonMarker, 20.2), ran("p4", "/f/p", platformtest.PoisonMarker, 30),
			ran("p5", "/f/p", platformtest.PoisonMarker, 31), ran("p6", "/f/p", platformtest.PoisonMarker, 32),
			ran("l1", "/f/l", "b", 40), ran("l2", "/f/l", "b", 42),
		},
		stops: []plannedStop{{at: at(10.05), ended: at(12), host: 0}},
		submissions: map[string]*submission{
			"open":    {accepted: at(8), batch: open},
			"ended":   {accepted: at(8), batch: ended, endConfirmed: at(12), endSent: at(11)},
			"refused": {batch: refused, refused: true},
		},
	}
}

// TestJudgeReportsEachViolation violates each guarantee in turn and expects only that
// one to be reported.
func TestJudgeReportsEachViolation(t *testing.T) {
	zero := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	cases := map[string]struct {
		invariant string
		violate   func(*records)
	}{
		"no violation":            {"", func(*records) {}},
		"bytes of another answer": {AnswersComplete, func(r *records) { r.requests[0].answer.Body = []byte("q9") }},
		"no signature":            {AnswersComplete, func(r *records) { r.requests[0].answer.Signature = "" }},
		"refused and ran": {RefusedNotRun, func(r *records) {
			r.runs = append(r.runs, platformtest.Run{ID: "q2", Method: "POST", Target: "/n/q2"})
		}},
		"ran twice":      {AtMostOnce, func(r *records) { r.runs = append(r.runs, r.runs[0]) }},
		"a changed path": {OnlyRequested, func(r *records) { r.runs[0].Target = "/n/q1/" }},
		"an unknown id":  {OnlyRequested, func(r *records) { r.runs = append(r.runs, platformtest.Run{ID: "q9"}) }},
		"cut by a stop":  {StopsDrain, func(r *records) { r.requests[0].broken = true }},
		"a version not in force": {ConfigInForce, func(r *records) {
			r.configProbes[0].version, r.configProbes[1].version = 1, 1
		}},
		"back to an older version": {ConfigInForce, func(r *records) {
			r.configChanges, r.configProbes[1].version = nil, 1
		}},
		"orders of two holders too close":     {SingleHolder, func(r *records) { r.orders[1].Received = at(3) }},
		"two holders under one fencing token": {SingleHolder, func(r *records) { r.orders[1].Fence = 1 }},
		"an accepted batch is unknown": {BatchesKept, func(r *records) {
			r.readings = append(r.readings, reading{batch: "ended", sent: at(20), status: http.StatusNotFound})
		}},
		"a wrong total": {BatchesKept, func(r *records) { r.readings[0].page.Total = 2 }},
		"a refused batch runs": {RefusedBatchesNotRun, func(r *records) {
			r.runs = append(r.runs, platformtest.Run{Body: "2", ID: "i3", Method: "POST", Target: "/b/x"})
		}},
		"another versions list": {PositionsFixed, func(r *records) {
			r.readings[1].page.Results = []platformtest.Result{
				{Completed: true, Item: "i1", Score: "s.ri1", Text: platformtest.ItemText("i1", "2", "v1"), Versions: []int64{3, 3}},
			}
		}},
		"another position": {PositionsFixed, func(r *records) { r.readings[1].page.After = 1 }},
		"an event is missing": {TextsComplete, func(r *records) {
			setResults(r, platformtest.Result{Completed: true, Item: "i1", Score: "s.ri1", Text: "i1.1v1", Versions: []int64{3}})
		}},
		"a text of two software versions": {TextsComplete, func(r *records) {
			setResults(r, platformtest.Result{Completed: true, Item: "i1", Score: "s.ri1", Text: "i1.1v1\ni1.2v2", Versions: []int64{3}})
		}},
		"abandoned without cause": {TextsComplete, func(r *records) { setResults(r, platformtest.Result{Item: "i1"}) }},
		"an item of another batch": {TextsComplete, func(r *records) {
			setResults(r, platformtest.Result{Completed: true, Item: "i2", Text: platformtest.ItemText("i2", "2", "v1"), Versions: []int64{3}})
		}},
		"a version that was not used":             {VersionsCorrect, func(r *records) { r.runs[1].Versions = map[int64]bool{4: true} }},
		"a version that is too old":               {VersionsCorrect, func(r *records) { r.submissions["open"].batch.MinVersion = 4 }},
		"an item after the end":                   {EndsHonored, func(r *records) { r.runs[2].Started = at(16) }},
		"a batch without an end stays incomplete": {BatchesComplete, func(r *records) { r.readings[1].final = false }},
		"a body of other bytes":                   {BodiesKept, func(r *records) { r.bodies[0].body = "3" }},
		"completed without a score": {ScoresCorrect, func(r *records) {
			setResults(r, platformtest.Result{Completed: true, Item: "i1", Text: platformtest.ItemText("i1", "2", "v1"), Versions: []int64{3}})
		}},
		"the score of another call": {ScoresCorrect, func(r *records) {
			setResults(r, platformtest.Result{Completed: true, Item: "i1", Score: "s.q1", Text: platformtest.ItemText("i1", "2", "v1"), Versions: []int64{3}})
		}},
		"a score before the end of the text": {ScoresCorrect, func(r *records) { r.runs[3].Started = at(9.4) }},
		"a score of a failed run":            {ScoresCorrect, func(r *records) { r.runs[3].Failed = true }},
		"a reward of a refused batch": {RefusedBatchesNotRun, func(r *records) {
			r.runs = append(r.runs, platformtest.Run{Body: "b", ID: "ri3", Method: "POST", Target: "/f/r"})
		}},
		"a reward after the end": {EndsHonored, func(r *records) {
			r.runs = append(r.runs, platformtest.Run{Body: "b", ID: "ri2", Method: "POST", Started: at(16), Target: "/f/r"})
		}},
		"a fourth repeat of a poison request": {PoisonStopped, func(r *records) {
			r.runs = append(r.runs, platformtest.Run{Body: platformtest.PoisonMarker, ID: "p7", Method: "POST", Started: at(33), Target: "/f/p"})
		}},
		"a server that has left is used": {LeavingHonored, func(r *records) {
			r.runs = append(r.runs, platformtest.Run{Body: "b", ID: "l3", Method: "POST", Server: "s", Started: at(44), Target: "/f/l"})
		}},
		"more requests than a limit": {LimitsKept, func(r *records) {
			for range 6 {
				r.arrivals = append(r.arrivals, platformtest.Arrival{At: at(55), ID: "m2", PerSecond: 0.25, Server: "t"})
			}
		}},
		"a body that is gone": {BodiesKept, func(r *records) { r.bodies[0].status = http.StatusNotFound }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := validRecords(zero)
			c.violate(r)
			for _, f := range r.judge(platformLimits()) {
				is.Equal(f.Broken > 0, f.Invariant == c.invariant) // only the violated invariant is reported
				is.True(f.Checked > 0 || c.invariant != "")
				if (f.Broken > 0) != (f.Invariant == c.invariant) {
					t.Logf("%+v", f)
				}
			}
		})
	}
}

func setResults(r *records, result platformtest.Result) {
	for i := range r.readings {
		r.readings[i].page.Results = []platformtest.Result{result}
	}
}

// TestDisturbanceExcusesOnlyItsViolations checks which violations a disturbance excuses.
func TestDisturbanceExcusesOnlyItsViolations(t *testing.T) {
	zero := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	cases := map[string]struct {
		disturbance disturbance
		invariant   string
		broken      bool
		violate     func(*records)
	}{
		"a disturbed host may lag": {disturbance{host: 0, from: at(7), until: at(8)}, ConfigInForce, false, func(r *records) {
			r.configProbes[0].version, r.configProbes[1].version = 1, 1
		}},
		"a disturbance of another host excuses no lag": {disturbance{host: 1, from: at(7), until: at(8)}, ConfigInForce, true, func(r *records) {
			r.configProbes[0].version, r.configProbes[1].version = 1, 1
		}},
		"a server's crash excuses no lag": {disturbance{host: backendServers, from: at(7), until: at(8)}, ConfigInForce, true, func(r *records) {
			r.configProbes[0].version, r.configProbes[1].version = 1, 1
		}},
		"a server's crash may cut a request": {disturbance{host: backendServers, from: at(7), until: at(8)}, StopsDrain, false, func(r *records) {
			r.requests[0].broken = true
		}},
		"an order just after a resume": {disturbance{action: ActionHostPause, host: 0, from: at(1), until: at(2.9)}, SingleHolder, false, func(r *records) {
			r.orders[1].Received = at(3)
		}},
		"an order long after a resume": {disturbance{action: ActionHostPause, host: 0, from: at(1), until: at(2)}, SingleHolder, true, func(r *records) {
			r.orders[1].Received = at(3)
		}},
		"a disturbed host may repeat a poison request": {disturbance{host: 1, from: at(28), until: at(29)}, PoisonStopped, false, func(r *records) {
			r.runs = append(r.runs, platformtest.Run{Body: platformtest.PoisonMarker, ID: "p7", Method: "POST", Started: at(33), Target: "/f/p"})
		}},
		"a paused host may have missed the announcement": {disturbance{action: ActionHostPause, host: 1, from: at(42), until: at(43)}, LeavingHonored, false, func(r *records) {
			r.runs = append(r.runs, platformtest.Run{Body: "b", ID: "l3", Method: "POST", Server: "s", Started: at(44), Target: "/f/l"})
		}},
		"a restarted host may have forgotten a limit": {disturbance{action: ActionHostKill, host: 1, from: at(51), until: at(52)}, LimitsKept, false, func(r *records) {
			for range 6 {
				r.arrivals = append(r.arrivals, platformtest.Arrival{At: at(55), ID: "m2", PerSecond: 0.25, Server: "t"})
			}
		}},
		"no disturbance excuses a second run": {disturbance{host: allHosts, from: at(0), until: at(30)}, AtMostOnce, true, func(r *records) {
			r.runs = append(r.runs, r.runs[0])
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := validRecords(zero)
			r.disturbances = []*disturbance{&c.disturbance}
			c.violate(r)
			for _, f := range r.judge(platformLimits()) {
				if f.Invariant == c.invariant {
					is.Equal(f.Broken > 0, c.broken) // the violation is reported unless the disturbance excuses it
				}
			}
		})
	}
}

// TestScheduleIsDeterministic checks that the schedule is deterministic, so that a failed
// run can be repeated by its seed.
func TestScheduleIsDeterministic(t *testing.T) {
	is := is.New(t)
	first, again, other := Schedule(7, 3*cycleTime), Schedule(7, 3*cycleTime), Schedule(8, 3*cycleTime)
	is.Equal(first, again)
	is.True(len(first) > 0 && len(other) > 0)
	is.True(first[0] != other[0] || first[1] != other[1])
	seen := map[chaos.Action]bool{}
	for _, e := range first {
		seen[e.Action] = true
		within := e.At % cycleTime
		inFaultPhase := within < faultPhaseTime && within+e.Duration <= faultPhaseTime
		is.True(inFaultPhase || e.Action == ActionHostStop) // outside the fault phase only a planned stop may start
	}
	for _, a := range faultActions {
		is.True(seen[a])
	}
}
