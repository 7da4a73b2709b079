package member

import "time"

// tokenBucket limits the rate of bytes sent for one purpose. Its capacity is
// bytesPerSecond times bucketBurst.
type tokenBucket struct {
	// available is the number of bytes that may be sent now.
	available int
	// bytesPerSecond is the refill rate.
	bytesPerSecond int
	refilledAt     time.Time
}

// bucketBurst is the time over which unused bytes accumulate.
const bucketBurst = 2 * time.Second

func newTokenBucket(bytesPerSecond int, now time.Time) tokenBucket {
	return tokenBucket{bytesPerSecond: bytesPerSecond, refilledAt: now, available: bytesPerSecond}
}

func (b *tokenBucket) refill(now time.Time) {
	elapsed := min(now.Sub(b.refilledAt), bucketBurst)
	if elapsed <= 0 {
		return
	}
	capacity := int(bucketBurst.Seconds() * float64(b.bytesPerSecond))
	b.available = min(capacity, b.available+int(elapsed.Seconds()*float64(b.bytesPerSecond)))
	b.refilledAt = now
}
