package admission

import "time"

// smoothingFactor is the weight of a new observation in the exponentially weighted
// moving averages.
const smoothingFactor = 0.1

// estimator predicts how long a request runs on the engine, from the outcomes of
// earlier requests.
type estimator struct {
	firstToken time.Duration
	// known is set after the first observation.
	known      bool
	perToken   time.Duration
	meanTokens float64
}

// observe updates the moving averages with a request that did not fail.
func (e *estimator) observe(outcome Outcome) {
	if outcome.Failed {
		return
	}
	if !e.known {
		e.firstToken, e.perToken, e.known = outcome.FirstToken, outcome.perToken(), true
		e.meanTokens = float64(outcome.Tokens)
		return
	}
	e.meanTokens += smoothingFactor * (float64(outcome.Tokens) - e.meanTokens)
	e.firstToken = movingAverage(e.firstToken, outcome.FirstToken)
	if perToken := outcome.perToken(); perToken > 0 {
		e.perToken = movingAverage(e.perToken, perToken)
	}
}

// typicalTokens returns the expected tokens of an answer whose length is not predicted.
func (e *estimator) typicalTokens() int {
	if e.meanTokens < 1 {
		return defaultTokens
	}
	return int(e.meanTokens)
}

// serviceTime returns the predicted run time of a request that generates the given
// number of tokens. It is zero before the first observation.
func (e *estimator) serviceTime(tokens int) time.Duration {
	return e.firstToken + time.Duration(tokens)*e.perToken
}

func movingAverage(previous, observed time.Duration) time.Duration {
	return previous + time.Duration(smoothingFactor*float64(observed-previous))
}
