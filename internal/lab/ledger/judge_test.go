package ledger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// validRecords returns records in which every guarantee holds and is checked at least
// once.
func validRecords() *ledger.Records {
	group := trainer.Group{Accepted: true, ID: "g", MaxTokens: 10, Prompt: "[tokens=6] g", SampleCount: 1, StalenessBound: 1}
	text, _ := engine.ExpectedCompletion(group.Prompt, group.Seed, group.MaxTokens)
	answered := func(address string, from, took float64) caller.Outcome {
		return caller.Outcome{Answered: true, Attempts: []caller.Attempt{{Address: address, At: at(from), Duration: time.Duration(took * float64(time.Second))}}}
	}
	refused := caller.Outcome{Attempts: []caller.Attempt{{Address: "n1", At: at(1), Kind: kind.Unavailable, Ran: kind.RanNo, Refused: true}}}
	return &ledger.Records{
		Acceptances:  []ledger.Acceptance{{At: at(0), Number: 1}, {At: at(20), Number: 2}},
		Departures:   []ledger.Departure{{Address: "e1", At: at(0)}},
		Drains:       []ledger.Drain{{Address: "n1", At: at(5), Until: at(6)}},
		Observations: []ledger.Observation{{Node: "n1", Number: 1, Sent: at(12)}, {Node: "n1", Number: 2, Sent: at(21)}},
		Requests: []ledger.Request{
			{Answer: "booked", ID: "b1", Kind: ledger.RequestBooking, Outcome: answered("n1", 4.5, 1), Want: "booked"},
			{ID: "b2", Kind: ledger.RequestBooking, Outcome: refused},
		},
		Engines: map[string]engine.GroundTruth{
			"e1": {},
			"e2": {Runs: map[string][]engine.Run{"r": {{
				Prompt: group.Prompt, Segments: []backend.Segment{{Tokens: 6, Version: 3}}, Started: at(10),
			}}}},
		},
		Plains: map[string]plain.GroundTruth{"p1": {Effects: map[string]int{"b1": 1}}},
		Trainers: []trainer.Log{{
			Groups: map[string]trainer.Group{"g": group},
			Records: []trainer.Record{{Published: 4, Sample: trainer.Sample{
				Group: "g", Spans: []trainer.Span{{To: 6, Version: 3}}, Text: text, Tokens: 6,
			}}},
		}},
	}
}

func TestValidRecordsPass(t *testing.T) {
	is := is.New(t)
	for _, f := range validRecords().Judge(ledger.DefaultLimits()) {
		is.Equal(f.Broken, 0)
		is.True(f.Checked > 0)
	}
}

// TestJudgeReportsEachViolation violates each guarantee in the records and expects only
// that one to be reported.
func TestJudgeReportsEachViolation(t *testing.T) {
	tests := map[string]func(*ledger.Records){
		ledger.AcceptedStaysInForce: func(r *ledger.Records) { r.Observations[1].Number = 0 },
		ledger.AnswersComplete:      func(r *ledger.Records) { r.Requests[0].Answer = "boo" },
		ledger.AtMostOnce:           func(r *ledger.Records) { r.Plains["p2"] = plain.GroundTruth{Effects: map[string]int{"b1": 1}} },
		ledger.LeavingGetsNoWork:    func(r *ledger.Records) { r.Engines["e1"] = r.Engines["e2"] },
		ledger.RefusedNotRun:        func(r *ledger.Records) { r.Plains["p1"].Effects["b2"] = 1 },
		ledger.SamplesExactlyOnce: func(r *ledger.Records) {
			r.Trainers[0].Records = append(r.Trainers[0].Records, r.Trainers[0].Records[0])
		},
		ledger.SamplesNameVersions: func(r *ledger.Records) { r.Engines["e2"].Runs["r"][0].Segments[0].Version = 4 },
		ledger.SamplesWithinBound:  func(r *ledger.Records) { r.Trainers[0].Records[0].Published = 9 },
		ledger.StopsDrain: func(r *ledger.Records) {
			r.Requests[0].Outcome.Answered = false
			r.Requests[0].Outcome.Attempts[0].Ran = kind.RanUnknown
		},
	}
	for broken, mutate := range tests {
		t.Run(broken, func(t *testing.T) {
			is := is.New(t)
			records := validRecords()
			mutate(records)
			for _, f := range records.Judge(ledger.DefaultLimits()) {
				is.Equal(f.Broken > 0, f.Invariant == broken)
				is.Equal(f.FirstViolation != "", f.Invariant == broken)
			}
		})
	}
}

func TestLateConfigurationIsReported(t *testing.T) {
	is := is.New(t)
	records := validRecords()
	records.Observations = append(records.Observations, ledger.Observation{Node: "n2", Number: 1, Sent: at(40)})
	findings := records.Judge(ledger.DefaultLimits())
	is.Equal(findings[len(findings)-1].Broken, 1)
}
