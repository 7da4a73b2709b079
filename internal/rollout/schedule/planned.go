package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/rollout/sample"
	"github.com/nutmegway/nutmegway/internal/rollout/version"
)

const (
	// mostAhead is how many steps' worth of samples may be started and not read
	// when only idle time counts.
	mostAhead = 3.0
	// leastAhead is where the line begins that leads there; below one step it is
	// cut off.
	leastAhead = 0.5
	// resumeCost is the time that a second engine takes to read the tokens of
	// the first one.
	resumeCost = 300 * time.Millisecond
	// stalledAfter is the number of usual token times without a token after
	// which an attempt counts as stalled.
	stalledAfter = 40
	// rateTokens is the number of tokens after which an attempt's own rate holds.
	rateTokens = 5
	// stallFloor is the shortest silence that counts as a stall.
	stallFloor = 500 * time.Millisecond
	// rescueGain is the factor by which a second attempt must end sooner.
	rescueGain = 1.5
	// siblingDelay is the time in seconds by which the samples of a group come
	// after others while none of the group has ended.
	siblingDelay = 0.5
	// waitingPerEngine is the number of attempts per backend server that may
	// wait for their first token.
	waitingPerEngine = 2
	// waitingShare is the part of the producing attempts that may wait as well:
	// one in four.
	waitingShare = 4
	// maxAttempts is the number of attempts of one sample at once.
	maxAttempts = 2
)

// Planned starts the samples that are predicted to be long first, learns
// lengths from one scout of each group, continues stalled samples on a second
// engine and holds back work according to the weighing of idle time against
// staleness.
type Planned struct{}

var _ Policy = Planned{}

// candidate is a sample that may start.
type candidate struct {
	expected float64
	group    *Group
	index    int
	scout    bool
	// startAt is the time in seconds from now at which it is to start.
	startAt float64
}

// Decide returns the starts in the order in which they are to be dispatched.
func (Planned) Decide(state State) Decision {
	var decision Decision
	free := state.Window - running(state)
	free += endDoomed(state, &decision)
	candidates := waiting(state, &decision)
	sortCandidates(state, candidates)
	free = min(free, aheadLimit(state), queueRoom(state))
	for _, c := range candidates {
		if free <= 0 {
			break
		}
		decision.Starts = append(decision.Starts, Start{
			ExpectedTokens: int(math.Round(c.expected)),
			Key:            sample.Key{Group: c.group.Order.ID, Index: c.index},
			MinVersion:     MinVersion(state, c.group.Order.StalenessBound),
		})
		free--
	}
	rescue(state, &decision, free)
	return decision
}

// MinVersion is the oldest version on which new work starts. The more staleness
// weighs, the closer it stays to the newest version. One version behind is let
// go where the bound allows it: to wait for the newest would leave engines
// without work during each swap.
func MinVersion(state State, bound int64) int64 {
	allowed := max(1, int64(math.Round(float64(bound)*state.Weighing.IdleShare())))
	return max(1, state.Published-min(bound, allowed))
}

// Predict returns the expected length in tokens of a sample of group that has
// produced tokens already, or zero when nothing is known.
func Predict(group Group, meanTokens float64, tokens int) float64 {
	expected := meanTokens
	if n := len(group.Lengths); n > 0 {
		var sum float64
		for _, length := range group.Lengths {
			sum += float64(length)
		}
		// The trainer's mean counts as one more sibling.
		if meanTokens > 0 {
			sum += meanTokens
			n++
		}
		expected = sum / float64(n)
	}
	if expected == 0 {
		return 0
	}
	if float64(tokens) >= expected {
		// Past the mean, lengths fall off slowly: half of what is there again.
		expected = float64(tokens) * rescueGain
	}
	return min(expected, float64(group.Order.MaxTokens))
}

// waiting returns the samples without an attempt that may start now.
func waiting(state State, decision *Decision) []candidate {
	var candidates []candidate
	for g := range state.Groups {
		group := &state.Groups[g]
		// A group with no running or ended sample sends one ahead.
		known := len(group.Lengths) > 0 || len(group.Samples) < group.Order.SampleCount
		for _, s := range group.Samples {
			known = known || len(s.Attempts) > 0
		}
		for _, s := range group.Samples {
			if len(s.Attempts) > 0 {
				continue
			}
			if s.NotBefore.After(state.Now) {
				decision.wake(s.NotBefore)
				continue
			}
			candidates = append(candidates, candidate{
				expected: longestLikely(*group, state.MeanTokens),
				group:    group,
				index:    s.Index,
				scout:    !known,
			})
			known = true
		}
	}
	return candidates
}

// longestLikely predicts a sample that has not started. Tokens that a running
// sibling has already produced raise it.
func longestLikely(group Group, meanTokens float64) float64 {
	expected := Predict(group, meanTokens, 0)
	for _, s := range group.Samples {
		for _, attempt := range s.Attempts {
			expected = max(expected, float64(attempt.Tokens))
		}
	}
	return expected
}

// sortCandidates orders by priority, then by the time at which each is to
// start. In the order of acceptance a candidate would start once those before
// it have run; a sample that is predicted to be long starts earlier by its
// length, so that it does not end after the others.
func sortCandidates(state State, candidates []candidate) {
	_, producing := phases(state)
	perSecond := state.TokenRate * float64(max(1, state.Engines, producing))
	var ahead float64
	for i := range candidates {
		c := &candidates[i]
		length := c.expected
		if c.scout {
			// Its length is not known; what it shows helps its siblings.
			length *= rescueGain
		}
		if state.TokenRate > 0 {
			c.startAt = ahead/perSecond - length/state.TokenRate
		}
		if !c.scout && len(c.group.Lengths) == 0 {
			// The router keeps content that has never run to its end on two
			// servers, so that samples beside their scout would queue there.
			c.startAt += siblingDelay
		}
		ahead += c.expected
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.group.Order.Priority, a.group.Order.Priority),
			cmp.Compare(a.startAt, b.startAt),
		)
	})
}

// aheadLimit is the number of starts before the samples that are started and
// not read reach the limit which the weighing sets. A team that weighs
// staleness gets little more than a step, one that weighs idle time up to three.
func aheadLimit(state State) int {
	if state.StepSize == 0 {
		return math.MaxInt
	}
	share := state.Weighing.IdleShare()
	// A whole step may always be on its way.
	limit := float64(state.StepSize) * max(1, leastAhead+(mostAhead-leastAhead)*share)
	return int(math.Ceil(limit)) - state.Unread - startedSamples(state)
}

// queueRoom is the number of starts before enough attempts wait for their first
// token. Work that waits at one engine cannot move to another that becomes free
// or loads the wanted version, so little of it is sent ahead.
func queueRoom(state State) int {
	waiting, producing := phases(state)
	return max(waitingPerEngine*state.Engines, producing/waitingShare) - waiting
}

// phases counts the attempts without a token and those with.
func phases(state State) (waiting, producing int) {
	for _, group := range state.Groups {
		for _, s := range group.Samples {
			for _, attempt := range s.Attempts {
				if attempt.FirstChunkAt.IsZero() {
					waiting++
				} else {
					producing++
				}
			}
		}
	}
	return waiting, producing
}

func startedSamples(state State) int {
	var n int
	for _, group := range state.Groups {
		for _, s := range group.Samples {
			if len(s.Attempts) > 0 {
				n++
			}
		}
	}
	return n
}

// endDoomed cancels the attempts that will be over their bound when they end
// and returns their number.
func endDoomed(state State, decision *Decision) int {
	var ended int
	for _, group := range state.Groups {
		for _, s := range group.Samples {
			for _, attempt := range s.Attempts {
				if doomed(state, group, attempt) {
					decision.Cancel = append(decision.Cancel, attempt.ID)
					ended++
				}
			}
		}
	}
	return ended
}

func doomed(state State, group Group, attempt Attempt) bool {
	remaining, known := Remaining(state, group, attempt)
	var nextPublish float64
	if known && state.PublishEvery > 0 {
		due := state.PublishedAt.Add(state.PublishEvery).Sub(state.Now).Seconds()
		// Work that is nearly done is let go on: the next version is a guess.
		if due > 0 && remaining > rescueGain*due {
			nextPublish = due
		}
	}
	return version.WillBeStale(attempt.Oldest, state.Published, group.Order.StalenessBound, remaining, nextPublish)
}

// Remaining predicts the seconds until attempt ends; known is false when the
// length or the rate cannot be predicted.
func Remaining(state State, group Group, attempt Attempt) (seconds float64, known bool) {
	expected := Predict(group, state.MeanTokens, attempt.Tokens)
	if expected == 0 || state.TokenRate <= 0 {
		return 0, false
	}
	left := max(0, expected-float64(attempt.Tokens))
	return left / rate(state, attempt), true
}

// rate is the attempt's own rate once it is known, else the usual one.
func rate(state State, attempt Attempt) float64 {
	produced := attempt.Tokens - attempt.ResumedAt
	elapsed := attempt.LastChunkAt.Sub(attempt.FirstChunkAt).Seconds()
	if produced < rateTokens || elapsed <= 0 {
		return state.TokenRate
	}
	return float64(produced) / elapsed
}

// rescue continues stalled or slow samples on a second engine while nothing
// else waits for the free places.
func rescue(state State, decision *Decision, free int) {
	for _, group := range state.Groups {
		for _, s := range group.Samples {
			if len(s.Attempts) == 0 || len(s.Attempts) >= maxAttempts {
				continue
			}
			attempt := s.Attempts[0]
			stalled := Stalled(state, attempt)
			if !stalled && (free <= 0 || !slow(state, group, attempt)) {
				continue
			}
			decision.Starts = append(decision.Starts, Start{
				Exclude:        attempt.Server,
				ExpectedTokens: int(Predict(group, state.MeanTokens, attempt.Tokens)),
				Key:            sample.Key{Group: group.Order.ID, Index: s.Index},
				MinVersion:     MinVersion(state, group.Order.StalenessBound),
				ResumeFrom:     attempt.ID,
			})
			free--
		}
		free -= spares(state, group, decision, free)
	}
}

// spares starts extra samples for a group that is nearly whole, as far as the
// document allows them. Each may stand in for one that still runs.
func spares(state State, group Group, decision *Decision, free int) int {
	if state.OverAsk == 0 || len(group.Samples) > state.OverAsk || len(group.Lengths) == 0 {
		return 0
	}
	var started int
	for _, s := range group.Samples {
		if started >= free || len(s.Attempts) != 1 {
			continue
		}
		attempt := s.Attempts[0]
		left, known := Remaining(state, group, attempt)
		fresh := Predict(group, state.MeanTokens, 0) / max(state.TokenRate, 1)
		if !known || left < rescueGain*fresh {
			continue
		}
		decision.Starts = append(decision.Starts, Start{
			Exclude:    attempt.Server,
			Key:        sample.Key{Group: group.Order.ID, Index: s.Index},
			MinVersion: MinVersion(state, group.Order.StalenessBound),
			Spare:      1 + started,
		})
		started++
	}
	return started
}

// Stalled reports whether the attempt has produced tokens and then none for
// long.
func Stalled(state State, attempt Attempt) bool {
	if attempt.LastChunkAt.IsZero() || state.TokenRate <= 0 {
		return false
	}
	silence := max(stallFloor, time.Duration(stalledAfter/state.TokenRate*float64(time.Second)))
	return state.Now.Sub(attempt.LastChunkAt) > silence
}

// slow reports whether a second engine would end the sample clearly sooner.
func slow(state State, group Group, attempt Attempt) bool {
	left, known := Remaining(state, group, attempt)
	if !known {
		return false
	}
	tokens := left * rate(state, attempt)
	other := tokens/state.TokenRate + resumeCost.Seconds()
	return left > rescueGain*other
}
