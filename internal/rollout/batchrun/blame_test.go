package batchrun

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
)

// TestRunsThatReachNoEngineDoNotCountAgainstItems guards against items that start after others
// because the links of their host were lost, or an engine gave no permit.
func TestRunsThatReachNoEngineDoNotCountAgainstItems(t *testing.T) {
	is := is.New(t)
	br := &batchRun{runner: &Runner{Inventory: &inventory.Inventory{}}, turnedDownBy: make(map[string]bool)}
	s := &itemState{}
	for range 5 {
		for _, r := range []run{
			{outcome: generation.OutcomeUnreachable},
			{outcome: generation.OutcomeStopped},
			{outcome: generation.OutcomeNotRun, err: plain.NewNotAdmitted(time.Second, "no permit")},
		} {
			r.began = time.Now()
			br.recordBlame(s, inventory.Candidate{Server: inventory.Server{ID: "e0", Service: "s"}}, r)
		}
	}
	is.Equal(s.eventless, 0)
	is.True(!s.keepsFailing())
	is.True(!br.isSuspect(s, "e1"))
}
