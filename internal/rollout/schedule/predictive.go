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
	// maxStepsAhead bounds the number of started and unread samples, in
	// training steps, if only idle time has weight.
	maxStepsAhead = 3.0
	// minStepsAhead is the same bound if only staleness has weight. If both
	// have weight, the bound is interpolated linearly by the share of the idle
	// weight. In any case it is at least one step.
	minStepsAhead = 0.5
	// resumeCost is the time that a second engine takes to process the tokens
	// that the first one generated.
	resumeCost = 300 * time.Millisecond
	// stallTokenTimes is the time without a token after which an attempt counts
	// as stalled, in multiples of the mean time per token.
	stallTokenTimes = 40
	// minRateTokens is the number of tokens from which on an attempt's own token
	// rate is used.
	minRateTokens = 5
	// minStall is the shortest time without a token that counts as a stall.
	minStall = 500 * time.Millisecond
	// predictionMargin is a factor that allows for errors of predictions. An
	// attempt is duplicated or cancelled only if the predicted times differ by
	// more than this factor. The predicted length of a probe and the present
	// length of an attempt that has passed its predicted length are multiplied
	// by it.
	predictionMargin = 1.5
	// siblingDelaySeconds is how much later the samples of a group other than
	// its probe start, while no sample of the group has ended.
	siblingDelaySeconds = 0.5
	// maxWaitingPerEngine is the maximum number of attempts per backend server
	// that wait for their first token.
	maxWaitingPerEngine = 2
	// producingPerWaiting is the number of attempts that produce tokens per
	// attempt that may wait for its first token. The limit on waiting attempts
	// is the larger of this one and that of maxWaitingPerEngine.
	producingPerWaiting = 4
	// maxAttemptsPerSample is the maximum number of concurrent attempts of one
	// sample.
	maxAttemptsPerSample = 2
)

// Predictive is a policy that starts samples with a long predicted length first.
// It learns lengths from one probe sample of each group, resumes stalled samples
// on a second engine, and limits the work that is started ahead by the cost
// weights of idle time and staleness.
type Predictive struct{}

var _ Policy = Predictive{}

// candidate is a sample that may start.
type candidate struct {
	// expected is the predicted length in tokens; zero is unknown.
	expected float64
	group    *Group
	index    int
	// probe is set for the first sample of a group to start, whose length helps
	// to predict the others.
	probe bool
	// startAt is the time, in seconds from now, at which it should start.
	startAt float64
}

// Decide implements [Policy]. The starts are in the order in which they are to be
// dispatched.
func (Predictive) Decide(state State) Decision {
	var decision Decision
	free := state.Window - countAttempts(state)
	free += cancelOverBound(state, &decision)
	candidates := startable(state, &decision)
	sortCandidates(state, candidates)
	free = min(free, startsAheadLimit(state), queueLimit(state))
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
	resumeStragglers(state, &decision, free)
	return decision
}

// MinVersion returns the oldest weight version that new attempts may run on,
// given the staleness bound of their group. The higher the weight of staleness,
// the closer it is to the newest version. One version behind the newest is always
// accepted if the bound allows it, since waiting for the newest would leave
// engines idle during each weight update.
func MinVersion(state State, bound int64) int64 {
	allowed := max(1, int64(math.Round(float64(bound)*state.CostWeights.IdleShare())))
	return max(1, state.Published-min(bound, allowed))
}

// PredictTokens returns the predicted length in tokens of a sample of group, or
// zero if nothing is known. tokens is the number of tokens that the sample has
// so far, meanTokens the mean length of the trainer's samples.
func PredictTokens(group Group, meanTokens float64, tokens int) float64 {
	expected := meanTokens
	if n := len(group.Lengths); n > 0 {
		var sum float64
		for _, length := range group.Lengths {
			sum += float64(length)
		}
		// The trainer's mean counts as one more sample of the group.
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
		// The distribution of lengths has a long tail, so a sample that has
		// passed the mean is expected to grow by half.
		expected = float64(tokens) * predictionMargin
	}
	return min(expected, float64(group.Order.MaxTokens))
}

// startable returns the samples without an attempt that may start now, and sets
// the wake-up time of decision for those that may start later.
func startable(state State, decision *Decision) []candidate {
	var candidates []candidate
	for g := range state.Groups {
		group := &state.Groups[g]
		// If no sample of the group is running or has ended, the first one to
		// start is the probe.
		hasProbe := len(group.Lengths) > 0 || len(group.Samples) < group.Order.SampleCount
		for _, s := range group.Samples {
			hasProbe = hasProbe || len(s.Attempts) > 0
		}
		for _, s := range group.Samples {
			if len(s.Attempts) > 0 {
				continue
			}
			if s.NotBefore.After(state.Now) {
				decision.wakeBy(s.NotBefore)
				continue
			}
			candidates = append(candidates, candidate{
				expected: predictUnstarted(*group, state.MeanTokens),
				group:    group,
				index:    s.Index,
				probe:    !hasProbe,
			})
			hasProbe = true
		}
	}
	return candidates
}

// predictUnstarted returns the predicted length in tokens of a sample that has not
// started. It is at least the number of tokens of each running sample of the
// group.
func predictUnstarted(group Group, meanTokens float64) float64 {
	expected := PredictTokens(group, meanTokens, 0)
	for _, s := range group.Samples {
		for _, attempt := range s.Attempts {
			expected = max(expected, float64(attempt.Tokens))
		}
	}
	return expected
}

// sortCandidates sorts by descending priority, then by ascending startAt.
// startAt is the time at which all earlier candidates, in the order of
// acceptance, have run, minus the predicted run time of the candidate. So long
// samples start earlier and do not end after the others.
func sortCandidates(state State, candidates []candidate) {
	_, producing := countPhases(state)
	totalRate := state.TokenRate * float64(max(1, state.Engines, producing))
	var tokensAhead float64
	for i := range candidates {
		c := &candidates[i]
		length := c.expected
		if c.probe {
			// Its length is unknown and will help to predict the rest of its
			// group, so it starts earlier.
			length *= predictionMargin
		}
		if state.TokenRate > 0 {
			c.startAt = tokensAhead/totalRate - length/state.TokenRate
		}
		if !c.probe && len(c.group.Lengths) == 0 {
			// The router limits content that has never run to completion to two
			// backend servers, so samples that run beside their probe would
			// queue there.
			c.startAt += siblingDelaySeconds
		}
		tokensAhead += c.expected
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.group.Order.Priority, a.group.Order.Priority),
			cmp.Compare(a.startAt, b.startAt),
		)
	})
}

// startsAheadLimit returns how many samples may start before the number of
// started and unread samples reaches its limit. The cost weights determine the
// limit: one step if only staleness has weight, and maxStepsAhead steps if only
// idle time has weight. There is no limit while the size of a step is unknown.
func startsAheadLimit(state State) int {
	if state.StepSize == 0 {
		return math.MaxInt
	}
	idleShare := state.CostWeights.IdleShare()
	// One whole step is always allowed.
	limit := float64(state.StepSize) * max(1, minStepsAhead+(maxStepsAhead-minStepsAhead)*idleShare)
	return int(math.Ceil(limit)) - state.Unread - countStartedSamples(state)
}

// queueLimit returns how many attempts may start before the number of those that
// wait for their first token reaches its limit. The limit is low because an
// attempt that waits at one engine cannot move to another that becomes free or
// loads the required version.
func queueLimit(state State) int {
	waiting, producing := countPhases(state)
	return max(maxWaitingPerEngine*state.Engines, producing/producingPerWaiting) - waiting
}

// countPhases returns the number of attempts without a token and of those with at
// least one.
func countPhases(state State) (waiting, producing int) {
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

// countStartedSamples returns the number of unfinished samples with an attempt.
func countStartedSamples(state State) int {
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

// cancelOverBound cancels the attempts that will exceed their staleness bound when
// they end, and returns their number.
func cancelOverBound(state State, decision *Decision) int {
	var cancelled int
	for _, group := range state.Groups {
		for _, s := range group.Samples {
			for _, attempt := range s.Attempts {
				if willExceedBound(state, group, attempt) {
					decision.Cancel = append(decision.Cancel, attempt.ID)
					cancelled++
				}
			}
		}
	}
	return cancelled
}

// willExceedBound reports whether attempt will exceed its staleness bound when it
// ends, according to the predicted times of its end and of the next version.
func willExceedBound(state State, group Group, attempt Attempt) bool {
	remaining, known := RemainingSeconds(state, group, attempt)
	var nextPublish float64
	if known && state.MeanPublishInterval > 0 {
		untilPublish := state.PublishedAt.Add(state.MeanPublishInterval).Sub(state.Now).Seconds()
		// The time of the next version is only an estimate, so attempts that
		// are nearly done go on.
		if untilPublish > 0 && remaining > predictionMargin*untilPublish {
			nextPublish = untilPublish
		}
	}
	return version.WillBeStale(attempt.OldestVersion, state.Published, group.Order.StalenessBound, remaining, nextPublish)
}

// RemainingSeconds predicts the time in seconds until attempt ends. known is false
// if its length or token rate cannot be predicted.
func RemainingSeconds(state State, group Group, attempt Attempt) (seconds float64, known bool) {
	expected := PredictTokens(group, state.MeanTokens, attempt.Tokens)
	if expected == 0 || state.TokenRate <= 0 {
		return 0, false
	}
	remainingTokens := max(0, expected-float64(attempt.Tokens))
	return remainingTokens / attemptRate(state, attempt), true
}

// attemptRate returns the attempt's own rate in tokens per second once it has
// enough tokens, and the mean rate of the trainer before that.
func attemptRate(state State, attempt Attempt) float64 {
	produced := attempt.Tokens - attempt.ResumedTokens
	elapsed := attempt.LastChunkAt.Sub(attempt.FirstChunkAt).Seconds()
	if produced < minRateTokens || elapsed <= 0 {
		return state.TokenRate
	}
	return float64(produced) / elapsed
}

// resumeStragglers starts a second attempt on another engine for samples whose
// first attempt is stalled or slow, and starts spares. Stalled samples are resumed
// even if the window is full; the others need free capacity that no unstarted
// sample takes.
func resumeStragglers(state State, decision *Decision, free int) {
	for _, group := range state.Groups {
		for _, s := range group.Samples {
			if len(s.Attempts) == 0 || len(s.Attempts) >= maxAttemptsPerSample {
				continue
			}
			attempt := s.Attempts[0]
			stalled := Stalled(state, attempt)
			if !stalled && (free <= 0 || !finishesSoonerElsewhere(state, group, attempt)) {
				continue
			}
			decision.Starts = append(decision.Starts, Start{
				Exclude:        attempt.Server,
				ExpectedTokens: int(PredictTokens(group, state.MeanTokens, attempt.Tokens)),
				Key:            sample.Key{Group: group.Order.ID, Index: s.Index},
				MinVersion:     MinVersion(state, group.Order.StalenessBound),
				ResumeFrom:     attempt.ID,
			})
			free--
		}
		free -= startSpares(state, group, decision, free)
	}
}

// startSpares starts at most free spare samples for a group with no more
// unfinished samples than state.SurplusSamples, and returns their number. Each
// spare can replace a sample that still runs.
func startSpares(state State, group Group, decision *Decision, free int) int {
	if state.SurplusSamples == 0 || len(group.Samples) > state.SurplusSamples || len(group.Lengths) == 0 {
		return 0
	}
	var started int
	for _, s := range group.Samples {
		if started >= free || len(s.Attempts) != 1 {
			continue
		}
		attempt := s.Attempts[0]
		remaining, known := RemainingSeconds(state, group, attempt)
		spareSeconds := PredictTokens(group, state.MeanTokens, 0) / max(state.TokenRate, 1)
		if !known || remaining < predictionMargin*spareSeconds {
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

// Stalled reports whether the attempt has produced tokens before, but none for
// longer than the stall time-out.
func Stalled(state State, attempt Attempt) bool {
	if attempt.LastChunkAt.IsZero() || state.TokenRate <= 0 {
		return false
	}
	timeout := max(minStall, time.Duration(stallTokenTimes/state.TokenRate*float64(time.Second)))
	return state.Now.Sub(attempt.LastChunkAt) > timeout
}

// finishesSoonerElsewhere reports whether a second engine that resumes the attempt
// would end the sample sooner by at least predictionMargin.
func finishesSoonerElsewhere(state State, group Group, attempt Attempt) bool {
	remaining, known := RemainingSeconds(state, group, attempt)
	if !known {
		return false
	}
	tokens := remaining * attemptRate(state, attempt)
	resumedSeconds := tokens/state.TokenRate + resumeCost.Seconds()
	return remaining > predictionMargin*resumedSeconds
}
