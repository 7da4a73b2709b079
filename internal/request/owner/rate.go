package owner

import (
	"math"
	"time"
)

// rateTimeConstant is the time after which the weight of an event has decayed to
// 1/e.
const rateTimeConstant = 10 * time.Second

// rate is an exponential moving average of events per second.
type rate struct {
	at    time.Time
	value float64
}

func (r *rate) add(now time.Time) {
	r.value = r.valueAt(now) + 1/rateTimeConstant.Seconds()
	r.at = now
}

// valueAt returns the rate at now, in events per second.
func (r *rate) valueAt(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateTimeConstant.Seconds())
}
