package chaos_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/lab/chaos"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/internal/lab/report"
)

func TestScheduleIsRepeatable(t *testing.T) {
	is := is.New(t)
	events := chaos.Schedule(7, 45*time.Second)
	is.Equal(events, chaos.Schedule(7, 45*time.Second))
	seen := map[chaos.Action]bool{}
	for _, event := range events {
		seen[event.Action] = true
		is.True(event.At+event.Duration <= 45*time.Second)
	}
	is.Equal(len(seen), 23) // All actions except ActionNodePause.
}

func TestUncheckedGuaranteeFails(t *testing.T) {
	is := is.New(t)
	is.True(chaos.Report("brazos", 1, []ledger.Finding{{Invariant: ledger.AtMostOnce}}).Err() != nil)
	is.NoErr(chaos.Report("brazos", 1, []ledger.Finding{{Checked: 1, Invariant: ledger.AtMostOnce}}).Err())
	is.True(chaos.Report("brazos", 1, []ledger.Finding{{Broken: 1, Checked: 1, Invariant: ledger.AtMostOnce}}).Err() != nil)
}

// TestGuaranteesHold runs a short schedule on each deployment. "make chaos" runs longer
// ones.
func TestGuaranteesHold(t *testing.T) {
	for _, shape := range []deployment.Shape{deployment.Brazos(), deployment.Halvorsen()} {
		t.Run(shape.Name, func(t *testing.T) {
			is := is.New(t)
			result, err := chaos.Chaos{
				Callers: 24, Duration: 9 * time.Second, Logger: slog.New(slog.DiscardHandler),
				Progress: t.Output(), Seed: 1, Shape: shape,
			}.Run(t.Context())
			is.NoErr(err)
			is.NoErr(result.Write(t.Output(), report.OutputText))
			is.NoErr(result.Err())
		})
	}
}
