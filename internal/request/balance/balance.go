// Package balance provides policies that choose one backend server among
// candidates. The policies are generic over the type of candidate and obtain its
// load or cost from functions.
package balance

import (
	"math/rand/v2"
	"sync"
)

// Policy chooses among candidates. Implementations are safe for concurrent use.
type Policy[C any] interface {
	// Pick returns the index of the chosen candidate, or false if there are no
	// candidates.
	Pick(candidates []C) (int, bool)
}

// RoundRobin chooses the candidates in turn. It is a baseline for measurements.
type RoundRobin[C any] struct {
	mu   sync.Mutex
	next int
}

var _ Policy[int] = &RoundRobin[int]{}

// Pick returns the index after the one returned before.
func (p *RoundRobin[C]) Pick(candidates []C) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	index := p.next % len(candidates)
	p.next = index + 1
	return index, true
}

// LeastOutstanding chooses the candidate with the fewest outstanding requests.
// It is a baseline for measurements.
type LeastOutstanding[C any] struct {
	// Outstanding returns the number of requests sent to the candidate and not
	// yet answered.
	Outstanding func(C) int
}

var _ Policy[int] = LeastOutstanding[int]{}

// Pick returns the first candidate with the fewest outstanding requests.
func (p LeastOutstanding[C]) Pick(candidates []C) (int, bool) {
	best, fewest := 0, 0
	for i, candidate := range candidates {
		if n := p.Outstanding(candidate); i == 0 || n < fewest {
			best, fewest = i, n
		}
	}
	return best, len(candidates) > 0
}

// TwoChoices chooses the cheaper of two random candidates. If several nodes chose the
// cheapest of all from the same old load summaries, they would all send their requests
// to the same server. The random candidates prevent that.
type TwoChoices[C any] struct {
	// Cost returns the cost of a candidate; the lowest is chosen.
	Cost func(C) float64
	// IntN returns a random number in [0, n). Nil means rand.IntN.
	IntN func(n int) int
	// Preferred lists the indexes of candidates that are compared in addition to
	// the two random ones.
	Preferred []int
}

var _ Policy[int] = TwoChoices[int]{}

// Pick returns the cheapest of two random candidates and the preferred ones.
func (p TwoChoices[C]) Pick(candidates []C) (int, bool) {
	n := len(candidates)
	if n == 0 {
		return 0, false
	}
	intN := p.IntN
	if intN == nil {
		intN = rand.IntN
	}
	best := intN(n)
	choices := append(make([]int, 0, len(p.Preferred)+1), p.Preferred...)
	if n > 1 {
		choices = append(choices, (best+1+intN(n-1))%n)
	}
	lowest := p.Cost(candidates[best])
	for _, i := range choices {
		if cost := p.Cost(candidates[i]); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, true
}
