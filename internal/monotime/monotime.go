// Package monotime implements time arithmetic for state machines that do not read a clock. The caller passes
// each moment as an [Instant]; intervals are [time.Duration] values. All functions are pure and safe for
// concurrent use.
package monotime

import (
	"encoding/json"
	"math"
	"strconv"
	"time"
)

// Instant is a moment on a monotonic clock of the caller's choice, in nanoseconds. The gateway's clock starts
// at the current Unix time, so that all instances use the same quota windows. The zero Instant stands for
// "never" or "long ago"; the comment on each field states which. Instants are compared with == or by Before,
// After and Compare.
type Instant struct{ nanos int64 }

// MaxInstant is the latest Instant that can be represented.
var MaxInstant = Instant{math.MaxInt64}

// FromNanos returns the Instant that lies the given number of nanoseconds after the clock's zero.
func FromNanos(nanos int64) Instant { return Instant{nanos} }

// Nanos returns the number of nanoseconds since the clock's zero.
func (i Instant) Nanos() int64 { return i.nanos }

// IsZero reports whether i is the zero Instant.
func (i Instant) IsZero() bool { return i.nanos == 0 }

// Add returns the Instant that is later than i by the duration, or earlier if the duration is negative.
func (i Instant) Add(duration time.Duration) Instant { return Instant{i.nanos + int64(duration)} }

// Sub returns the duration from earlier to i.
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

// MarshalJSON encodes an Instant as a decimal number of nanoseconds. It never returns an error.
func (i Instant) MarshalJSON() ([]byte, error) {
	const decimal = 10
	return strconv.AppendInt(nil, i.nanos, decimal), nil
}

// UnmarshalJSON decodes the encoding of MarshalJSON. It returns the errors of json.Unmarshal.
func (i *Instant) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &i.nanos)
}

// maxDurationSeconds limits the result of DurationFromSeconds to about three years, so that sums of results
// cannot overflow.
const maxDurationSeconds = 1e8

// DurationFromSeconds converts seconds to a duration. It saturates at 0 and at maxDurationSeconds, so that sums
// of results cannot overflow even if the seconds come from a division by a very low rate.
func DurationFromSeconds(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), maxDurationSeconds) * float64(time.Second))
}

// Seconds converts a duration to seconds. Its result can differ from that of [time.Duration.Seconds] in the
// last bit, and recorded runs depend on that bit.
func Seconds(duration time.Duration) float64 { return float64(duration) / float64(time.Second) }

// Accrued returns the amount that accrues over a duration at a constant rate per second. It multiplies before
// it divides, so the result can differ from Seconds(duration) * ratePerSecond in the last bit.
func Accrued(ratePerSecond float64, duration time.Duration) float64 {
	return ratePerSecond * float64(duration) / float64(time.Second)
}
