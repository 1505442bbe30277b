package limitserver

import (
	"math"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/policy"
)

// maxRefillSeconds bounds the time until a quota is full to about three years, so that it fits into an int64 as
// nanoseconds.
const maxRefillSeconds = 1e8

// noRetryAfter is the answer's time until there is quota, if there is quota now.
const noRetryAfter = -1

// checkAnswer is the answer to a check or a peek.
type checkAnswer struct {
	quota      policy.QuotaStatus
	isLimited  bool          // whether there is no quota now
	retryAfter time.Duration // the time until there is quota, if isLimited
	timeUnit   time.Duration // unit of the times on the wire
}

// appendTo appends the answer, an array of integers: 1 if there is no quota and 0 if there is, the quota's limit in
// units, the units left, the time until there is quota, and the time until the quota is full.
func (a checkAnswer) appendTo(out []byte) []byte {
	limited := int64(0)
	wireRetryAfter := int64(noRetryAfter)
	if a.isLimited {
		limited = 1
		wireRetryAfter = a.toTimeUnits(float64(a.retryAfter))
	}
	fields := [...]int64{
		limited,
		int64(a.quota.Limit),
		int64(a.unitsLeft()),
		wireRetryAfter,
		a.toTimeUnits(a.nanosUntilFull()),
	}
	out = redcon.AppendArray(out, len(fields))
	for _, field := range fields {
		out = redcon.AppendInt(out, field)
	}
	return out
}

// unitsLeft returns the units left of the quota or of the hard quota, whichever is less.
func (a checkAnswer) unitsLeft() float64 {
	left := max(a.quota.Limit-a.quota.Used, 0)
	if a.quota.HardQuotaLeft < 0 { // the plan has no hard quota
		return left
	}
	return min(left, a.quota.HardQuotaLeft)
}

// nanosUntilFull returns the time until the quota is full, in nanoseconds, or 0 if the quota has no rate.
func (a checkAnswer) nanosUntilFull() float64 {
	if a.quota.Rate <= 0 {
		return 0
	}
	return min(a.quota.Used/a.quota.Rate, maxRefillSeconds) * float64(time.Second)
}

// toTimeUnits converts nanoseconds to the answer's time unit. It rounds up, so that a client that retries after the
// stated time finds quota.
func (a checkAnswer) toTimeUnits(nanos float64) int64 {
	return int64(math.Ceil(nanos / float64(a.timeUnit)))
}
