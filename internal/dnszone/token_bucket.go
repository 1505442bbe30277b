package dnszone

const (
	nanosPerSecond = 1e9
	nanosPerMilli  = 1e6
)

// tokenBucket limits the rate of updates. Its capacity is the number of updates per second, but at least one.
type tokenBucket struct {
	ratePerSecond   float64
	tokens          float64 // number of updates that are allowed immediately
	lastRefillNanos int64   // unix ns
}

func newTokenBucket(ratePerSecond float64, nowNanos int64) tokenBucket {
	return tokenBucket{
		ratePerSecond:   ratePerSecond,
		tokens:          max(ratePerSecond, 1),
		lastRefillNanos: nowNanos,
	}
}

// allow takes a token and returns true, or returns false if less than one token is left.
func (b *tokenBucket) allow(nowNanos int64) bool {
	b.refill(nowNanos)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last refill, up to the capacity.
func (b *tokenBucket) refill(nowNanos int64) {
	elapsedSeconds := float64(max(nowNanos-b.lastRefillNanos, 0)) / nanosPerSecond
	b.tokens = min(b.tokens+elapsedSeconds*b.ratePerSecond, max(b.ratePerSecond, 1))
	b.lastRefillNanos = nowNanos
}
