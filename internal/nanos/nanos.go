// Package nanos holds the time arithmetic of state machines that have no clock: instants and durations are
// int64 nanoseconds, as the callers pass them. All functions are pure and safe for concurrent use.
package nanos

// Units of time.
const (
	Millisecond = int64(1e6)
	Second      = int64(1e9)
)

// maxSeconds bounds what FromSeconds returns: about three years, so that later sums cannot overflow.
const maxSeconds = 1e8

// FromSeconds converts seconds to nanoseconds. It saturates at 0 and at 1e8 seconds, so that sums of the
// result cannot overflow, whatever rates the seconds were divided by.
func FromSeconds(seconds float64) int64 {
	return int64(min(max(seconds, 0), maxSeconds) * float64(Second))
}

// Seconds converts nanoseconds to seconds.
func Seconds(duration int64) float64 { return float64(duration) / float64(Second) }

// Accrued returns what a rate per second adds up to in a duration. It multiplies first, so the result may
// differ in its last bit from Seconds(duration) * rate.
func Accrued(ratePerSecond float64, duration int64) float64 {
	return ratePerSecond * float64(duration) / float64(Second)
}
