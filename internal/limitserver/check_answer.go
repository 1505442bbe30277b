package limitserver

import (
	"math"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/policy"
)

// maxRefillSeconds bounds the time until a quota is full to three years, so that its nanoseconds fit into an
// int64.
const maxRefillSeconds = 1e8

// noRetryAfter stands in the answer for the time until there is quota, if there is quota now.
const noRetryAfter = -1

// checkAnswer is the answer to a check or a peek.
type checkAnswer struct {
	quota      policy.QuotaStatus
	isLimited  bool          // there is no quota now
	retryAfter time.Duration // when there is, if isLimited
	timeUnit   time.Duration // of the times on the wire
}

// appendTo appends the answer, an array of integers: whether there is no quota, the units that the quota
// holds, the units left, the time until there is quota, and the time until the quota is full.
func (a checkAnswer) appendTo(out []byte) []byte {
	limited := int64(0)
	wait := int64(noRetryAfter)
	if a.isLimited {
		limited = 1
		wait = a.inTimeUnits(float64(a.retryAfter))
	}
	fields := [...]int64{
		limited,
		int64(a.quota.Limit),
		int64(a.unitsLeft()),
		wait,
		a.inTimeUnits(a.nanosUntilFull()),
	}
	out = redcon.AppendArray(out, len(fields))
	for _, field := range fields {
		out = redcon.AppendInt(out, field)
	}
	return out
}

// unitsLeft returns the units left of the quota, or of the hard quota if that leaves fewer.
func (a checkAnswer) unitsLeft() float64 {
	left := max(a.quota.Limit-a.quota.Used, 0)
	if a.quota.HardQuotaLeft < 0 { // the plan has no hard quota
		return left
	}
	return min(left, a.quota.HardQuotaLeft)
}

// nanosUntilFull returns the time until the quota is full, in nanoseconds, or 0 if its plan has no rate.
func (a checkAnswer) nanosUntilFull() float64 {
	if a.quota.Rate <= 0 {
		return 0
	}
	return min(a.quota.Used/a.quota.Rate, maxRefillSeconds) * float64(time.Second)
}

// inTimeUnits converts nanoseconds to the answer's time unit, rounded up: a client that comes back then finds
// quota.
func (a checkAnswer) inTimeUnits(nanos float64) int64 {
	return int64(math.Ceil(nanos / float64(a.timeUnit)))
}
