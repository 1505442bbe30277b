// Package monotime holds the time arithmetic of state machines that have no clock. A caller that has one
// passes each moment as an [Instant]; spans are [time.Duration]. All functions are pure and safe for
// concurrent use.
package monotime

import (
	"encoding/json"
	"math"
	"strconv"
	"time"
)

// Instant is a moment on a monotonic clock of the caller's choice, in nanoseconds. The gateway's clock starts
// from Unix time, so that all instances name the same quota windows. The zero Instant stands for "never" or
// "long ago"; each field says which. Instants are compared with == or by Before, After and Compare, and two
// of them cannot be added.
type Instant struct{ nanos int64 }

// MaxInstant is the last Instant there is.
var MaxInstant = Instant{math.MaxInt64}

// FromNanos returns the Instant that many nanoseconds after the clock's zero.
func FromNanos(nanos int64) Instant { return Instant{nanos} }

// Nanos returns the nanoseconds since the clock's zero.
func (i Instant) Nanos() int64 { return i.nanos }

// IsZero reports whether i is the zero Instant.
func (i Instant) IsZero() bool { return i.nanos == 0 }

// Add returns the Instant a span later, or earlier if the span is negative.
func (i Instant) Add(span time.Duration) Instant { return Instant{i.nanos + int64(span)} }

// Sub returns the span from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i.nanos - earlier.nanos) }

// Before reports whether i comes before other.
func (i Instant) Before(other Instant) bool { return i.nanos < other.nanos }

// After reports whether i comes after other.
func (i Instant) After(other Instant) bool { return i.nanos > other.nanos }

// Compare returns -1, 0 or 1, as i comes before other, is equal to it, or comes after it.
func (i Instant) Compare(other Instant) int {
	switch {
	case i.nanos < other.nanos:
		return -1
	case i.nanos > other.nanos:
		return 1
	}
	return 0
}

// Earlier returns the earlier of two Instants.
func Earlier(a, b Instant) Instant { return Instant{min(a.nanos, b.nanos)} }

// Later returns the later of two Instants.
func Later(a, b Instant) Instant { return Instant{max(a.nanos, b.nanos)} }

// MarshalJSON encodes an Instant as its nanoseconds, in decimal digits. It returns no error.
func (i Instant) MarshalJSON() ([]byte, error) {
	const decimal = 10
	return strconv.AppendInt(nil, i.nanos, decimal), nil
}

// UnmarshalJSON decodes what MarshalJSON encodes. It returns the errors of json.Unmarshal.
func (i *Instant) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &i.nanos)
}

// maxDurationSeconds bounds what DurationFromSeconds returns: about three years, so that later sums cannot overflow.
const maxDurationSeconds = 1e8

// DurationFromSeconds converts seconds to a span. It saturates at 0 and at 1e8 seconds, so that sums of the result
// cannot overflow, whatever rates the seconds were divided by.
func DurationFromSeconds(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), maxDurationSeconds) * float64(time.Second))
}

// Seconds converts a span to seconds. It differs from [time.Duration.Seconds] in the last bit of some results,
// on which recorded runs depend.
func Seconds(span time.Duration) float64 { return float64(span) / float64(time.Second) }

// Accrued returns what a rate per second adds up to in a span. It multiplies first, so the result may differ
// in its last bit from Seconds(span) * rate.
func Accrued(ratePerSecond float64, span time.Duration) float64 {
	return ratePerSecond * float64(span) / float64(time.Second)
}
