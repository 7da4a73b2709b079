package plainproxy_test

import (
	"fmt"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/request/plainproxy"
)

func ExampleDecide() {
	now := time.Now()
	state := plainproxy.AttemptState{
		Attempts:       1,
		BodyReplayable: true,
		Deadline:       now.Add(time.Second),
		Kind:           kind.OutcomeUnknown,
		Now:            now,
		Ran:            kind.RanUnknown,
		Repeat:         document.RepeatNever,
		ServersLeft:    true,
	}
	fmt.Println(plainproxy.Decide(state))
	state.Repeat = document.RepeatAlways
	fmt.Println(plainproxy.Decide(state))
	// Output:
	// refuse
	// retry-paid
}
