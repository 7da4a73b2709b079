package trainer_test

import (
	"testing"

	"github.com/matryer/is"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

// TestCheckFindsEachFault injects one fault at a time into a correct log.
func TestCheckFindsEachFault(t *testing.T) {
	group := trainer.Group{Accepted: true, ID: "g", MaxTokens: 10, Prompt: "[tokens=6]", SampleCount: 1, Seed: 4, StalenessBound: 1}
	text, _ := engine.ExpectedCompletion(group.Prompt, group.Seed, group.MaxTokens)
	truth := engine.GroundTruth{Runs: map[string][]engine.Run{"r": {{
		Prompt: group.Prompt, Seed: group.Seed, Segments: []backend.Segment{{Tokens: 2, Version: 3}, {Tokens: 4, Version: 4}},
	}}}}
	tests := map[string]struct {
		change func(*trainer.Log)
		want   func(trainer.CheckResult) int
	}{
		"duplicated": {
			change: func(l *trainer.Log) { l.Records = append(l.Records, l.Records[0]) },
			want:   func(r trainer.CheckResult) int { return r.Duplicated },
		},
		"lost": {
			change: func(l *trainer.Log) { l.Records = nil },
			want:   func(r trainer.CheckResult) int { return r.Lost },
		},
		"mislabelled": {
			change: func(l *trainer.Log) { l.Records[0].Sample.Spans = []trainer.Span{{To: 6, Version: 4}} },
			want:   func(r trainer.CheckResult) int { return r.Mislabelled },
		},
		"over-bound": {
			change: func(l *trainer.Log) { l.Records[0].Published = 5 },
			want:   func(r trainer.CheckResult) int { return r.OverStalenessBound },
		},
		"wrong": {
			change: func(l *trainer.Log) { l.Records[0].Sample.Text = "crossed" },
			want:   func(r trainer.CheckResult) int { return r.Wrong },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := trainer.Log{
				Groups: map[string]trainer.Group{"g": group},
				Records: []trainer.Record{{Published: 4, Sample: trainer.Sample{
					Group: "g", Spans: []trainer.Span{{To: 2, Version: 3}, {From: 2, To: 6, Version: 4}}, Text: text, Tokens: 6,
				}}},
			}
			is.Equal(test.want(trainer.Check(log, truth)), 0)
			is.Equal(trainer.Check(log, truth).FirstViolation, "")
			test.change(&log)
			is.Equal(test.want(trainer.Check(log, truth)), 1)
		})
	}
}
