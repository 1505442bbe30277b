// Package quotawindow divides time into windows of a fixed length. All functions are pure and safe for
// concurrent use.
package quotawindow

import (
	"time"

	"fawnplank/internal/monotime"
)

// Window is one of a sequence of contiguous windows.
type Window struct {
	Start monotime.Instant
	Index uint64 // the window's number, unique among windows of the same length and offset
}

// At returns the window of the given length that contains an instant. The length has to be above 0. The offset
// shifts the windows, so that windows with different offsets do not all roll over at the same time.
func At(now monotime.Instant, length time.Duration, offset uint64) Window {
	lengthNanos := int64(length)
	shiftedNanos := now.Nanos() + int64(offset%uint64(length))
	start := now.Nanos() - shiftedNanos%lengthNanos
	return Window{Start: monotime.FromNanos(start), Index: uint64(shiftedNanos / lengthNanos)}
}
