// Package nanos holds what a state machine without a clock needs of times: instants and durations are int64
// nanoseconds, as its callers hand them in. All functions are pure and safe for concurrent use.
package nanos

// Units of time.
const (
	Millisecond = int64(1e6)
	Second      = int64(1e9)
)

// maxSeconds bounds what FromSeconds returns: some three years, which later sums cannot overflow.
const maxSeconds = 1e8

// FromSeconds converts seconds to nanoseconds. It saturates at 0 and at 1e8 seconds, so that sums of the
// result cannot overflow, whatever the rates are that it was divided from.
func FromSeconds(seconds float64) int64 {
	return int64(min(max(seconds, 0), maxSeconds) * float64(Second))
}

// Seconds converts nanoseconds to seconds.
func Seconds(duration int64) float64 { return float64(duration) / float64(Second) }

// Accrued returns what a rate per second comes to in a duration. It multiplies first: the result may differ
// in its last bit from that of Seconds(duration) * rate.
func Accrued(ratePerSecond float64, duration int64) float64 {
	return ratePerSecond * float64(duration) / float64(Second)
}
