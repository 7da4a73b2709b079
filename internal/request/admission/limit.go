package admission

import (
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
)

const (
	// initialLimit is the limit before the engine has reported its slots.
	initialLimit = 8
	// minSamples is the least number of answers between two adjustments of the limit.
	minSamples = 8
	// Requests are assumed to queue in the engine when the median time to the first token
	// exceeds lateFirstTokenFactor times the baseline plus lateFirstTokenSlack.
	lateFirstTokenFactor = 2.0
	lateFirstTokenSlack  = 20 * time.Millisecond
	// slowTokenFactor is the factor over the baseline time per token beyond which
	// more concurrent requests do not increase the throughput.
	slowTokenFactor = 1.6
	// decreaseFactor is the factor of the multiplicative decrease of the limit.
	decreaseFactor = 0.85
	// baselineGrowth is the largest factor by which one adjustment raises a baseline. The
	// baseline thus recovers from a minimum that the engine no longer reaches.
	baselineGrowth = 1.02
	// foreignLoadPeriod is how long the limit is halved after a load report that
	// includes requests of another queue owner.
	foreignLoadPeriod = 10 * time.Second
	// loadReportTolerance is how many more requests than this owner's a load report may
	// contain without halving the limit. Reports lag, so they may include requests that
	// have already ended.
	loadReportTolerance = 2
)

// Outcome is what the queue owner observed of one request that has ended.
type Outcome struct {
	// Duration is the time from sending the request to the last chunk.
	Duration time.Duration
	// Failed marks a request without a complete answer. It counts neither for the
	// limit nor for the estimates.
	Failed bool
	// FirstToken is the time from sending the request to the first chunk.
	FirstToken time.Duration
	// PrefillTokens is the cost of the prompt, as the number of tokens that are
	// generated in the same time.
	PrefillTokens int
	// Tokens is the number of tokens of the answer.
	Tokens int
}

// perToken returns the mean time between two tokens, or zero when the answer has fewer
// than two.
func (o Outcome) perToken() time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Duration - o.FirstToken) / time.Duration(o.Tokens-1)
}

// ConcurrencyLimit is the number of requests that one engine gets at the same time. It
// adapts to the time to the first token and the time per token with additive increase
// and multiplicative decrease. The engine's load reports lag, so they only set its
// initial value and its bounds, and halve it when another queue owner uses the engine.
type ConcurrencyLimit struct {
	// Max is the upper bound of the limit; zero means none.
	Max int

	baselineFirstToken time.Duration
	baselinePerToken   time.Duration
	firstTokenTimes    []time.Duration
	// foreignLoadUntil is when the halving for another queue owner's requests ends.
	foreignLoadUntil time.Time
	// adjusted is set after the first adjustment. From then on the engine's slots only
	// bound the limit and no longer set it.
	adjusted bool
	// peakInFlight is the highest recent number of requests in flight. Each load report
	// lowers it by one.
	peakInFlight  int
	perTokenTimes []time.Duration
	// saturated is set when the requests in flight came within one of the limit since
	// the last adjustment.
	saturated bool
	slots     int
	// value is the limit before its bounds; zero means initialLimit.
	value float64
}

// Value returns the limit at now, which is at least 1.
func (l *ConcurrencyLimit) Value(now time.Time) int {
	value := l.current()
	if now.Before(l.foreignLoadUntil) {
		value /= 2
	}
	return max(1, int(value))
}

// current returns the limit without regard to other queue owners.
func (l *ConcurrencyLimit) current() float64 {
	value := l.value
	if value == 0 {
		value = initialLimit
	}
	return min(value, l.ceiling())
}

// ceiling returns the upper bound of the limit: the lower of Max and the engine's slots,
// or 4096 if neither is known.
func (l *ConcurrencyLimit) ceiling() float64 {
	ceiling := 1 << 12
	if l.slots > 0 {
		ceiling = l.slots
	}
	if l.Max > 0 {
		ceiling = min(ceiling, l.Max)
	}
	return float64(ceiling)
}

// Observe records the outcome of a request. inFlight is the number of requests that ran
// at the same time, including this one.
func (l *ConcurrencyLimit) Observe(outcome Outcome, inFlight int) {
	if outcome.Failed {
		return
	}
	l.peakInFlight = max(l.peakInFlight, inFlight)
	l.saturated = l.saturated || float64(inFlight) >= l.current()-1
	l.firstTokenTimes = append(l.firstTokenTimes, outcome.FirstToken)
	if perToken := outcome.perToken(); perToken > 0 {
		l.perTokenTimes = append(l.perTokenTimes, perToken)
	}
	if len(l.firstTokenTimes) >= max(minSamples, int(l.current())) {
		l.adjust()
	}
}

// ObserveLoad records a load report. If the report contains more requests than the recent
// peak of this owner's requests plus loadReportTolerance, another owner uses the engine too,
// and the limit is halved for foreignLoadPeriod.
func (l *ConcurrencyLimit) ObserveLoad(now time.Time, load engine.Load, inFlight int) {
	firstReport := l.slots == 0
	l.slots = load.Slots
	if firstReport && load.Slots > 0 && !l.adjusted {
		l.value = float64(load.Slots)
	}
	l.peakInFlight = max(l.peakInFlight, inFlight)
	if load.Running+load.Queued > l.peakInFlight+loadReportTolerance {
		l.foreignLoadUntil = now.Add(foreignLoadPeriod)
	}
	l.peakInFlight = max(inFlight, l.peakInFlight-1)
}

// adjust sets the limit from the outcomes since the last adjustment. The limit falls when
// requests queue in the engine. It rises by one when the requests came close to it and
// the time per token is near the baseline.
func (l *ConcurrencyLimit) adjust() {
	firstToken, perToken := median(l.firstTokenTimes), median(l.perTokenTimes)
	l.baselineFirstToken = baseline(l.baselineFirstToken, firstToken)
	l.baselinePerToken = baseline(l.baselinePerToken, perToken)
	queueing := float64(firstToken) > lateFirstTokenFactor*float64(l.baselineFirstToken)+float64(lateFirstTokenSlack)
	slow := float64(perToken) > slowTokenFactor*float64(l.baselinePerToken)
	switch {
	case queueing:
		l.value = max(l.floor(), l.current()*decreaseFactor)
	case slow || !l.saturated:
		l.value = l.current()
	default:
		l.value = min(l.current()+1, l.ceiling())
	}
	l.adjusted = true
	l.firstTokenTimes, l.perTokenTimes, l.saturated = l.firstTokenTimes[:0], l.perTokenTimes[:0], false
}

// floor returns the lower bound for adjustments of the limit: the slots that the engine
// reports. Requests do not queue in the engine while a slot is free, and a late first token
// may then come from a long prompt. Value may still return less than the floor while
// another owner uses the engine.
func (l *ConcurrencyLimit) floor() float64 { return max(1, min(float64(l.slots), l.ceiling())) }

// baseline returns the new baseline after an observation: a lower one at once, a higher one
// by at most baselineGrowth.
func baseline(previous, observed time.Duration) time.Duration {
	if previous == 0 || observed < previous {
		return observed
	}
	return min(observed, time.Duration(float64(previous)*baselineGrowth))
}

// median returns the upper median of values, or zero when there are none.
func median(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
