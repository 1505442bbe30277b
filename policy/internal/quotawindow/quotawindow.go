// Package quotawindow divides time into fixed windows. All functions are pure and safe for concurrent use.
package quotawindow

import (
	"time"

	"fawnplank/internal/monotime"
)

// Window is one of a sequence of windows without gaps.
type Window struct {
	Start monotime.Instant
	Index uint64 // the window's number, unique among those of one length and offset
}

// At returns the window of the given length, above 0, that contains an instant. Windows of different offsets
// start at different times, so that they do not all roll over at once.
func At(now monotime.Instant, length time.Duration, offset uint64) Window {
	lengthNanos := int64(length)
	shiftedNanos := now.Nanos() + int64(offset%uint64(length))
	start := now.Nanos() - shiftedNanos%lengthNanos
	return Window{Start: monotime.FromNanos(start), Index: uint64(shiftedNanos / lengthNanos)}
}
