package deployment

import (
	"fmt"
)

// EngineDocument returns the text of the model service's document.
func (s Shape) EngineDocument() string {
	return fmt.Sprintf(`[service]
name = %s
team = %s
kind = model-engine

[addresses]
count = 3
keep-for = %s

[admission]
check-deadline = 20s
queue-limit = 512
rollout-floor = 0.2

[rollout]
idle-weight = %g
staleness-weight = %g

[weights]
model = %s
capacity-floor = 0.5
`, s.EngineService, s.Team, s.AddressTTL, s.IdleWeight, s.StalenessWeight, s.EngineService)
}

// PlainDocument returns the text of the plain service's document.
func (s Shape) PlainDocument() string {
	return fmt.Sprintf(`[service]
name = %s
team = %s
kind = plain

[addresses]
count = 3
keep-for = %s

[retry]
budget = 0.1
default = always
keep-keys = 1h

[repeat "POST /bookings"]
repeat = never
`, s.PlainService, s.Team, s.AddressTTL)
}
