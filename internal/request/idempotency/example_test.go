package idempotency_test

import (
	"fmt"
	"time"

	"github.com/nutmegway/nutmegway/internal/request/idempotency"
)

func ExampleDecide() {
	now := time.Now()
	decision := idempotency.Decide(idempotency.DecisionInput{
		Deadline:    now.Add(time.Second),
		Fingerprint: "f",
		Holder:      idempotency.HolderEnded,
		Now:         now,
		Record:      idempotency.Record{Fingerprint: "f", State: idempotency.StateIntent},
	})
	fmt.Println(decision.Action, decision.Kind)
	// Output: refuse outcome-unknown
}
