package member

import (
	"math"
	"time"
)

// suspicion tracks how long a suspect node has to refute the suspicion. The
// timeout shrinks from maxTimeout to minTimeout as independent peers confirm.
type suspicion struct {
	// accusers contains the nodes that suspect the node.
	accusers   map[string]bool
	maxTimeout time.Duration
	// confirmationsNeeded is the number of accusers, not counting the first, at
	// which the timeout reaches minTimeout.
	confirmationsNeeded int
	minTimeout          time.Duration
	started             time.Time
}

func newSuspicion(config Config, nodes, healthScore int, now time.Time) *suspicion {
	nodeScale := max(1, math.Log10(float64(nodes)))
	minTimeout := time.Duration(float64(config.SuspicionFactor) * nodeScale * float64(config.ProbePeriod))
	minTimeout *= time.Duration(healthScore + 1)
	return &suspicion{
		accusers:            make(map[string]bool),
		maxTimeout:          minTimeout * time.Duration(config.SuspicionTimeoutRatio),
		confirmationsNeeded: min(config.IndirectProbes, max(0, nodes-2)),
		minTimeout:          minTimeout,
		started:             now,
	}
}

// confirm adds an accuser. It reports whether the accuser is new and further
// confirmations were still needed.
func (s *suspicion) confirm(accuser string) bool {
	if accuser == "" || s.accusers[accuser] || len(s.accusers) > s.confirmationsNeeded {
		return false
	}
	s.accusers[accuser] = true
	return true
}

// deadline returns the time at which the suspect becomes unreachable.
func (s *suspicion) deadline() time.Time {
	confirmations := max(0, len(s.accusers)-1)
	if s.confirmationsNeeded == 0 || confirmations >= s.confirmationsNeeded {
		return s.started.Add(s.minTimeout)
	}
	fraction := math.Log(float64(confirmations)+1) / math.Log(float64(s.confirmationsNeeded)+1)
	timeout := s.maxTimeout - time.Duration(fraction*float64(s.maxTimeout-s.minTimeout))
	return s.started.Add(max(timeout, s.minTimeout))
}
