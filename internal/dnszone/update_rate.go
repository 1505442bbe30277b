package dnszone

const (
	nanosPerSecond = 1e9
	nanosPerMilli  = 1e6
)

// updateRate is a token bucket for updates. It holds at most a second's worth of tokens, and at least one.
type updateRate struct {
	ratePerSecond   float64
	tokens          float64 // how many updates may come at once
	refilledAtNanos int64   // unix ns
}

func newUpdateRate(ratePerSecond float64, nowNanos int64) updateRate {
	return updateRate{
		ratePerSecond:   ratePerSecond,
		tokens:          max(ratePerSecond, 1),
		refilledAtNanos: nowNanos,
	}
}

// allow takes a token, or reports that there is none.
func (r *updateRate) allow(nowNanos int64) bool {
	r.refill(nowNanos)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// refill adds the tokens for the time since the last refill.
func (r *updateRate) refill(nowNanos int64) {
	elapsedSeconds := float64(max(nowNanos-r.refilledAtNanos, 0)) / nanosPerSecond
	r.tokens = min(r.tokens+elapsedSeconds*r.ratePerSecond, max(r.ratePerSecond, 1))
	r.refilledAtNanos = nowNanos
}
